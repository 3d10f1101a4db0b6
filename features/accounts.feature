Feature: Only callers with a key of a client account use its queues and jobs
  A deployment may have client accounts, each with keys that the operator adds and takes away.

  Scenario Outline: A request with <credential> is told <outcome>
    Guards against a credential that can't be a key crashing the front, or passing for another's key.

    Then a request with <credential> is identified as <outcome>

    Examples:
      | credential                  | outcome   |
      | the key of joiners          | joiners   |
      | the second key of joiners   | joiners   |
      | the key of fitters          | fitters   |
      | no header                   | MISSING   |
      | an empty key                | MISSING   |
      | the key of joiners, twice   | REPEATED  |
      | two accounts' keys          | REPEATED  |
      | an unknown key              | UNKNOWN   |
      | a key in other case         | UNKNOWN   |
      | a key and a space           | UNKNOWN   |
      | a key of 256 characters     | UNKNOWN   |
      | a key of 10 KB              | MALFORMED |
      | a key that isn't ASCII      | MALFORMED |
      | a key with a control code   | MALFORMED |

  Scenario Outline: A front answers <request> with <credential> by <status> and <code>
    Guards against a request that is served without a key in force, or looked up before its key is known.

    When a caller sends <request> with <credential> to a front
    Then the front answers <status> with <code>, and the owner has heard <calls> calls

    Examples:
      | request            | credential                | status | code   | calls |
      | new job            | the key of joiners        | 200    | MG4020 | 1     |
      | cancelling         | the key of joiners        | 200    | MG4021 | 1     |
      | question for a job | the key of joiners        | 200    | MG4022 | 1     |
      | count of a queue   | the key of joiners        | 200    | MG4022 | 1     |
      | new job            | an unknown key            | 401    | MG4030 | 0     |
      | cancelling         | an unknown key            | 401    | MG4030 | 0     |
      | question for a job | an unknown key            | 401    | MG4030 | 0     |
      | count of a queue   | an unknown key            | 401    | MG4030 | 0     |
      | new job            | no header                 | 401    | MG4030 | 0     |
      | new job            | an empty key              | 401    | MG4030 | 0     |
      | new job            | the key of joiners, twice | 401    | MG4030 | 0     |
      | new job            | a key of 10 KB            | 401    | MG4030 | 0     |
      | new job            | a key that isn't ASCII    | 401    | MG4030 | 0     |

  Scenario Outline: <who> is told <code> on <call> of a job that joiners submitted
    Guards against one account's caller learning of another's job, or ending it.

    When joiners submit a job, and <who> makes <call>
    Then that caller is told <code>

    Examples:
      | who                             | call          | code   |
      | joiners                         | a question    | MG4022 |
      | joiners by their second key     | a question    | MG4022 |
      | fitters                         | a question    | MG4031 |
      | fitters                         | a cancelling  | MG4031 |
      | fitters                         | a submission  | MG4031 |
      | joiners                         | a submission  | MG4020 |
      | joiners                         | a cancelling  | MG4021 |
      | nobody by an unknown key        | a question    | MG4030 |

  Scenario Outline: After <change>, <who> is told <code> on a question for the job that joiners submitted
    Guards against a key that works on after it was taken away, or a job that is lost with its account's key.

    When joiners submit a job, the operator publishes <change>, and <who> asks for the job
    Then that caller is told <code>

    Examples:
      | change                          | who                         | code   |
      | the key of joiners taken away   | joiners                     | MG4030 |
      | the key of joiners taken away   | joiners by their second key | MG4022 |
      | the key of joiners at fitters   | joiners                     | MG4031 |
      | joiners removed                 | joiners                     | MG4030 |
      | a new key of joiners            | joiners by their new key    | MG4022 |
      | a new key of joiners            | joiners                     | MG4022 |

  Scenario: A key that was taken away is refused through a host that the store turns away
    Guards against a host that can't read the store serving keys that its peers know to be taken away.

    When the store turns a host away, and the key of joiners is taken away
    Then the key is refused through that host within 3 s, and by the queue's owner at once

  Scenario: A job goes on after the last key of its account was taken away
    Guards against accepted work that stops because nobody can ask for it.

    When joiners submit a job, and lose all their keys
    Then the job has run to its end

  Scenario: A flood of unknown keys costs neither calls to owners or the store nor more than a line a second
    Names the pattern: 5,000 guessed keys a second at one host.

    When 5000 requests with guessed keys come within a second
    Then no owner was called, and one line tells of them

  Scenario Outline: Each log line of a job of <who> tells <account>
    Guards against an account that can be told from no line but the one on the job's acceptance,
    which may have been omitted.

    When <who> submit a job that runs with one failure to its end
    Then its lines from submit.answered to job.ended tell <account>

    Examples:
      | who     | account    |
      | joiners | joiners    |
      | nobody  | no account |

  Scenario: Keys are told nowhere
    Guards against a secret that ends up in logs, metrics or answers.

    Given the platform's stand-in and 2 daemons on it
    When the operator gives account joiners the keys s3cret-joiners-1, s3cret-joiners-2 by version 7
    And a job is handed in through daemon 1 with the key s3cret-joiners-1
    Then the answer is 200 with code MG4020
    When the job is asked for through daemon 2 with the key s3cret-joiners-2
    Then the answer is 200 with code MG4022
    When the operator gives account joiners the keys s3cret-joiners-2 by version 9
    And the job is asked for through daemon 2 with the key s3cret-joiners-1
    Then the answer is 401 with code MG4030
    And no key stands in the daemons' output, their metrics or their answers
