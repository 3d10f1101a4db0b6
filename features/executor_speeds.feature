Feature: Steps that decide when their job ends run on the faster executors
  Names the load: a sixth of the executors is at a fifth of the speed while demand rises to five times the mean, declared
  durations are wrong by up to nine tenths, and 3 in 100 tasks take 7 times as long as their siblings. A job of two steps of
  8 tasks is late if one task of either step runs on a slow executor.

  Scenario Outline: <slow> of 24 executors are at a fifth of the speed during a rise of jobs with tasks of <work> s
    Guards against jobs that are late because of a few executors, and against sound executors that count as slow.

    When a rise comes to 24 executors, <slow> of them at a fifth of the speed, with tasks of <work> s, in 5 plays
    Then with speeds a share of at least <share> of its jobs ends in time, and no less than without
    And no sound executor counts as slow

    Examples:
      | slow | work | share |
      | 0    | 1.3  | 0.99  |
      | 0    | 0.3  | 0.99  |
      | 4    | 1.3  | 0.87  |
      | 4    | 0.3  | 0.95  |

  Scenario: Each slow executor that is needed in a rise is found
    Guards against whole steps on one executor, which have no siblings elsewhere to be compared with.

    When a rise comes to 24 executors, 4 of them at a fifth of the speed, with tasks of 1.3 s, in 5 plays
    Then the slow executors count as slow at the end of the rise

  Scenario Outline: A run at <speed> tasks a second beside siblings <siblings> has the factor <factor>
    Guards against a factor from too few siblings, from siblings on its own executor, or from those on slow ones.

    Then a run at <speed> tasks a second beside siblings <siblings> has the factor <factor>

    Examples:
      | speed | siblings                                 | factor |
      | 1.0   | x2 at 1.0, x3 at 1.0                     | 1.0    |
      | 0.2   | x2 at 1.0, x3 at 1.0                     | 0.2    |
      | 0.2   | x2 at 1.0                                | none   |
      | 0.2   | x1 at 1.0, x1 at 1.0                     | none   |
      | 1.0   | slow at 0.2, x2 at 1.0                   | 1.0    |
      | 1.0   | slow at 0.2, slow at 0.2                 | 1.0    |
      | 0.2   | x2 at 1.0, x3 at 1.0, x4 at 0.1          | 0.2    |
      | 1.0   | far at 0.5, far at 0.5                   | none   |

  Scenario Outline: After comparisons of <ratios> and <seconds> s, the factor is <factor>, <known>
    Guards against an executor that is avoided for one straggler, or for ever.

    Then after comparisons of <ratios> and <seconds> s, the factor is <factor>, <known>

    Examples:
      | ratios                      | seconds | factor | known     |
      | none                        | 0       | 1.0    | not known |
      | 0.2                         | 0       | 1.0    | not known |
      | 0.2 0.2                     | 0       | 0.6    | not known |
      | 0.2 0.2 0.2                 | 0       | 0.2    | known     |
      | 1.0 1.0 0.14 1.0 1.0        | 0       | 1.0    | known     |
      | 0.2 0.2 0.2                 | 29      | 0.2    | known     |
      | 0.2 0.2 0.2                 | 31      | 1.0    | not known |
      | 0.0 0.0 0.0                 | 0       | 0.05   | known     |
      | 9.0 9.0 9.0                 | 0       | 2.0    | known     |

  Scenario Outline: Step <step> of a job of steps "<steps>" <decides> when the job ends
    Guards against a preference where it is of no use: the step's chain is much shorter than another one of the job.

    Then step <step> of a job of steps "<steps>" <decides> when the job ends

    Examples: each step as its duration in s, and the steps that it depends on
      | steps           | step | decides        |
      | 1               | 0    | decides        |
      | 1 1<0           | 0    | decides        |
      | 1 1<0 0.2       | 2    | doesn't decide |
      | 1 1<0 1         | 2    | decides        |
      | 0.2 3<0 1       | 0    | decides        |
      | 0.2 3<0 1       | 2    | doesn't decide |
      | lasting         | 0    | doesn't decide |

  Scenario: Forecasts know how much a pool of executors of unequal speed does
    Then 20 executors of 64 cores with the factor 1, and 4 with 0.2, do the work of 1331 cores
    And a task of 1.3 s takes 6.5 s on an executor with the factor 0.2

  Scenario: A run on a slow executor teaches how long its task takes at the usual speed
    Guards against forecasts by which all tasks of a queue take as long as on its slow executors.

    When 100 runs of 6.5 s, declared as 1.3 s, end on an executor with the factor 0.2
    Then the queue's tasks take as long as declared

  Scenario Outline: Jobs complete while one of 4 executors is slow, and the feature is <state>
    Guards against speeds that are learned where the deployment doesn't use them, and against promises broken by the order
    of executors.

    Given owners on a fake platform
    When 12 jobs of 8 tasks a step are submitted while an executor is at a fifth of the speed, and the feature is <state>
    Then its speed is <learned>
    And all jobs have ended as completed
    And no promise was broken

    Examples:
      | state | learned       |
      | on    | below 0.5     |
      | off   | not known     |

  Scenario: A new incarnation of a slow executor begins at the usual speed
    Guards against a machine that is avoided for what slowed the former incarnation.

    Given owners on a fake platform whose executors state when they started
    When an executor with the factor 0.2 restarts
    Then its factor is 1 again
