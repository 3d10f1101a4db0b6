Feature: An operator sees from the log why jobs were late on a day
  After a day on which callers waited, the report says when, at which queue and why, and how the pools'
  machines were used.

  Scenario Outline: A job that was <history> counts as <outcome>
    Then a job that was <history> counts as <outcome>

    Examples:
      | history                                      | outcome                                      |
      | refused as nobody owned the queue            | MG4027 nobody owns the queue yet             |
      | refused, then accepted and done in time      | in time                                      |
      | accepted and done in time                    | in time                                      |
      | accepted, started after its slack, late      | waited for capacity                          |
      | accepted, started at once, failed once, late | had failed runs                              |
      | accepted, started at once, late              | ran long or waited between steps             |
      | accepted, started by no line, late           | late, the line on its first start is missing |
      | done in time by its only line                | in time                                      |
      | accepted and never done                      | not ended                                    |
      | accepted and failed                          | failed                                       |
      | accepted and cancelled                       | nothing                                      |
      | of lasting tasks                             | nothing                                      |

  Scenario: The windows with the most late jobs come first, with their queues and reasons
    When 3 jobs of cuts start too late at 4 s, and 1 of quotes at 9 s, of 5 each
    Then the worst window is that of cuts from 4 s, and the next that of quotes from 8 s

  Scenario Outline: The idle machines of a pool of <size>, <busy> of them busy, that has <state> count as <purpose>
    Then a pool of <size> machines, <busy> of them busy, that has <state> has <idle> machines for <purpose>

    Examples:
      | size | busy | state                    | idle | purpose    |
      | 6    | 2    | not risen yet            | 4    | first_size |
      | 6    | 2    | risen                    | 4    | reserve    |
      | 6    | 2    | risen and is due to rise | 4    | awaited    |
      | 2    | 2    | risen                    | 0    | reserve    |

  Scenario: A pool's machine-seconds are logged about once a second, each counted once
    When a pool of 3 machines is viewed every 0.2 s for 10 s
    Then the log lines add up to between 26 and 30 machine-seconds, in 9 or 10 lines
