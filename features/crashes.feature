Feature: A task that crashes its executors fails its job, with little effect on other jobs
  An executor that a task crashes closes its connections. Seconds later a new incarnation is there,
  which runs nothing and reports nothing of what the former one ran.

  Scenario: A job whose task crashes each executor that starts it ends as failed
    Guards against starting a task again and again because its crashes aren't counted.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors at the start, runs with the fault "none"
    Then all jobs have ended as failed
    And no promise was broken

  Scenario Outline: A task that crashes its executors <when> fails its job with the fault "<fault>"
    Guards against losing the crash count in a takeover or an outage of the store.

    Given owners on a fake platform
    When a job of <width> tasks, one of which crashes its executors <when>, runs with the fault "<fault>"
    Then all jobs have ended as failed
    And no promise was broken

    Examples:
      | when            | width | fault                           |
      | at the start    | 1     | none                            |
      | at the start    | 6     | none                            |
      | late in the run | 1     | none                            |
      | late in the run | 6     | none                            |
      | at the start    | 6     | owner killed                    |
      | at the start    | 6     | all killed                      |
      | at the start    | 6     | owner stopped                   |
      | at the start    | 6     | store down                      |
      | at the start    | 6     | partition away and owner killed |
      | at the start    | 6     | owner cut from store            |
      | at the start    | 6     | store loses answers             |
      | at the start    | 6     | dealt anew                      |
      | at the start    | 6     | orders held up                  |
      | late in the run | 6     | owner killed                    |

  Scenario Outline: Other jobs complete while <each> crash executors <when>, with the fault "<fault>"
    Guards against blaming tasks on the same executor for a crash, and failing their jobs as well.

    When <jobs> jobs are submitted, one every <gap> s, <each> of them crashing executors <when>, with the fault "<fault>"
    Then all sound jobs have completed, all others have failed, and no promise was broken

    Examples:
      | jobs | gap  | each         | when            | fault                           |
      | 60   | 0.1  | one in six   | at the start    | none                            |
      | 60   | 0.1  | one in six   | late in the run | none                            |
      | 60   | 0.1  | one in three | at the start    | none                            |
      | 60   | 0.1  | one in three | late in the run | none                            |
      | 120  | 0.08 | one in six   | at the start    | none                            |
      | 40   | 0.1  | one in six   | at the start    | owner killed                    |
      | 40   | 0.1  | one in six   | at the start    | all killed                      |
      | 40   | 0.1  | one in six   | at the start    | owner stopped                   |
      | 40   | 0.1  | one in six   | at the start    | store down                      |
      | 40   | 0.1  | one in six   | at the start    | store slow                      |
      | 40   | 0.1  | one in six   | at the start    | partition away and owner killed |
      | 40   | 0.1  | one in six   | at the start    | executor crashes                |
      | 40   | 0.1  | one in six   | at the start    | executor loses power            |
      | 40   | 0.1  | one in six   | at the start    | executor cut                    |
      | 40   | 0.1  | one in six   | at the start    | executors lose answers          |
      | 40   | 0.1  | one in six   | at the start    | orders held up                  |
      | 40   | 0.1  | one in six   | late in the run | owner killed                    |

  Scenario Outline: Jobs complete though executors crash for other reasons: <fault>, <times> times in a row
    Guards against failing a sound job for a faulty rack, a network partition or a power failure.

    Given owners on a fake platform
    When 8 jobs of two steps are submitted, with the fault "<fault>" <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | fault                | times |
      | executor crashes     | 6     |
      | executor loses power | 4     |
      | rack crashes         | 4     |
      | rack is cut reset    | 4     |
      | address reused       | 6     |
      | executor drains      | 4     |

  Scenario: A sound job completes though two executors break off all calls and its owner is killed after each
    Guards against taking the entry of a machine's former executor, which stays listed for seconds,
    for that of a new one: the crashes then count as confirmed, and the job fails with no task run.

    Given owners on a fake platform
    When a job is started on 2 executors in a row that break off, while their machines' former executors are still listed
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A job whose runs end with <count> executors that <end> ends as <state>
    Guards against taking an executor that the fleet's owner has ordered away for one that crashed.

    Given owners on a fake platform
    When <count> executors in a row <end> while the only task of a job runs there, and their machines have new ones
    Then all jobs have ended as <state>
    And no promise was broken

    Examples:
      | count | end              | state     |
      | 2     | are ordered away | completed |
      | 2     | crash            | failed    |

  Scenario Outline: The log of a crash shows how long the run was at work: <seconds> s
    Guards against a log that doesn't tell a task that crashes executors from one that served users.

    Given owners on a fake platform
    When an executor crashes <seconds> s after a long-running task has started there
    Then the log of the crash shows a run that was at work for <seconds> s, give or take 1.2 s

    Examples:
      | seconds |
      | 2       |
      | 20      |

  Scenario Outline: A crash counts as <crash> for a run that <was>, beside <beside>
    Guards against blaming a task for a crash that another one caused, and against blaming none.

    When an executor closes its connections under a run that <was>, beside <beside>
    Then the crash counts as <crash> for that run

    Examples:
      | was                      | beside              | crash          |
      | had just been started    | nothing             | ONLY_STARTED   |
      | had just been started    | runs at work        | ONLY_STARTED   |
      | had just been started    | others just started | STARTED        |
      | was at work              | others just started | BESIDE_STARTED |
      | was at work              | runs at work        | AT_WORK        |
      | was at work              | nothing             | ONLY_AT_WORK   |
      | got no answer to a start | runs at work        | ONLY_STARTED   |
      | was answered 1 s ago     | runs at work        | AT_WORK        |
      | was never sent           | nothing             | no crash       |
      | was never sent           | runs at work        | no crash       |
      | was at work              | a run on trial      | BESIDE_STARTED |
      | is the run on trial      | runs at work        | ONLY_AT_WORK   |
      | had just been adopted    | nothing             | ONLY_AT_WORK   |
      | had just been adopted    | runs at work        | AT_WORK        |
      | had just been adopted    | others just started | BESIDE_STARTED |

  Scenario Outline: After the crashes <crashes> a task <decision>
    Guards against failing the job of a sound task, and against too many starts of a faulty one.

    When executors have crashed under a task, counted as <crashes>
    Then that task <decision>

    Examples:
      | crashes                                                     | decision                   |
      | BESIDE_STARTED                                              | may start on any executor  |
      | AT_WORK                                                     | may start on any executor  |
      | BESIDE_STARTED,BESIDE_STARTED                               | may start on any executor  |
      | STARTED                                                     | must start apart           |
      | ONLY_STARTED                                                | must start apart           |
      | STARTED,seen at work                                        | may start on any executor  |
      | BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED                | must run alone             |
      | AT_WORK,AT_WORK                                             | must run alone             |
      | STARTED,STARTED                                             | must run alone             |
      | AT_WORK,AT_WORK,seen at work                                | must run alone             |
      | AT_WORK,AT_WORK,ONLY_AT_WORK                                | must run alone             |
      | STARTED,ONLY_STARTED                                        | is given up                |
      | STARTED,unconfirmed ONLY_STARTED                            | must run alone             |
      | unconfirmed ONLY_AT_WORK,unconfirmed ONLY_AT_WORK           | must run alone             |
      | ONLY_STARTED,ONLY_STARTED                                   | is given up                |
      | ONLY_AT_WORK,ONLY_AT_WORK                                   | is given up                |
      | AT_WORK,AT_WORK,AT_WORK,AT_WORK                             | must run alone             |
      | AT_WORK,AT_WORK,AT_WORK,ONLY_AT_WORK                        | is given up                |
      | AT_WORK,AT_WORK,AT_WORK,AT_WORK,AT_WORK                     | is given up                |
      | BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED | is given up |

  Scenario: A task isn't started again before its crash is stored
    Guards against a start that the next owner wouldn't count if this one loses power.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors at the start, runs while no crash can be stored
    Then the task was started once
    And no promise was broken

  Scenario Outline: A task isn't started a third time before its second crash can be confirmed
    Guards against a third executor lost to each crashing task, with all that runs beside it.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors at the start, runs while new executors answer <delay> s late
    Then the task was started twice
    And all jobs have ended as failed
    And no promise was broken

    Examples:
      | delay |
      | 0.3   |
      | 0.9   |
      | 1.5   |

  Scenario Outline: A task isn't started a third time though its owner is killed <after> s after crash <number>
    Guards against a takeover that forgets which crashes are confirmed, or where the others were.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors at the start, runs while its owner is killed <after> s after crash <number>
    Then the task was started twice
    And all jobs have ended as failed
    And no promise was broken

    Examples:
      | after | number |
      | 1     | 1      |
      | 2     | 1      |
      | 4     | 1      |
      | 1     | 2      |
      | 2     | 2      |

  Scenario: Each host reports why a job failed, before and after a takeover
    Guards against reporting only "failed" to a caller, or different reasons on different hosts.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors at the start, has its state read at each host
    Then each host reports "2 executors crashed under task 0.0.0", before and after a takeover

  Scenario Outline: With spreading, sound jobs lose less work to crashes: <each> of <jobs> jobs
    Short jobs are submitted at a steady rate, and some of them crash executors at the start.
    Guards against packing jobs onto the executors that crash next.

    When <jobs> jobs are submitted, one every <gap> s, <each> crashing executors, with and without spreading
    Then fewer runs of sound jobs were lost with spreading, and all sound jobs have completed

    Examples:
      | jobs | gap  | each          |
      | 60   | 0.1  | one in six    |
      | 120  | 0.08 | one in six    |
      | 60   | 0.1  | one in three  |
      | 120  | 0.05 | one in twelve |

  Scenario Outline: Long-running tasks stay up while one in <each> jobs crashes executors <when>
    Guards against failing a long-running job for crashes caused by tasks started beside it.

    When <jobs> jobs are submitted, one every 0.1 s, one in <each> crashing executors <when>, beside 3 long-running jobs
    Then the long-running jobs are running, all sound jobs have completed, and no promise was broken

    Examples:
      | jobs | each  | when            |
      | 60   | six   | at the start    |
      | 60   | six   | late in the run |
      | 60   | three | at the start    |

  Scenario: An executor that crashes under many tasks of a job costs its owner as much a task as under a few
    The owner stored the whole job for each task. Under 4,000 tasks it did nothing else for 8.5 to 13 s. It lost its
    shards, after which it served requests by the configuration from before.

    When an executor crashes under 600 and under 2400 tasks of a job
    Then each crash is durable, and the calls made for each task are no more by over a tenth
