Feature: the oracle finds each broken promise
  Every figure of demo, system tests and benches rests on the oracle, so it is shown each kind of
  breach once, and each row that looks like a breach but is none. A caller's outcomes are joined
  with the executors' runs by the request's name, which copies and repeats with a key share.

  Scenario Outline: <told> with <runs> runs of a <sort> request is <faults>
    When the oracle compares <told> with <runs> runs of a <sort> request
    Then the oracle finds <faults>

    Examples:
      | sort       | told                      | runs | faults         |
      | idempotent | answered                  | 1    | nothing        |
      | idempotent | answered                  | 3    | nothing        |
      | idempotent | answered                  | 0    | untrue answer  |
      | idempotent | refused:1100              | 0    | nothing        |
      | idempotent | refused:1100              | 1    | untrue refusal |
      | single     | answered                  | 2    | doubled        |
      | single     | unknown:1200              | 2    | doubled        |
      | single     | unknown:1200              | 1    | nothing        |
      | single     | unreached                 | 1    | untrue refusal |
      | single     | cut                       | 1    | cut            |
      | single     | mixed                     | 1    | mixed          |
      | single     | silent                    | 1    | silent         |
      | single     | failed                    | 0    | failed         |
      | keyed      | answered,answered         | 1    | nothing        |
      | keyed      | answered,answered         | 2    | doubled        |
      | keyed      | answered,refused:1108     | 1    | nothing        |
      | keyed      | refused:1107,refused:1108 | 1    | untrue refusal |
      | keyed      | refused:1107,refused:1107 | 0    | nothing        |
      | keyed      | broken,answered           | 1    | nothing        |

  Scenario Outline: a platform on which <what> is <faults>
    When the oracle looks at a platform on which <what>
    Then the oracle finds <faults>

    Examples:
      | what                                | faults             |
      | one host of three drains            | nothing            |
      | two hosts of three drain at once    | budget breach      |
      | two hosts of three drain in turn    | nothing            |
      | a drained host joins another pool   | nothing            |
      | a serving host joins another pool   | two pools          |
      | a reboot cuts off a request         | cut by maintenance |
      | a power failure cuts off a request  | nothing            |

  Scenario Outline: an answer with <flaw> is told as <outcome>
    When the oracle's load gets an answer with <flaw>
    Then the oracle's load tells it as <outcome>

    Examples:
      | flaw                          | outcome  |
      | nothing wrong                 | answered |
      | another request's name        | mixed    |
      | another request's id          | mixed    |
      | another body's digest         | mixed    |
      | a filling cut short           | cut      |
      | no end                        | cut      |
      | no status                     | broken   |
      | a time-out                    | silent   |
      | result code 1100              | refused  |
      | result code 1201              | unknown  |
      | status 502 and no result code | failed   |
