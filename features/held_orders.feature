Feature: Few late jobs while a few of all orders are carried out late
  An executor leaves some orders unanswered and carries them out seconds later. A job of many tasks nearly always has one
  such order among those that it needs, so it is in time only if each is soon found out and repeated.

  Scenario Outline: <held> of all orders are held up while jobs of 12 tasks come, 8 a second
    Each look at an executor may be left unanswered, as each start may. Callers had their jobs 2 s late: a look's answer
    was waited for 1.6 s, during which nobody knew of the ends there, and the executor got nothing new after it.

    Given owners on a fake platform
    When <held> of all orders to executors are held up while jobs of many tasks come
    Then at least <share> of the jobs are done as their callers want
    And no promise was broken

    Examples:
      | held  | share |
      | 0     | 1.0   |
      | 0.055 | 0.9   |
      | 0.1   | 0.8   |

  Scenario Outline: Each answer of the store takes <seconds> s while jobs of 12 tasks come, 8 a second
    An end is acknowledged once it is stored; its executor lists it again until that. Looks waited 0.25 s for it, and
    0.15 s more, so all other ends there were seen late, beside what a slow store costs each job anyway.

    Given owners on a fake platform
    When each answer of the store takes <seconds> s while jobs of many tasks come
    Then at least <share> of the jobs are done as their callers want
    And no promise was broken

    Examples: a job needs two appends beside its work, each up to twice as long as an answer takes
      | seconds | share |
      | 0.05    | 1.0   |
      | 0.15    | 0.95  |
      | 0.25    | 0.9   |
