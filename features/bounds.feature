Feature: An operator sees from the log what bound on a day
  After a day on which callers waited, the report says when, at which queue and for what reason, and what
  the pools' machines were for.

  Scenario Outline: A job that was <story> counts as <fate>
    Then a job that was <story> counts as <fate>

    Examples:
      | story                                     | fate                             |
      | refused as nobody owned the queue         | MG4027 nobody owns the queue yet |
      | refused, then accepted and done in time   | in time                          |
      | accepted and done in time                 | in time                          |
      | accepted, started after its slack, late   | waited for room                  |
      | accepted, begun at once, failed once, late | had runs that failed            |
      | accepted, begun at once, late             | took long or waited between      |
      | accepted and never done                   | not ended                        |
      | accepted and failed                       | failed                           |
      | accepted and cancelled                    | nothing                          |
      | of tasks that last                        | nothing                          |

  Scenario: The worst windows come first, with their queues and reasons
    When 3 jobs of cuts wait too long at 4 s, and 1 of quotes at 9 s, of 5 each
    Then the worst window is that of cuts from 4 s, and the next that of quotes from 8 s

  Scenario Outline: A pool of <size> machines, <busy> of them at work, that has <state> keeps the rest for <purpose>
    Then a pool of <size> machines, <busy> of them at work, that has <state> has <idle> machines for <purpose>

    Examples:
      | size | busy | state              | idle | purpose    |
      | 6    | 2    | not risen yet      | 4    | first_size |
      | 6    | 2    | risen              | 4    | reserve    |
      | 6    | 2    | risen, and will    | 4    | awaited    |
      | 2    | 2    | risen              | 0    | reserve    |

  Scenario: A pool's machine-seconds are told about once a second, and none twice
    When a pool of 3 machines is noted each 0.2 s for 10 s
    Then what is told adds up to between 26 and 30 machine-seconds, in 9 or 10 lines
