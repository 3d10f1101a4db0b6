Feature: Jobs run once and end although their owner, its executors or the store fail
  One daemon owns the jobs of a service; the store assigns ownership. Without their owner, tasks
  keep running on their executors until their lease expires.

  Scenario Outline: Jobs complete with the fault "<fault>"
    The fault occurs while tasks run, once or several times in a row. Guards against running a task
    on two executors at once, repeating a task whose end was acknowledged, and denying an accepted
    job.

    Given owners on a fake platform
    When 8 jobs of two steps are submitted, with the fault "<fault>" <times> times in a row
    Then all jobs have ended as <state>
    And no promise was broken

    Examples:
      | fault                         | times | state               |
      | none                          | 1     | completed           |
      | owner killed                  | 2     | completed           |
      | owner part fails              | 2     | completed           |
      | owner frozen                  | 2     | completed           |
      | owner stopped                 | 3     | completed           |
      | all killed                    | 2     | completed           |
      | store down                    | 1     | completed           |
      | partition away                | 1     | completed           |
      | partition away and owner killed | 1   | completed           |
      | partitions in turn            | 1     | completed           |
      | store slow                    | 1     | completed           |
      | store loses answers           | 2     | completed           |
      | owner cut from store          | 1     | completed           |
      | owner cut off with executors  | 1     | completed           |
      | owner cut off and executor replaced | 2 | completed         |
      | owner cut off and dealt anew  | 2     | completed           |
      | dealt anew                    | 4     | completed           |
      | executor crashes              | 2     | completed           |
      | address reused                | 3     | completed           |
      | executor cut                  | 1     | completed           |
      | executor cut and owner killed | 1     | completed           |
      | entry lapses and owner killed | 1     | completed           |
      | orders held up                | 2     | completed           |
      | executor fails all            | 1     | completed           |
      | executor hangs                | 1     | completed           |
      | executor drains               | 2     | completed           |
      | entries overwritten           | 3     | completed           |
      | wave comes                    | 1     | completed           |

  Scenario: A start is answered only after its run has ended
    The answer to a start is lost, and the task ends before the start is repeated. The executor
    rejects the repeat as outdated, which doesn't mean that the start failed: the task mustn't run
    again.

    Given owners on a fake platform
    When 8 short jobs are submitted while executors lose answers
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: Failures that the previous owner couldn't store count for the next owner
    A job fails as often as its queue allows. The store is down, so no end is acknowledged, and all
    daemons are killed. The executors report the failures to the next owner before it has read the
    configuration, which holds the number of attempts. It mustn't start the tasks again.

    Given owners on a fake platform
    When 4 jobs of two steps are submitted, with the fault "all fails and configuration late" 1 times in a row
    Then all jobs have ended as failed
    And no promise was broken

  Scenario: A job that failed at one step starts no other step
    A job has two independent steps. A new owner finds that the first one had failed too often under
    earlier owners, and ends the job. In the same pass, the second one is waiting for capacity; if
    it was started now, it would keep running for a job that its caller sees as failed.

    Given owners on a fake platform
    When a job of two independent steps has failed at its first one before capacity is free
    Then all jobs have ended as failed
    And nothing of the job was started

  Scenario Outline: A lasting run counts as at work <when>
    Guards against two tasks of a lasting step being away at once. The previous owner has ordered
    one to stop; the next owner finds it listed as running, and stops another one. A run therefore
    counts as at work only once a stop sent earlier would have ended it.

    Then a lasting run found <age> s ago <counts> as at work, where a stop takes 0.9 s

    Examples:
      | when                            | age | counts        |
      | only after some time            | 0.5 | doesn't count |
      | only after a stop               | 2.0 | doesn't count |
      | once a stop would have ended it | 2.5 | counts        |

  Scenario Outline: A job fails as often as its queue allowed although that is removed, with the fault "<fault>"
    Guards against starting a task without end, for a job that nobody can cancel any more.

    Given owners on a fake platform
    When 4 jobs that fail are accepted, and their queue is removed, with the fault "<fault>"
    Then all jobs have ended as failed
    And no promise was broken

    Examples:
      | fault        |
      | none         |
      | owner killed |
      | all killed   |

  Scenario: A failure that is reported to two owners counts once
    A job fails once and has attempts left. Its owner is replaced after storing the failure and
    before acknowledging it, so the next owner receives it again; it mustn't count as a second
    failure.

    Given owners on a fake platform
    When a job fails once and its owner is stopped before the failure is acknowledged
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A task ends <ms> ms after its job was cancelled, and the cancellation is never stored
    A job is cancelled just as the store rejects its owner, and the outcome reported is unknown. A
    task completes before its stop arrives. The next owner reads a job that isn't cancelled: it
    would start the task again unless the executor still lists that end.

    Given owners on a fake platform
    When a job is cancelled <ms> ms before a task ends, and its owner is cut off from the store
    Then no promise was broken
    And no completed task was started again

    Examples:
      | ms  |
      | 1   |
      | 20  |
      | 100 |

  Scenario Outline: A cancelled job stops permanently with the fault "<fault>"
    A job is cancelled while its tasks run, and the fault occurs at that moment. Guards against
    tasks that keep running, or that this owner or the next one starts seconds later.

    Given owners on a fake platform
    When a lasting job is cancelled, with the fault "<fault>"
    Then nothing of the job runs after <seconds> s
    And no promise was broken

    Examples:
      | fault                | seconds |
      | none                 | 3       |
      | owner killed         | 8       |
      | owner frozen         | 8       |
      | store loses answers  | 8       |
      | orders held up       | 15      |
      | executor cut         | 12      |

  Scenario Outline: Lasting tasks move when their machine leaves: <fault>
    Machines that run lasting tasks are maintained or drained. Tasks are evacuated one after another
    before an order takes their machine away, so at most one task of a step is away at a time.

    Given owners on a fake platform
    When a lasting job runs for 25 s, with the fault "<fault>"
    Then all tasks of the job are at work
    And no promise was broken

    Examples:
      | fault                      |
      | none                       |
      | wave comes                 |
      | wave comes and owner stops |
      | executor drains |
      | owner killed    |
      | owner stopped   |
      | store down      |

  Scenario Outline: A configuration is applied everywhere although <fault>
    A caller uses a queue that was just added. The daemon that it reaches isn't notified, as its
    long poll gets no answer or the store rejects it. It detects this within 1 s and asks the store
    again, or a peer.

    Given owners on a fake platform
    When a configuration is published and <fault>
    Then all daemons have applied it after 2 s

    Examples:
      | fault                              |
      | nothing happens                    |
      | a daemon's waiting read is silent  |
      | a daemon is cut off from the store |

  Scenario: Jobs are retried when every executor has failed a task
    A job has failed on every executor for reasons that have passed. It has attempts left, there is
    capacity, and none of its tasks is running: it must be tried again.

    Given owners on a fake platform
    When a job is submitted while the only executor fails briefly
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: Jobs of other kinds complete: <kind>
    Given owners on a fake platform
    When 4 jobs are submitted that are <kind>
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | kind                                  |
      | gangs                                 |
      | gangs on one rack                     |
      | repeated three times                  |
      | near their data                       |
      | for executors with a label            |
      | allowed on some executors by a policy |
      | wider than the pool                   |

  Scenario Outline: A gang <kind> starts on executors that have each failed a run
    Guards against a gang that is accepted and waits on idle executors for another job's success.

    Given owners on a fake platform
    When each executor has failed a run of another job, and a job comes that is a gang <kind>
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | kind                    |
      | of two tasks            |
      | on one rack             |
      | that has failed as well |

  Scenario: A gang leaves out the one executor that has failed a run while it fits on the others
    Guards against a gang that ends with its one task on a faulty executor.

    Given owners on a fake platform
    When the executor of a failed run is the fullest, and a job comes that is a gang of two tasks
    Then all jobs have ended as completed
    And nothing of the gang was started on that executor

  Scenario: A burst of starts isn't mistaken for unresponsive executors
    Jobs of many tasks arrive while a large pool is empty, so their owner starts all tasks at once.
    On its small processor the last order is sent later than the answer timeout. If such starts
    counted as lost, they would be repeated and then stopped, which costs more processor time than
    the starts.

    Given owners on a fake platform
    When 4 jobs of 12 tasks are submitted at once while sending an order takes 20 ms
    Then all jobs have ended as completed
    And no promise was broken
    And each start was answered

  Scenario: An owner that is itself late doesn't classify executors as slow
    A burst of starts takes so long that tasks start seconds after they were placed. Measured from
    the placement, each seems slow; its executor would get no tasks for 4 s, and a pool with
    capacity would stay idle.

    Given owners on a fake platform
    When 12 jobs of 12 tasks are submitted at once while sending an order takes 20 ms
    Then all jobs have ended as completed
    And no executor was paused

  Scenario: Queued starts don't wait for an executor that is unreachable
    A job has many small tasks for each executor, and one executor becomes unreachable just after
    the placement. Starts that weren't sent certainly didn't happen, so their tasks are placed
    elsewhere at once. If they were sent one after another, each would extend the time for which a
    lease may be held, and the few tasks that were sent would wait for all of them.

    Given owners on a fake platform
    When a job of 60 small tasks has started, one of 2 executors is cut off for 9 s
    Then all jobs have ended as completed
    And the job has ended before the executor is back
    And no promise was broken

  Scenario: An executor that announces that it is draining gets no new tasks after 2 s
    A task that is started later, when its owner should have seen the draining state in the
    executor's entry, ends with the executor some seconds later, and its caller waits for a second
    run.

    Given owners on a fake platform
    When 24 jobs of two steps are submitted, with the fault "executor drains" 3 times in a row
    Then all jobs have ended as completed
    And nothing was started on an executor that had been draining for 2 s

  Scenario Outline: Hosts report how many jobs are pending, also after the fault "<fault>"
    No job can start, as no executor has the label required. Callers ask each host how many of their
    jobs haven't started; if the number was too low, they would send more than can be processed.

    Given owners on a fake platform
    When 8 jobs require a label that no executor has, and the fault "<fault>" occurs
    Then each host reports 8 pending jobs

    Examples:
      | fault        |
      | none         |
      | owner killed |
      | all killed   |
      | dealt anew   |

  Scenario: Jobs whose starts got no answer count as pending
    Guards against callers who are told that nothing waits while no executor has begun a job.

    Given owners on a fake platform
    When 8 jobs are submitted while all executors have lost power
    Then each host reports 8 pending jobs

  Scenario: A daemon that is stopped while shards are reassigned leaves cleanly
    Another daemon has just joined, so this one is handing shards over when it is stopped. It must
    finish that and leave. If an error ended it, its shards would have no owner and callers would be
    refused until its membership expires.

    Given owners on a fake platform
    When daemons are stopped at 40 moments after another one has joined
    Then all have left cleanly

  Scenario: Submitting a job again with the same id has no effect
    After a lost answer the same request is sent again, at once through other hosts and seconds
    after the job was accepted. It stays one job.

    Given owners on a fake platform
    When one job is submitted through all hosts at once, and again after it has ended
    Then all jobs have ended as completed
    And each task has run once

  Scenario: Jobs that can't be stored are refused or reported as unknown
    The store answers no request. Callers are told at once that their job was not accepted, or that
    it may have been; a refused job never runs.

    Given owners on a fake platform
    When 6 jobs are submitted while the store is down
    Then no promise was broken
    And each answer was 200, 503 or 504

  Scenario: Random faults, overlapping and in sequence
    The same guarantees hold in every combination; each run is drawn from a fixed seed.

    Given owners on a fake platform
    When random faults occur while jobs run
    Then no run broke a promise

  Scenario: Any sequence of jobs, cancellations and faults
    A state machine draws the steps; after each one an oracle checks what callers were told and what
    executors and machines did. Once the faults are over, every job has to end.

    Then no sequence of jobs, cancellations and faults breaks a promise

  Scenario Outline: What an owner's <part> await is cancelled although the ownership hasn't ended
    A component closes an object that a task of the owner awaits, so the task ends as if it had been
    cancelled. The store keeps the shard assigned to the owner, which would serve it only in part:
    appends are never sent, accepted jobs never placed, or ends never processed.

    Given owners on a fake platform
    When 6 jobs are submitted, and what the owner's <part> await is cancelled
    Then all jobs have ended as completed
    And no promise was broken
    And a log line <event> reports the cancellation

    Examples:
      | part    | event             |
      | appends | dispatcher.failed |
      | ticks   | dispatcher.failed |
      | tickets | dispatcher.failed |
      | leases  | dispatcher.failed |
      | placing | shard.failed      |

  Scenario Outline: Callers that wait for a record are answered at once when its append <ends> <when>
    A caller submits or cancels a job, and the owner's append of the record ends for an unexpected
    reason, so it is unknown whether it was stored. The owner gave the shard up, but the caller
    wasn't answered before its timeout, although the next owner could have answered it.

    When two changes of a job and a third of another await an append that <ends> <when>
    Then each of them is told that the outcome is unknown, before the shard is given up
    And a change that came during the append is told that it isn't stored, as the shard is given up

    Examples:
      | ends                        | when                |
      | is cancelled                | at the first try    |
      | fails                       | at the first try    |
      | is ended with the ownership | at the first try    |
      | is cancelled                | after a lost answer |
      | fails                       | after a lost answer |
      | is ended with the ownership | after a lost answer |

  Scenario Outline: A start that <ends> while it is sent doesn't keep its task from completing
    Sending a start to an executor ended for an unexpected reason. It is unknown whether the task
    runs, so no other executor gets it, and its job stayed running forever; a stop that is answered
    settles it.

    Given owners on a fake platform
    When 6 jobs are submitted, and one start on each executor <ends>
    Then all jobs have ended as completed
    And no promise was broken
    And a log line reports the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: A stop that <ends> while it is sent is sent again
    A job is reported as cancelled, and its tasks kept running: sending the stop ended for an
    unexpected reason, and the owner considered the run as being stopped.

    Given owners on a fake platform
    When a lasting job is cancelled, and one stop on each executor <ends>
    Then nothing of the job runs after 3 s
    And no promise was broken
    And a log line reports the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: The stop of a stray run that <ends> while it is sent is sent again
    An executor runs a task that no owner knows, and its capacity stays occupied: sending the stop
    ended for an unexpected reason, and no other stop was sent.

    Given owners on a fake platform
    When a stray run of a previous owner is found, and its stop <ends>
    Then nothing of the job runs after 3 s
    And a log line reports the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario: An owner that is cut off doesn't start again what runs under its successor
    Guards against taking leases for lapsed that a successor has renewed meanwhile.

    Given owners on a fake platform
    When tasks of 20 s run while their owner and an idle executor are cut off together
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: An owner that is cut off doesn't start again what has ended under its successor
    Guards against taking leases for lapsed that a successor has renewed until the tasks ended.

    Given owners on a fake platform
    When tasks of 4 s run while their owner and an idle executor are cut off together
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: An owner that is cut off doesn't start again what its successor starts again
    Guards against starts by both when another executor answers at the address of the one that ran
    the tasks.

    Given owners on a fake platform
    When tasks run while their owner is cut off, and their executor is replaced
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: An owner doesn't start again what runs since its shards were <reassigned>
    Guards against leases that are taken for lapsed, and tasks that are started again, on the word
    of a membership: while the owner waits for the release of its other shards, or when it is given
    a shard that another one has owned meanwhile.

    Given owners on a fake platform
    When shards are <reassigned> while their owner can't reach an executor, and it learns that late
    Then no run broke a promise

    Examples:
      | reassigned                |
      | reassigned                |
      | reassigned and given back |

  Scenario Outline: A second owner <leaves> while an earlier one still renews leases out of its reach
    Guards against a clean hand-over that is taken for the end of all earlier owners' leases.

    Given owners on a fake platform
    When an owner and an executor with its runs are cut off together, and the next owner <leaves>
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | leaves    |
      | is stopped |
      | is killed |

  Scenario Outline: The stop of a reported run is logged with its reason: <reason>
    Guards against a log that shows a run being stopped, but not whether that was right.

    Given owners on a fake platform
    When an executor reports a run that this owner didn't start, though <reason>
    Then the log says that it is stopped as <why>

    Examples:
      | reason                       | why                                       |
      | its job isn't known          | its job isn't known                       |
      | its job has ended            | its job has ended                         |
      | its task is done             | its task is done                          |
      | its task is given up         | its task is given up                      |
      | its task runs elsewhere      | its task runs elsewhere                   |
      | its task was never inherited | no former owner may have started its task |

  Scenario Outline: An order to change the pace that <ends> while it is sent is sent again
    A task that fills idle capacity keeps disturbing a lasting step beside it: sending the order to
    suspend it ended for an unexpected reason, and the owner considered the task as suspended.

    Given owners on a fake platform
    When a running task is suspended, and the order <ends>
    Then the pace is ordered 2 times
    And a log line reports the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: A wave of <machines> finishes although one of the fleet's <part> <ends>
    An operator's wave never ended: what the owner of the fleet awaits was closed by another
    component or failed unexpectedly. Either no order could be recorded, so none was sent, or one
    machine counted as ordered forever. The store kept the shard assigned to its owner.

    Given owners on a fake platform
    When a wave of <machines> is declared, and one of the fleet's <part> <ends>
    Then all machines of the wave have been maintained
    And no promise was broken
    And a log line <event> states the reason

    Examples:
      | part    | ends         | machines  | event                |
      | appends | is cancelled | m1 and s1 | fleet.failed         |
      | appends | fails        | m1 and s1 | fleet.failed         |
      | orders  | is cancelled | m1 and s1 | machine.order_failed |
      | orders  | fails        | m1 and s1 | machine.order_failed |
      | orders  | is cancelled | s1 and s2 | machine.order_failed |
      | rounds  | is cancelled | m1 and s1 | shard.failed         |
      | rounds  | fails        | m1 and s1 | shard.failed         |

  Scenario: A daemon whose renewals are restarted gives its shards up before it joins
    The task that renews the membership has failed and is restarted; it first leaves the group, and
    the store assigns the shards to other daemons while this one still serves them. Two daemons that
    are each certain of their ownership would report pending jobs to callers and send orders to
    machines.

    Given owners on a fake platform
    When 6 jobs are submitted, and the task that renews an owner's membership is restarted
    Then all jobs have ended as completed
    And no promise was broken
    And no daemon was certain of a shard that the store had assigned to another

  Scenario: A daemon isn't certain of shards that the store has assigned to others
    Guards against starts and answers by a former owner between the store's answer and its own end.

    When a daemon learns that its 3 shards were assigned to others while it couldn't renew
    Then it wasn't certain of any of the 3 as it released them

  Scenario Outline: A daemon that <state> can be stopped while it is cut off from the store
    A stopped daemon was killed when its grace period ended, and callers that were still sent to it
    lost their connections. It was about to join the group again and waited for the store without a
    timeout, so leaving waited as well.

    Given owners on a fake platform
    When a daemon that <state> is cut off from the store and stopped
    Then it has left
    And no promise was broken

    Examples:
      | state                 |
      | has just been started |
      | joins again           |

  Scenario: A shard is served again although the cleanup of its ownership failed
    The ownership ended, and failed before it could signal that. The daemon would keep the shard
    without serving it, and jobs couldn't be submitted. The task that runs the ownership detects
    that it ended.

    Given owners on a fake platform
    When 6 jobs are submitted, and an ownership ends while its cleanup fails
    Then all jobs have ended as completed
    And no promise was broken
    And a log line shard.failed states the reason

  Scenario Outline: A daemon leaves the group although handing one shard over <ends>
    A stopped daemon gives all of its shards up at once, and the handover of one of them failed or
    was cancelled. The daemon didn't leave the group and logged nothing, so its shards had no owner
    until its membership expired.

    When an owner of 3 shards leaves, and handing one over <ends>
    Then it has left the group, and has handed the other 2 over

    Examples:
      | ends              |
      | fails by an error |
      | is cancelled      |

  Scenario: A renewal that the store processes after its daemon has left is revoked
    A daemon leaves while its renewal is in flight, and the store processes the renewal after the
    leave. The daemon became a member again that runs nothing, so its shards had no owner until the
    membership expired.

    When a daemon leaves while its renewal is on the way, and the store takes that in afterwards
    Then the store has last heard from it that it leaves

  Scenario: Machines are maintained while the store is slow
    Orders to machines are stored before they are sent. When each append took 0.6 s, each order was
    abandoned after 0.5 s: no machine moved for a wave or a growing pool until the store was fast
    again, 6 s later.

    Given owners on a fake platform
    When a wave of m1 and m2 is declared while each answer of the store takes 0.6 s
    Then all machines of the wave have been maintained
    And no promise was broken

  Scenario: Only the owner of its pool logs that an executor isn't listed any more
    Each host that owns a shard reads all entries. When each of them logged a line, a third of the
    lines of a day were about executors of other owners, and lines grew with hosts times executors.

    Given owners on a fake platform
    When an executor ends and its entry lapses
    Then one log line reports that it isn't listed any more

  Scenario: An unanswered stop isn't repeated once another task of the step is lost
    A lasting task is moved while all others of its step run, and one of them may be away. Its stop
    gets no answer, and another task's executor is lost before the repeat. The stop was repeated
    nevertheless, so two tasks were away at once.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and the executor of another one is lost
    Then no promise was broken

  Scenario: An unanswered stop is sent again while all others of the step are at work
    A lasting task is moved and its stop is lost. The stop is sent again as soon as the other
    executors have reported since; without a repeat the machine would never be empty, and its wave
    would be late.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and all others of its step keep running
    Then the task has left its executor
    And no promise was broken

  Scenario: An unanswered stop isn't repeated once its machine is kept
    Guards against stopping a lasting task for a move that has been cancelled.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and its machine is kept after all
    Then the task is still at work on its executor
    And no promise was broken

  Scenario: A task whose start got no answer isn't stopped once it is at work and another one is lost
    Guards against a stop that was meant to settle an unanswered start, and ends a task that is at
    work.

    Given owners on a fake platform
    When a lasting task's start and stops get no answer, and the executor of another one is lost meanwhile
    Then no promise was broken

  Scenario Outline: A new owner's starts are taken although the former one's run numbers were <higher>
    An owner numbers its starts from its epoch times 100,000. One that had started more left its successor with numbers
    that executors turned down as old, some 200 times a second: a lasting task wasn't started again for 9 s and more.

    Given owners on a fake platform
    When the owner of lasting tasks has used run numbers <higher>, <seen>, and is killed
    Then its successor has all of them at work again within 6 s, with a few starts turned down
    And no promise was broken

    Examples:
      | higher                   | seen                              |
      | within its epoch         | which still run                   |
      | beyond the next epoch    | which still run                   |
      | beyond the next epoch    | which ended as it was killed      |
      | beyond the next epoch    | which ended and were acknowledged |
      | beyond the next 9 epochs | which ended and were acknowledged |

  Scenario: The number of a stored failure isn't used again
    Guards against a failure that counts as one that is known already: the task would be started once too often.

    When a job has stored failures and crashes with run numbers beyond the next epoch
    Then the next owner's first number is above all of them

  Scenario Outline: A job whose queue has a policy goes on after the queue is removed, <known>, with the fault "<fault>"
    The owner took a queue that isn't configured any more for one without a policy. It asked for no tickets, and each
    start was turned down, some 550 a second; the accepted job never ended.

    Given owners on a fake platform
    When 2 jobs of a queue with a policy are accepted, their queue is removed, <known>, with the fault "<fault>"
    Then all jobs have ended as completed
    And at most 20 starts were turned down for want of a ticket
    And no promise was broken

    Examples:
      | known                                     | fault        |
      | as the owner knows                        | none         |
      | as the owner knows                        | owner killed |
      | as the owner knows                        | all killed   |
      | their records being of a former release   | none         |
      | their records being of a former release   | owner killed |
      | the policy being removed some time before | none         |
      | the policy being removed some time before | owner killed |
