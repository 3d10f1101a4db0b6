Feature: a soak of real processes, with faults from outside
  Daemons, the platform's stand-in and links between them are real. Daemons are killed, stopped, frozen
  and reloaded, the store goes away or is slow, links are delayed, cut one way, reset or go silent, an
  owner is cut off together with some executors; all of it in series and overlapping. Callers keep
  connections open until the processes are gone.

  Scenario Outline: Seed <seed> keeps every promise
    Callers hand jobs in, repeat, ask and cancel while the faults come. None is told a wrong thing, no
    task runs twice or out of order, and once the faults are over each accepted job ends.

    When a soak is played for <seconds> s with seed <seed>
    Then the soak broke no promise
    And the soak had jobs accepted and troubles brought

    Examples: a short one for each run
      | seed | seconds |
      | 11   | 8       |

    Examples: 115 failed: a reload ended a daemon that was still loading its libraries
      | seed | seconds |
      | 115  | 15      |

    Examples: 438645 failed: the stand-in's crashed executors began what was still on its way to them
      | seed   | seconds |
      | 438645 | 15      |
