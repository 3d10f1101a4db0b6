Feature: Jobs run once, urgent ones first, and all of them end
  A job that is accepted ends with a numbered code, and what must not run twice doesn't.

  Scenario Outline: An attempt under the fault "<fault>", idempotent: <idempotent>
    The submitter sees one result. Between the record of the placing and that of the end an answer
    is lost, a daemon dies, two act at once, or the lease runs out while its holder is paused. The
    attempt is fenced by its epoch, and started again only under its own id and within a window.

    Given jobs on a fake platform with two daemons
    When jobs run under the fault "<fault>", idempotent: <idempotent>
    Then jobs have ended with <code> after <runs> runs, none of them overlapping

    Examples:
      | fault                               | idempotent | code | runs |
      | answers lost after their effect     | no         | 4006 | 1    |
      | calls that take effect later        | no         | 4006 | 1    |
      | both daemons act at once            | no         | 4006 | 1    |
      | placer killed before the start      | no         | 4006 | 1    |
      | placer frozen before the start      | no         | 4006 | 1    |
      | owner killed while it runs          | no         | 4006 | 1    |
      | log down while it runs              | no         | 4006 | 1    |
      | worker pauses, lease lapses         | no         | 4004 | 1    |
      | worker pauses, lease lapses         | yes        | 4006 | 2    |
      | worker loses its power              | no         | 4004 | 1    |
      | worker loses its power              | yes        | 4006 | 2    |
      | host drains before the start        | no         | 4006 | 1    |
      | all daemons away before the start   | no         | 4004 | 0    |
      | all daemons away before the start   | yes        | 4006 | 1    |
      | all daemons away until it is forgot | no         | 4004 | 1    |
      | it fails                            | no         | 4004 | 1    |
      | it fails                            | yes        | 4002 | 3    |

  Scenario: A job that fits nowhere
    Given jobs on a fake platform with two daemons
    When jobs ask for 5 cores, 9 GB or an accelerator
    Then jobs have ended with 4001 after 0 runs, none of them overlapping

  Scenario: Cancellations come in a wave
    Two hundred jobs are cancelled at once, a part of them runs. The submitter sees them all end,
    none goes on running, and the platform gets one stop a task.

    Given jobs on a fake platform with two daemons
    When jobs are cancelled, 200 at once
    Then jobs have all ended with 4003 within 10 s and no task runs

  Scenario: A start that was held up takes effect when its job has ended as cancelled
    The task would run beside whatever takes its room on the log, for as long as its lease. The call
    is late by more than the window for starts, the cancelled job was ended meanwhile, and nobody
    looked at the tasks of jobs that have ended. A start that is later still is a repeat by its id.

    Given jobs on a fake platform with two daemons
    When jobs are cancelled while their start is held up, and it arrives after their end
    Then jobs have ended with 4003 and the platform was told to stop what runs

  Scenario: A worker that fails everything is set aside
    Good jobs end with an error that isn't theirs. Each job that comes to the worker fails there and
    ends well elsewhere. The worker is set aside, and its failures don't count against the jobs;
    jobs that fail everywhere at the same time don't hide behind it.

    Given jobs on a fake platform with two daemons
    When jobs meet a worker that fails everything, and some jobs fail everywhere
    Then jobs that are good end well, the bad ones with 4002, and that worker alone is set aside

  Scenario Outline: Urgent work needs room that gentle work with <steps> holds
    The urgent job would wait for hours. All workers are full of gentle jobs when it comes. As their
    profile allows they are slowed down, checkpointed or stopped, the fewest that make room.

    Given jobs on a fake platform with two daemons
    When jobs that are gentle, with <steps> and idempotent: <idempotent>, fill all workers and an urgent one comes
    Then jobs that are urgent start <when> and the gentle ones end after <runs> runs

    Examples:
      | steps               | idempotent | when       | runs  |
      | throttle,checkpoint | no         | within 6 s | again |
      | stop                | yes        | within 6 s | again |
      | stop                | no         | later      | one   |
      | nothing             | yes        | later      | one   |

  Scenario Outline: A team's quota is full of its own gentle work with <steps> when an urgent job comes
    The urgent job would wait for hours beside free workers. The quota lets nothing more be placed;
    as their profile allows, the fewest of the team's own gentle jobs make way, and none of another
    team. What has made way isn't placed again before the urgent job, into the quota it has freed.

    Given jobs on a fake platform with two daemons
    When jobs of a team fill its quota with <steps>, with <rest>, and an urgent one comes
    Then jobs that are urgent start <when>, and <paused> of that team's alone were paused

    Examples:
      | steps               | rest                   | when       | paused |
      | throttle,checkpoint | room elsewhere         | within 8 s | 3      |
      | throttle,checkpoint | all other workers full | within 8 s | 3      |
      | nothing             | room elsewhere         | later      | 0      |

  Scenario: Long gentle work ends under a steady load of urgent work
    The reconciliation must finish. Urgent jobs ask for all the room there is, all the time. After
    each pause a job runs twice as long before the next, and waiting raises its place in the queue.

    Given jobs on a fake platform with two daemons
    When jobs that are urgent come faster than they can run, beside a long gentle one
    Then jobs that are gentle end, paused 3 times at most

  Scenario Outline: Declared sizes <declared> times too large are corrected to <ratio>
    Given jobs whose declared sizes are <declared> times what they use
    Then jobs of that kind are allocated <ratio> times their declared cores, and others as declared

    Examples:
      | declared | ratio |
      | 4        | 0.25  |
      | 0.5      | 2.0   |
      | 100      | 0.1   |

  Scenario: The queue against a naive version
    Given jobs and workers of random sizes
    Then jobs never exceed the free capacity of their worker, and none waits that fits in queue order

  Scenario: Workers are kept for jobs that wait behind the first
    All work would stand still while all workers are free. Each is kept for a job further back,
    which waits for the first, which finds none. Only a job before it may hold one up.

    Given jobs and workers of random sizes
    Then jobs that are first are placed where they fit, whatever workers are reserved for later jobs

  Scenario Outline: Leases of many jobs are renewed while <fault>
    A fleet's running jobs would keep each daemon busy all the time, or lapse. Every daemon looked
    through all of them for the few that are its own; now it looks at those, and at the leases that
    come close to their end because their owner, though alive, doesn't renew them.

    Given jobs on a fake platform with two daemons
    When jobs run on all workers while <fault>
    Then jobs have run once each, and daemons looked at <checks> for leases

    Examples:
      | fault                               | checks               |
      | both daemons renew their share      | their own jobs alone |
      | one daemon's renewals never arrive  | all that are late    |

  Scenario: Jobs on separate processes
    Two daemons run jobs that must not run twice on the platform stand-in, while answers of starts
    are lost and one daemon is killed. The platform's record shows one run each.

    Given actors in two daemon processes on the platform stand-in
    When jobs run on processes with lost answers, a kill and a cancellation
    Then jobs on processes have each run once and ended
