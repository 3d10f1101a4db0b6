Feature: Long-running tasks are restarted however they end, and their job goes on until it is cancelled
  A step may miss one of its tasks. No decision of the system ends more of them at once: not that a
  task is given up, not that another step of the job has failed.

  Scenario Outline: A task goes on though executors crash under it <count> times, <after> s after each start, with the fault "<fault>"
    Guards against ending a job, and stopping its healthy tasks, for executors that crash by themselves.

    Given owners on a fake platform
    When executors crash <count> times under a long-running task, each <after> s after its start, with the fault "<fault>"
    Then all tasks of the job are at work, and its state is running
    And no promise was broken

    Examples:
      | count | after | fault         |
      | 2     | 4     | none          |
      | 4     | 4     | none          |
      | 6     | 12    | none          |
      | 4     | 4     | owner killed  |
      | 4     | 4     | owner stopped |
      | 6     | 12    | owner killed  |

  Scenario Outline: After the crashes <crashes> a long-running task <decision>
    Guards against giving up a task that serves, and against starting one that crashes without end.

    When executors have crashed under a long-running task, counted as <crashes>
    Then that task <decision>

    Examples:
      | crashes                                                                  | decision                  |
      | ONLY_AT_WORK                                                             | must start apart          |
      | ONLY_AT_WORK,seen at work                                                | may start on any executor |
      | ONLY_AT_WORK,ONLY_AT_WORK                                                | must run alone            |
      | ONLY_STARTED,ONLY_AT_WORK                                                | must run alone            |
      | AT_WORK,ONLY_STARTED                                                     | must run alone            |
      | ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK                      | must run alone            |
      | BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED | must run alone          |
      | ONLY_STARTED,ONLY_STARTED                                                | is given up               |
      | STARTED,ONLY_STARTED                                                     | is given up               |
      | ONLY_STARTED,unconfirmed ONLY_STARTED                                    | must run alone            |
      | ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK         | is given up               |
      | ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK,ONLY_AT_WORK,unconfirmed AT_WORK  | is given up               |

  Scenario Outline: A task that crashes its executors <when> is contained, with the fault "<fault>"
    Guards against starting it without end, and against ending its job's other tasks with it.

    Given owners on a fake platform
    When one of 5 long-running tasks crashes its executors <when>, with the fault "<fault>"
    Then the task is given up after <most> starts at most
    And the 4 others are at work and weren't stopped
    And the job's state is running, and says that the task was given up
    And no promise was broken

    Examples:
      | when            | most | fault                |
      | at the start    | 3    | none                 |
      | late in the run | 5    | none                 |
      | after 3 s       | 5    | none                 |
      | after 8 s       | 5    | none                 |
      | at the start    | 5    | owner killed         |
      | at the start    | 5    | owner stopped        |
      | at the start    | 5    | all killed           |
      | at the start    | 5    | store down           |
      | late in the run | 5    | owner killed         |
      | late in the run | 5    | owner cut from store |
      | after 3 s       | 5    | owner killed         |
      | after 3 s       | 5    | owner stopped        |

  Scenario: A crashing task is contained though its owner dies before it has stored a crash
    Guards against one start beyond the budget, for the crash that the next owner isn't told of.

    Given owners on a fake platform
    When one of 5 long-running tasks crashes its executors late in the run, and its owner is killed within 5 ms of the first crash
    Then the task is given up after 5 starts at most
    And the 4 others are at work and weren't stopped
    And no promise was broken

  Scenario Outline: A crashing task is contained though nobody owns it when it first crashes an executor <when>
    Guards against starts beyond the budget, for a crash that happens before the next owner is there.

    Given owners on a fake platform
    When one of 5 long-running tasks crashes its executors <when>, and its owner is killed <ahead> s before the first crash
    Then the task is given up after 5 starts at most
    And the 4 others are at work and weren't stopped
    And no promise was broken

    Examples:
      | when            | ahead |
      | late in the run | 0.2   |
      | after 3 s       | 0.5   |
      | after 3 s       | 1.5   |

  Scenario Outline: A task goes on though executors crash under it <count> times, <after> s after each start, and its owner with each
    Guards against giving up a task that serves, for crashes that are only inferred.

    Given owners on a fake platform
    When executors crash <count> times under a long-running task, each <after> s after its start, and its owner is killed with each
    Then all tasks of the job are at work, and its state is running
    And no promise was broken

    Examples:
      | count | after |
      | 4     | 4     |
      | 6     | 12    |

  Scenario: An executor without tasks crashes as the owner dies
    Guards against counting a crash for tasks that run elsewhere.

    Given owners on a fake platform
    When an executor without tasks crashes beside 5 long-running tasks, and their owner is killed
    Then all tasks of the job are at work, and its state is running
    And no crash was inferred
    And no promise was broken

  Scenario Outline: A crashing task is contained though its executors are back only <back> s later
    Guards against starts that go on while its crashes can't be confirmed.

    Given owners on a fake platform
    When one of 5 long-running tasks crashes its executors <when>, and these are back after <back> s
    Then the task is given up after 5 starts at most
    And the 4 others are at work and weren't stopped
    And no promise was broken

    Examples:
      | when            | back |
      | at the start    | 5    |
      | at the start    | 8    |
      | late in the run | 5    |
      | late in the run | 8    |

  Scenario Outline: A job of which every task crashes its executors <when> ends as failed
    Guards against a job that is shown as running, though none of its tasks is ever started again.

    Given owners on a fake platform
    When all of 3 long-running tasks crash their executors <when>
    Then all jobs have ended as failed
    And each task was started 5 times at most
    And no promise was broken

    Examples:
      | when            |
      | at the start    |
      | late in the run |

  Scenario Outline: A step that <fails> leaves the long-running step beside it at work, with the fault "<fault>"
    Guards against stopping what serves users because other tasks of their job have failed.

    Given owners on a fake platform
    When a job has a step that <fails> beside 3 long-running tasks, with the fault "<fault>"
    Then the job's state is failed, and its long-running tasks are at work and weren't stopped
    And nothing else of the job runs or was started again
    And a cancelled job has no task left, and its state is canceled
    And no promise was broken

    Examples:
      | fails                 | fault         |
      | uses its attempts up  | none          |
      | uses its attempts up  | owner killed  |
      | uses its attempts up  | owner stopped |
      | uses its attempts up  | all killed    |
      | crashes its executors | none          |
      | crashes its executors | owner killed  |

  Scenario Outline: A new owner finds a failed step beside a long-running one before it knows the attempts
    Guards against ending on what was read what the former owner wouldn't have ended.

    Given owners on a fake platform
    When a job's batch step has used its attempts up beside 3 long-running tasks as its owner <ends>
    Then the job's state is failed, and its long-running tasks are at work and weren't stopped
    And no promise was broken

    Examples:
      | ends        |
      | is killed   |
      | is stopped  |

  Scenario Outline: Tasks at work go on when their queue is removed from the configuration, with the fault "<fault>"
    Guards against ending a job because its queue isn't configured any more.

    Given owners on a fake platform
    When the queue of 3 long-running tasks is removed, with the fault "<fault>"
    Then all tasks of the job are at work
    And no promise was broken

    Examples:
      | fault            |
      | none             |
      | owner killed     |
      | owner stopped    |
      | executor crashes |
