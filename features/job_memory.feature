Feature: An owner accepts no more jobs than its memory holds
  Small bodies may ask for large jobs: what a job takes of its owner's memory depends on its steps and tasks.

  Scenario Outline: With <held> held of 100 MB, a job of <tasks> tasks is <outcome>
    Guards against an owner that ends for want of memory by jobs that are each within the limits, and against
    ordinary jobs that are refused because large ones fill the room.

    Given an owner on a machine of 100 MB that holds jobs of <held> in all
    When a job of <tasks> tasks in <steps> steps is submitted
    Then the owner's memory is <outcome>

    Examples:
      | held       | tasks | steps | outcome |
      | 0          | 10000 | 1     | taken   |
      | 0          | 10000 | 3800  | taken   |
      | 18,700,000 | 10000 | 1     | taken   |
      | 18,800,000 | 10000 | 1     | refused |
      | 18,800,000 | 50    | 2     | taken   |
      | 24,900,000 | 50    | 2     | taken   |
      | 25,000,000 | 50    | 2     | refused |

  Scenario: Jobs that are accepted at once count before their owner's are summed up again
    Guards against a crowd of large jobs that is accepted whole within one interval.

    Given an owner on a machine of 100 MB that holds jobs of 0 in all
    When 50 jobs of 10000 tasks are submitted at once
    Then 2 of them are accepted
