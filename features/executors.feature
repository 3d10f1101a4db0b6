Feature: sick and leaving executors get no work that others could do
  Executors die, freeze, answer slowly, fail a part of their requests or leave. What the service's
  callers lose is bounded, and so is what is taken out of service for it.

  Scenario Outline: of six executors one is <sick>
    Requests go to all six. The sick one's failures are repeated elsewhere where that is safe, and
    it is ejected after a few, so that it costs only the non-idempotent requests that it was given.

    When executors get 600 <kind> requests while one of six is <sick>
    Then executors answered at least <least> of them and the sick one got at most <most> tries

    Examples:
      | kind           | sick                | least | most |
      | idempotent     | dead                | 600   | 40   |
      | non-idempotent | dead                | 600   | 40   |
      | idempotent     | resetting           | 600   | 40   |
      | non-idempotent | resetting           | 560   | 40   |
      | idempotent     | frozen              | 600   | 40   |
      | idempotent     | failing             | 600   | 40   |
      | idempotent     | failing 3 of 10     | 600   | 100  |
      | idempotent     | refusing            | 600   | 40   |
      | non-idempotent | refusing            | 600   | 40   |
      | idempotent     | ten times as slow   | 600   | 60   |

  Scenario Outline: a host held up for <held> s of a try's <took> s, which <ends>, <counts>
    A host that is stopped, or waits for a processor, finds its waits over when it runs again. It
    blamed well executors, and callers were left with the sick one, which had to stay as the last
    that may. What it has seen counts; what only the time says doesn't.

    When executors have a try of <took> s that <ends>, and the host is held up for <held> s of it
    Then executors have that try <counts>

    Examples:
      | took | held | ends          | counts           |
      | 0.5  | 0    | can't connect | counted          |
      | 0.5  | 0.1  | can't connect | counted          |
      | 0.5  | 0.4  | can't connect | not counted      |
      | 0.5  | 0.4  | is refused    | counted timeless |
      | 0.5  | 0.4  | times out     | not counted      |
      | 0.5  | 0.1  | times out     | counted          |
      | 0.5  | 0.4  | is reset      | counted timeless |
      | 3.0  | 2.5  | is reset      | not counted      |
      | 0.5  | 0    | is answered   | counted          |
      | 0.5  | 0.4  | is answered   | counted timeless |
      | 3.0  | 2.5  | is answered   | counted timeless |

  Scenario Outline: tries of <here> at one of six and <elsewhere> elsewhere have it <seen>
    After the host was held up many tries count without their time. The few times that are left, or
    none at all elsewhere, were taken for all of them: an executor was ejected for one slow read, or
    for usual times beside a mean of nothing.

    When executors have tries of <here> at one of six and <elsewhere> elsewhere
    Then executors have that one <seen>

    Examples:
      | here                   | elsewhere                 | seen    |
      | 20 x 0.2 s             | 20 x 0.01 s               | ejected |
      | 19 x no time, 1 x 2 s  | 20 x 0.01 s               | well    |
      | 10 x no time, 10 x 2 s | 20 x 0.01 s               | ejected |
      | 20 x 0.06 s            | 20 x no time              | well    |
      | 20 x 0.06 s            | 18 x no time, 2 x 0.001 s | well    |
      | 20 x 0.06 s            | 17 x no time, 3 x 0.001 s | ejected |

  Scenario Outline: an executor that fails <failed> of <tries> tries is <seen>
    A caller gets an error, or waits for a retry, each time that a sick executor fails. One that
    fails a sixth of its requests looks like bad luck after a few; after many it is certain, and it
    has to go. The others fail <elsewhere> of 100 by the fault of their requests.

    When executors fail <elsewhere> of 100 tries each, and one fails <failed> of <tries>
    Then executors have that one <seen>

    Examples:
      | failed | tries | elsewhere | seen    |
      | 3      | 10    | 0         | ejected |
      | 2      | 10    | 0         | well    |
      | 6      | 40    | 0         | well    |
      | 19     | 100   | 0         | ejected |
      | 17     | 100   | 0         | ejected |
      | 12     | 100   | 0         | well    |
      | 19     | 100   | 5         | well    |
      | 35     | 100   | 5         | ejected |

  Scenario Outline: of six executors with a budget of <budget>, <count> that are <sick> stay in use
    Ejecting them all would leave the service with less than its budget, or the signs speak of the
    requests and not of executors. What can't be ejected gets the smallest share of the work.

    When executors with a budget of <budget> get requests while <count> of six are <sick>
    Then executors ejected are at most <most>

    Examples:
      | budget | count | sick      | most |
      | 1      | 4     | resetting | 3    |
      | 5      | 4     | resetting | 1    |
      | 6      | 2     | resetting | 0    |
      | 1      | 6     | resetting | 3    |
      | 1      | 6     | failing   | 0    |
      | 1      | 6     | frozen    | 0    |

  Scenario Outline: an executor that fails five times while its peers have <peers> is <seen>
    All requests of a moment fail, for a reason that is theirs or stands behind every executor. The one
    that gets five of them first would be ejected, and then the next one, for what isn't their fault:
    no peer has been tried often enough by itself to tell. All peers' tries together do tell it.

    When executors have five failures in a row at one of six, whose peers have <peers>
    Then executors have that one <seen>

    Examples:
      | peers               | seen    |
      | failed twice each   | well    |
      | answered twice each | ejected |
      | failed once each    | well    |
      | answered once each  | ejected |
      | not been tried      | well    |
      | failed 4 times each | well    |

  Scenario: an executor that was ejected comes back by a probe and slowly
    Its time being over, it gets the smallest share, of requests that may be repeated. If it answers,
    its share grows back; if it fails again, it is out for twice as long.

    When executors have one that is sick, then well
    Then executors saw it ejected, probing, ejected for longer, probing, returning and well
    And executors gave it no non-idempotent request before it had answered a probe

  Scenario Outline: an executor that leaves gets nothing new: <source>
    When executors hear from <source> that one leaves
    Then executors leave it out at once and give it back when it is up again

    Examples:
      | source                  |
      | its answer              |
      | a peer                  |
      | the log                 |
      | the platform's workers  |
      | the platform's host list |

  Scenario: what a starting entry host finds gets full shares at once, and what comes later doesn't
    At the start nobody could take the work that executors on a slow start don't get. The view of
    workers is empty until it has been read for the first time.

    When executors are found at the start, and one more later
    Then executors found at the start have full shares and the later one the smallest

  Scenario: a rack that fails takes one failure for each of its executors after the second
    Two workers of a rack can't be reached. The third of that rack is ejected by its first failure,
    an executor of another rack is not.

    When executors of two workers of a rack can't be reached
    Then executors elsewhere in that rack are ejected by one failure, and others aren't

  Scenario: slow starts write no line to the log, ejections and returns do
    The few lines that matter would be lost among thousands: in a fleet every executor that comes up
    starts slowly, and each wrote two lines. The timeline still has every change of state.

    When executors start slowly, and one of them is ejected and returns
    Then executors wrote one line for the ejection and one for the return, and all to the timeline

  Scenario: drawn signs never eject below the floor, and never one that does as well as the rest
    When executors' signs are drawn
    Then executors that stay are never fewer than the floor
