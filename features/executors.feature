Feature: Sick and leaving executors get no requests that other executors could serve
  Executors crash, freeze, slow down, fail a part of their requests or leave. Both the requests that
  callers lose and the executors that are ejected for it are bounded.

  Scenario Outline: One of six executors is <fault>
    Requests go to all six executors. Failed requests are retried on another executor where that is
    safe. The sick executor is ejected after a few failures, so that only the non-idempotent
    requests that it had already received are lost.

    When 600 <kind> requests are sent to six executors of which one is <fault>
    Then at least <min_answered> requests are answered and the sick executor gets at most <max_tries> tries

    Examples:
      | kind           | fault             | min_answered | max_tries |
      | idempotent     | dead              | 600          | 40        |
      | non-idempotent | dead              | 600          | 40        |
      | idempotent     | resetting         | 600          | 40        |
      | non-idempotent | resetting         | 560          | 40        |
      | idempotent     | frozen            | 600          | 40        |
      | idempotent     | failing           | 600          | 40        |
      | idempotent     | failing 3 of 10   | 600          | 100       |
      | idempotent     | refusing          | 600          | 40        |
      | non-idempotent | refusing          | 600          | 40        |
      | idempotent     | ten times as slow | 600          | 60        |

  Scenario Outline: A try of <took> s that <ends> while the host is paused for <paused> s is <counts>
    A host that is stopped, or waits for a processor, finds its timers expired when it resumes. Such
    a host blamed healthy executors, and callers were left with the sick one, which couldn't be
    ejected as the last one in use. Observed results count; results based on time alone don't.

    When an executor's try of <took> s <ends> and the host is paused for <paused> s of it
    Then the executor's try is <counts>

    Examples:
      | took | paused | ends          | counts          |
      | 0.5  | 0      | can't connect | counted         |
      | 0.5  | 0.1    | can't connect | counted         |
      | 0.5  | 0.4    | can't connect | not counted     |
      | 0.5  | 0.4    | is refused    | counted untimed |
      | 0.5  | 0.4    | times out     | not counted     |
      | 0.5  | 0.1    | times out     | counted         |
      | 0.5  | 0.4    | is reset      | counted untimed |
      | 3.0  | 2.5    | is reset      | not counted     |
      | 0.5  | 0      | is answered   | counted         |
      | 0.5  | 0.4    | is answered   | counted untimed |
      | 3.0  | 2.5    | is answered   | counted untimed |

  Scenario Outline: An executor with tries of <here> is <state> if the others have <elsewhere>
    After a pause of the host, many tries count without their duration. The few durations that were
    left, or none at all at the other executors, were taken as typical: an executor was ejected for
    one slow read, or for usual durations compared with a mean of zero.

    When one of six executors has tries of <here> and the others have <elsewhere>
    Then the first executor is <state> and the others are well

    Examples:
      | here                       | elsewhere                     | state   |
      | 20 x 0.2 s                 | 20 x 0.01 s                   | ejected |
      | 19 x no duration, 1 x 2 s  | 20 x 0.01 s                   | well    |
      | 10 x no duration, 10 x 2 s | 20 x 0.01 s                   | ejected |
      | 20 x 0.06 s                | 20 x no duration              | well    |
      | 20 x 0.06 s                | 18 x no duration, 2 x 0.001 s | well    |
      | 20 x 0.06 s                | 17 x no duration, 3 x 0.001 s | ejected |

  Scenario Outline: An executor that fails <failed> of <tries> tries, the others <elsewhere> %, is <state>
    Each failure of a sick executor costs a caller an error or a retry. An executor that fails a
    sixth of its requests can't be told from chance after a few tries; after many it is certain, and
    it must be ejected. The others fail <elsewhere> of 100 tries because of the requests themselves.

    When executors fail <elsewhere> of 100 tries each, and one fails <failed> of <tries>
    Then the first executor is <state> and the others are well

    Examples:
      | failed | tries | elsewhere | state   |
      | 3      | 10    | 0         | ejected |
      | 2      | 10    | 0         | well    |
      | 6      | 40    | 0         | well    |
      | 19     | 100   | 0         | ejected |
      | 17     | 100   | 0         | ejected |
      | 12     | 100   | 0         | well    |
      | 19     | 100   | 5         | well    |
      | 35     | 100   | 5         | ejected |

  Scenario Outline: With a budget of <budget>, at most <max_ejected> of <count> executors that are <fault> are ejected
    Ejecting all of them would leave the service with fewer executors than its budget, or the
    failures come from the requests rather than from the executors. A sick executor that can't be
    ejected gets the smallest share of the requests.

    When a service with a budget of <budget> gets requests while <count> of six are <fault>
    Then at most <max_ejected> executors are ejected

    Examples:
      | budget | count | fault     | max_ejected |
      | 1      | 4     | resetting | 3           |
      | 5      | 4     | resetting | 1           |
      | 6      | 2     | resetting | 0           |
      | 1      | 6     | resetting | 3           |
      | 1      | 6     | failing   | 0           |
      | 1      | 6     | frozen    | 0           |

  Scenario Outline: An executor that fails five times while the others have <peers> is <state>
    For a moment all requests fail, because of the requests or of something that all executors
    depend on. The executor that got five of them first would be ejected, and then the next one,
    though neither is at fault. No other executor has enough tries by itself to show this, but the
    tries of all of them together do.

    When one of six executors fails five times in a row and the others have <peers>
    Then the first executor is <state> and the others are well

    Examples:
      | peers               | state   |
      | failed twice each   | well    |
      | answered twice each | ejected |
      | failed once each    | well    |
      | answered once each  | ejected |
      | not been tried      | well    |
      | failed 4 times each | well    |

  Scenario: An ejected executor returns by way of a probe and a slow start
    After its ejection the executor gets the smallest share, of idempotent requests only. If it
    answers, its share grows back; if it fails again, it is ejected for twice as long.

    When one of six executors is sick and then recovers
    Then the executor is ejected, probing, ejected for longer, probing, returning and well
    And the executor gets no non-idempotent request before it has answered a probe

  Scenario Outline: An executor that is reported as leaving by <source> gets no new requests
    When an executor is reported as leaving by <source>
    Then the executor is excluded at once and gets requests again when it is up

    Examples:
      | source                   |
      | its answer               |
      | a peer                   |
      | the log                  |
      | the platform's workers   |
      | the platform's host list |

  Scenario: Executors in an entry host's first listing get full shares at once, later ones don't
    At the start no other executors could take the requests that a slow start withholds. The view of
    workers is empty until its first read.

    When executors are listed at the start, and one more later
    Then executors of the first listing have full shares and the later one the smallest

  Scenario: In a failing rack, executors are ejected by one failure after two workers have failed
    Two workers of a rack can't be reached. An executor on a third worker of that rack is ejected by
    its first failure; an executor in another rack is not.

    When executors on two workers of a rack can't be reached
    Then executors elsewhere in that rack are ejected by one failure, and others aren't

  Scenario: Slow starts aren't logged, ejections and returns are
    In a large fleet every executor that comes up starts slowly, and each slow start wrote two log
    lines, which hid the few lines that matter. The timeline still has every change of state.

    When executors start slowly, and one of them is ejected and returns
    Then executors wrote one line for the ejection and one for the return, and all to the timeline

  Scenario: Ejection keeps to the floor and never ejects an executor without failed or slow tries
    When executors get random results
    Then executors that aren't ejected are never fewer than the floor
