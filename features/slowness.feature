Feature: Slow executors are found whatever submitters declare, and sound ones aren't paused
  Names the pattern: many short jobs whose declared estimates are off by far, for a whole step alike.

  Scenario Outline: Of 32 executors <slow> are slow, under <work>: <slow> are found
    Guards against sound executors that get no work while jobs wait, and slow ones that go on getting it.

    When jobs of the kind "<case>" run on 32 executors, in 3 plays
    Then in each play all <slow> slow executors are paused, and others at most once

    Examples:
      | slow | work                       | case                                      |
      | 0    | estimates off by a fifth   | sound, estimates off by a fifth           |
      | 0    | estimates off by far       | sound, estimates off by far               |
      | 0    | wide long tasks            | sound, wide long tasks                    |
      | 4    | estimates off by a fifth   | four of 32 slow, estimates off by a fifth |
      | 4    | estimates off by far       | four of 32 slow, estimates off by far     |
      | 4    | wide long tasks            | four of 32 slow, wide long tasks          |

  Scenario Outline: A run that <run> is <verdict>
    Guards against a verdict on a run that can't be compared with its siblings.

    Then a run that <run> is <verdict>

    Examples:
      | run                                                     | verdict     |
      | is as fast as its siblings                              | sound       |
      | is ten times slower than its siblings                   | slow        |
      | is ten times slower, and has run for half a second      | sound       |
      | is ten times slower than two siblings                   | not judged  |
      | is ten times slower than siblings on its own executor   | not judged  |
      | is far from its data, with siblings near theirs         | not judged  |
      | has no siblings                                         | not judged  |
