Feature: Jobs run once, urgent ones first, and all of them end
  An accepted job ends with a numbered code, and one that isn't idempotent doesn't run twice.

  Scenario Outline: An attempt under the fault "<fault>", idempotent: <idempotent>
    The submitter sees one result although, between the records of the placement and of the end, an
    answer is lost, a daemon dies, two act at once, or the lease expires while its holder is paused.
    The attempt is fenced by its epoch, and restarted only under its own id and within a window.

    Given jobs on a fake platform with two daemons
    When jobs run under the fault "<fault>", idempotent: <idempotent>
    Then jobs have ended with <code> after <runs> runs, none of them overlapping

    Examples:
      | fault                                     | idempotent | code | runs |
      | answers lost after their effect           | no         | 4006 | 1    |
      | calls that take effect later              | no         | 4006 | 1    |
      | both daemons act at once                  | no         | 4006 | 1    |
      | placer killed before the start            | no         | 4006 | 1    |
      | placer frozen before the start            | no         | 4006 | 1    |
      | owner killed while it runs                | no         | 4006 | 1    |
      | log down while it runs                    | no         | 4006 | 1    |
      | worker pauses, lease lapses               | no         | 4004 | 1    |
      | worker pauses, lease lapses               | yes        | 4006 | 2    |
      | worker loses its power                    | no         | 4004 | 1    |
      | worker loses its power                    | yes        | 4006 | 2    |
      | host drains before the start              | no         | 4006 | 1    |
      | all daemons cut off before the start      | no         | 4004 | 0    |
      | all daemons cut off before the start      | yes        | 4006 | 1    |
      | all daemons cut off until it is forgotten | no         | 4004 | 1    |
      | it fails                                  | no         | 4004 | 1    |
      | it fails                                  | yes        | 4002 | 3    |

  Scenario: A job that fits nowhere
    Given jobs on a fake platform with two daemons
    When jobs ask for 5 cores, 9 GB or an accelerator
    Then jobs have ended with 4001 after 0 runs, none of them overlapping

  Scenario: Many jobs are cancelled at once
    Two hundred jobs are cancelled at once, and a part of them runs. The submitter sees all end, no
    task continues, and the platform gets one stop per task.

    Given jobs on a fake platform with two daemons
    When jobs are cancelled, 200 at once
    Then jobs have all ended with 4003 within 10 s and no task runs

  Scenario: A delayed start takes effect after its job has ended as cancelled
    The task would run beside the one that takes its capacity on the log until its lease ends. The
    call is later than the window for starts, the cancelled job has ended meanwhile, and no daemon
    checked the tasks of ended jobs. A start that is later still is a repeat by its id.

    Given jobs on a fake platform with two daemons
    When jobs are cancelled while their start is delayed, and it arrives after their end
    Then jobs have ended with 4003 and the platform was told to stop the task

  Scenario: A worker that fails everything is set aside
    Good jobs would end with an error that isn't theirs: each one placed on the worker fails there
    although it succeeds elsewhere. The worker is set aside, and its failures don't count against
    the jobs; jobs that fail everywhere at the same time aren't excused by it.

    Given jobs on a fake platform with two daemons
    When jobs meet a worker that fails everything, and some jobs fail everywhere
    Then jobs that are good succeed, the bad ones end with 4002, and only that worker is set aside

  Scenario Outline: An urgent job needs capacity that less urgent jobs with <steps> hold
    The urgent job would wait for hours, as all workers are full of less urgent jobs. As their
    profile allows, the fewest needed are slowed down, checkpointed or stopped.

    Given jobs on a fake platform with two daemons
    When jobs that are less urgent, with <steps> and idempotent: <idempotent>, fill all workers and an urgent one arrives
    Then jobs that are urgent start <when> and the less urgent ones run <runs>

    Examples:
      | steps               | idempotent | when       | runs  |
      | throttle,checkpoint | no         | within 6 s | again |
      | stop                | yes        | within 6 s | again |
      | stop                | no         | later      | once  |
      | nothing             | yes        | later      | once  |

  Scenario Outline: A team's less urgent jobs with <steps> fill its quota when an urgent one arrives
    The urgent job would wait for hours beside free workers, as the quota permits no more jobs. As
    their profile allows, the fewest of the team's own less urgent jobs are paused, and none of
    another team. A paused job isn't placed into the freed quota before the urgent one.

    Given jobs on a fake platform with two daemons
    When jobs of a team fill its quota with <steps>, with <rest>, and an urgent one arrives
    Then jobs that are urgent start <when>, and only <paused> jobs of that team were paused

    Examples:
      | steps               | rest                   | when       | paused |
      | throttle,checkpoint | capacity elsewhere     | within 8 s | 3      |
      | throttle,checkpoint | all other workers full | within 8 s | 3      |
      | nothing             | capacity elsewhere     | later      | 0      |

  Scenario: A long less urgent job ends under a steady load of urgent jobs
    The long job must finish although urgent jobs always ask for all capacity. After each pause a
    job runs twice as long before the next, and waiting raises its urgency in the queue.

    Given jobs on a fake platform with two daemons
    When jobs that are urgent arrive faster than they can run, beside a long less urgent one
    Then jobs that are less urgent end, paused 3 times at most

  Scenario Outline: Declared sizes <declared> times too large are corrected to <ratio>
    Given jobs whose declared sizes are <declared> times what they use
    Then jobs of that kind are allocated <ratio> times their declared cores, and others as declared

    Examples:
      | declared | ratio |
      | 4        | 0.25  |
      | 0.5      | 2.0   |
      | 100      | 0.1   |

  Scenario: The queue is checked against a naive implementation
    Given jobs and workers of random sizes
    Then jobs never exceed the free capacity of their worker, and none waits that fits in queue order

  Scenario: Workers are reserved for jobs that wait behind the first
    All workers would stay idle, each reserved for a job further back that waits for the first,
    which finds no worker. Only a reservation for an earlier job may block a job.

    Given jobs and workers of random sizes
    Then jobs that are first are placed where they fit, whatever workers are reserved for later jobs

  Scenario Outline: Leases of many jobs are renewed while <fault>
    A daemon that scanned all running jobs for the few of its own was busy all the time, or leases
    lapsed. Each daemon checks its own jobs only, and the leases close to their end because their
    owner, though alive, doesn't renew them.

    Given jobs on a fake platform with two daemons
    When jobs run on all workers while <fault>
    Then jobs have run once each, and daemons checked the leases of <checks>

    Examples:
      | fault                              | checks               |
      | both daemons renew their share     | their own jobs alone |
      | one daemon's renewals never arrive | all that are late    |

  Scenario: Jobs on separate processes
    Two daemons run jobs that aren't idempotent on the platform stand-in, while answers to starts
    are lost and one daemon is killed. The platform's record shows one run of each.

    Given actors in two daemon processes on the platform stand-in
    When jobs run on processes with lost answers, a kill and a cancellation
    Then jobs on processes have each run once and ended
