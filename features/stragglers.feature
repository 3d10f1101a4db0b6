Feature: Runs on slow executors are restarted elsewhere where that saves time
  Names the loads: a sixth of the executors at a fifth of the usual speed; 3 in 100 tasks that take 7 times as long as
  comparable tasks.

  Scenario Outline: A run that <run>, with <others> beside it, is <verdict>
    The median of the siblings is 1.4 s, a stop takes 0.8 s. Guards against restarts that cost more than they save, and
    against taking the work of a task for the fault of its executor.

    Then with <others> beside it a straggling run that <run> is <verdict>

    Examples:
      | run                                         | others                  | verdict   |
      | is a fifth done after 1.5 s                 | 3 slow runs             | restarted |
      | is a fifth done after 1.5 s                 | 2 slow runs             | restarted |
      | is a fifth done after 1.5 s                 | 1 slow run              | kept      |
      | is a fifth done after 1.5 s                 | none                    | kept      |
      | is a fifth done after 1.5 s                 | 3 slow and 2 sound runs | kept      |
      | is a fifth done after 1.5 s                 | 4 slow and 2 sound runs | restarted |
      | is a fifth done after 0.9 s                 | 3 slow runs             | kept      |
      | is half done after 1.5 s                    | 3 slow runs             | kept      |
      | is two thirds done after 5 s                | 3 slow runs             | kept      |
      | is two thirds done after 10 s               | 3 slow runs             | restarted |
      | is two thirds done after 6.5 s              | 3 slow runs             | kept      |
      | is two thirds done after 6.5 s, all saved   | 3 slow runs             | restarted |
      | is a fifth done after 1.5 s, with 2 ends    | 3 slow runs             | kept      |
      | is a tenth done after 1.5 s since half      | 3 slow runs             | restarted |

  Scenario Outline: Under "<load>" steps take <less> with restarts than with nothing done
    Guards against restarts that give up more than they save on a load that isn't due to executors.

    When 5 plays of "<load>" are made with restarts and with nothing done
    Then steps take <less> on average with restarts than with nothing done
    And at least <useful> of 100 restarts are useful
    And at most 5 of 100 core-seconds are given up

    Examples:
      | load                                             | less               | useful |
      | a sixth of the executors at a fifth of the speed | 0.05 less          | 90     |
      | a sixth at a fifth of the speed, wide steps      | 0.2 less           | 90     |
      | both at once                                     | 0.03 less          | 90     |
      | 3 in 100 tasks take 7 times as long              | at most 0.01 more  | 0      |
      | neither                                          | at most 0.01 more  | 0      |

  Scenario Outline: Runs <which> aren't restarted
    Each exclusion is tried on the load on which most restarts are made. Guards against two runs of a task at once, a gang
    of which one member is started anew, and a task that loses its progress and finds no capacity.

    When a play of wide steps on slow executors has runs <which>
    Then no run of the play was restarted

    Examples:
      | which                           |
      | of gangs                        |
      | taken over from a former owner  |
      | whose mark isn't durable        |
      | on executors being emptied      |
      | of tasks that crashed executors |
      | away from their data            |
      | of tasks restarted before       |
      | with only paused executors      |
      | with the feature off            |

  Scenario: Restarts wait for the capacity that those in flight need
    All other executors together have capacity for one more task. Guards against many tasks that lose their progress for one
    free place.

    When a play of wide steps on slow executors has capacity for one task elsewhere
    Then runs of the play are restarted one after the other

  Scenario: Restarts of a pool keep to their budget
    Guards against a pool that is busy with giving up work.

    When a budget of a pool of 40 cores is asked for 1 core-second 10 times a second for 30 s
    Then it grants at most 80 core-seconds, and at least 70

  Scenario Outline: A job with runs on a slow executor is <done> with <fault>, restarts being <switch>
    One of four executors works at a tenth of the speed. Three of the job's twelve tasks run there, and are stopped once
    their siblings have ended. Guards against two runs of a task at once, a start after an acknowledged end, a start
    after a cancellation, and a second restart of a task.

    Given owners on a fake platform
    When a job runs with 3 of its 12 tasks on a slow executor, with <fault>, restarts being <switch>
    Then the job is <done>
    And no task was restarted more than once
    And no promise was broken

    Examples:
      | fault                                     | switch | done                  |
      | no fault                                  | on     | completed in 20 s     |
      | no fault                                  | off    | not completed in 20 s |
      | the owner killed when a stop is sent      | on     | completed in 60 s     |
      | the owner frozen when a stop is sent      | on     | completed in 60 s     |
      | the executor cut off when a stop is sent  | on     | completed in 60 s     |
      | the executor lost when a stop is sent     | on     | completed in 60 s     |
      | stops that get no answer                  | on     | completed in 60 s     |
      | the runs ending while they are stopped    | on     | completed in 60 s     |
      | all executors slow after the restart      | on     | completed in 60 s     |
      | a new owner after the restart, all slow   | on     | completed in 60 s     |
      | the job cancelled when a stop is sent     | on     | canceled in 20 s      |
      | the store down before a stop is sent      | on     | completed in 60 s     |

  Scenario: An account's limit holds while its runs are restarted
    Two jobs of 12 tasks are submitted, and their account may have 12 cores. Guards against a task that is counted for the
    limit neither while its run is being stopped nor when it starts anew.

    Given owners on a fake platform
    When 2 jobs of an account limited to 12 tasks run, with 3 tasks at a time on a slow executor
    Then at least 1 run was restarted, and at most 12 tasks ran at any moment
    And both jobs are completed
    And no promise was broken

  Scenario: Without a durable record of it, no run is restarted
    The store is down when the siblings end. Guards against a next owner that restarts the same task again, as it can't
    know of the first restart.

    Given owners on a fake platform
    When a job runs with 3 of its 12 tasks on a slow executor, with the store down before a stop is sent, restarts being on
    Then no run was restarted while the store was down

  Scenario: A task that was restarted counts as restarted for the next owner
    Guards against a task that each owner in turn restarts, so that it never ends.

    When a job of 12 tasks, of which 3 and 11 were restarted, is stored and read by the next owner
    Then only tasks 3 and 11 count as restarted

  Scenario: A gang that says "speculative" is logged once
    Guards against a caller who waits for copies that are never made, with no line that says so.

    Given owners on a fake platform
    When a speculative gang of 12 tasks runs with 3 on a slow executor
    Then the speculative gang is logged once
    And no promise was broken
