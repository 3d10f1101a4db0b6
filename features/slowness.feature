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

  Scenario: Runs are judged as by comparing each with all others
    Then 500 drawn steps are judged as by comparing each run with all others

  Scenario: A step of 6,000 running tasks doesn't hold its owner up
    An owner compared each run of a step with all others, ten times a second. One job with a wide step
    took it 40 s each time: it answered nothing, its membership lapsed, and so did the leases of all
    executors, with the tasks that last. Ten passes a second and the ends of 400 runs may take half
    of a core, which makes some 2 million function calls a second.

    When a step of 6000 tasks on 28 executors is watched while they run
    Then 10 passes over its runs and 400 ends make at most 1000000 function calls
