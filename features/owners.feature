Feature: Jobs run once and end, whatever befalls their owner, its executors or the store
  One daemon owns the jobs of a service; the store deals ownership out. Tasks run on executors that go
  on without their owner for as long as a lease lasts.

  Scenario Outline: Jobs under the trouble "<trouble>"
    The caller has handed jobs in and asks for their state until it is final. While their tasks run the
    trouble comes, once or in a row. Each task runs on one executor at a time and isn't started again
    once its end was acknowledged; an accepted job is never said not to exist.

    Given owners on a fake platform
    When 8 jobs of two steps are handed in under the trouble "<trouble>", <times> times in a row
    Then all jobs have ended as <state>
    And no promise was broken

    Examples:
      | trouble                       | times | state               |
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

  Scenario: A start is answered only when its run has ended
    The caller's task was started, and the answer lost. It ends before the start is repeated, which the
    executor turns down as old. That says nothing of a start that failed: the task mustn't run again.

    Given owners on a fake platform
    When 8 short jobs are handed in while executors lose answers
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: Failures that a former owner couldn't store count for the next one
    The caller's job fails as often as its queue allows. The store is away, so no end is acknowledged;
    all daemons die. The next owner hears of the failures from the executors before it has read the
    configuration, which says how many are allowed. It mustn't start the job's tasks once more.

    Given owners on a fake platform
    When 4 jobs of two steps are handed in under the trouble "all fails and configuration late", 1 times in a row
    Then all jobs have ended as failed
    And no promise was broken

  Scenario: A job that is over as one step failed starts no other step
    The caller's job has two steps that need nothing of each other. A new owner finds that the first
    one failed too often under earlier owners, and ends the job. The second one waits for room in the
    same pass; started now, it would run on for a job that its caller sees as failed.

    Given owners on a fake platform
    When a job of two independent steps has failed at its first one before room is free
    Then all jobs have ended as failed
    And nothing of the job was started

  Scenario Outline: A lasting run counts as at work <when>
    Users of a lasting step see two of its tasks away. The former owner had ordered one to stop; the next
    one finds it listed at work, and stops another beside it. A run counts once a stop would have ended it.

    Then a lasting run found <age> s ago <counts> as at work, where a stop takes 0.9 s

    Examples:
      | when                  | age | counts        |
      | only after some time  | 0.5 | doesn't count |
      | only after a stop     | 2.0 | doesn't count |
      | when it is settled    | 2.5 | counts        |

  Scenario: A failure counts once, whoever hears of it
    The caller's job fails once and could be done. The owner has stored the failure and is replaced
    before it acknowledged it, so the next owner hears of it again; it mustn't count as a second one.

    Given owners on a fake platform
    When a job fails once and its owner is stopped before the failure is acknowledged
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A task ends <ms> ms after its job was cancelled, and the cancelling is never stored
    The caller cancels a job just as the store turns its owner away, and is told that the outcome isn't
    known. A task ends as done before its stop arrives. The next owner reads a job that nobody cancelled:
    unless the executor still lists that end, it starts the task again.

    Given owners on a fake platform
    When a job is cancelled <ms> ms before a task ends, and its owner reaches the store no more
    Then no promise was broken
    And no task that has ended as done was started again

    Examples:
      | ms  |
      | 1   |
      | 20  |
      | 100 |

  Scenario Outline: A cancelled job stops for good under the trouble "<trouble>"
    The caller is told that the job is cancelled. Its tasks run at that moment, and the trouble comes
    just then. No task of it is started seconds later, by this owner or the next, and none runs on.

    Given owners on a fake platform
    When a lasting job is cancelled under the trouble "<trouble>"
    Then nothing of the job runs after <seconds> s
    And no promise was broken

    Examples:
      | trouble              | seconds |
      | none                 | 3       |
      | owner killed         | 8       |
      | owner frozen         | 8       |
      | store loses answers  | 8       |
      | orders held up       | 15      |
      | executor cut         | 12      |

  Scenario Outline: Lasting tasks move when their machine leaves: <trouble>
    Users of a lasting task see at most one of its step away at a time. Machines are maintained or
    drain under it; tasks are evacuated one after the other before an order takes their machine away.

    Given owners on a fake platform
    When a lasting job runs under the trouble "<trouble>" for 25 s
    Then all tasks of the job are at work
    And no promise was broken

    Examples:
      | trouble                    |
      | none                       |
      | wave comes                 |
      | wave comes and owner stops |
      | executor drains |
      | owner killed    |
      | owner stopped   |
      | store down      |

  Scenario Outline: A configuration is in force everywhere although <trouble>
    A caller uses a queue that was just added. The daemon it reaches doesn't hear of it: its waiting
    read was silenced, or the store turns it away. It notices within a second and asks anew, or a peer.

    Given owners on a fake platform
    When a configuration is published and <trouble>
    Then it is in force on all daemons after 2 s

    Examples:
      | trouble                            |
      | nothing happens                    |
      | a daemon's waiting read is silent  |
      | a daemon is cut off from the store |

  Scenario: Jobs go on where every executor has failed something
    The caller's job has failed on the executors that there are, for reasons that have passed. It has
    attempts left, there is room, and nothing of it runs: it is tried again all the same.

    Given owners on a fake platform
    When a job is handed in while the only executor fails for a moment
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: Jobs of another kind end as well: <kind>
    Given owners on a fake platform
    When 4 jobs are handed in that are <kind>
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

  Scenario: A burst of starts isn't taken for executors that don't answer
    The caller's jobs are wide and a large pool is empty, so their owner has all of them to start at
    once. On its small processor the last order goes out later than an answer is waited for. Taken for
    lost, starts would be repeated and then stopped, which costs the processor more than the starts.

    Given owners on a fake platform
    When 4 wide jobs are handed in at once while an order takes its owner 20 ms
    Then all jobs have ended as completed
    And no promise was broken
    And each start was answered

  Scenario: An owner that is late itself doesn't take executors for slow
    The same burst, so long that tasks begin seconds after they were placed. Reckoned from then on, each
    seems to crawl; its executor would get nothing for 4 s, and a pool that has room stands idle.

    Given owners on a fake platform
    When 12 wide jobs are handed in at once while an order takes its owner 20 ms
    Then all jobs have ended as completed
    And no executor was paused

  Scenario: Starts that wait their turn don't wait for an executor that answers nothing
    The caller's job has many small tasks for each executor. One can't be reached any more, just when it
    got its share. Starts that haven't been sent certainly didn't happen, so their tasks go elsewhere at
    once. Sent one after the other, each would stretch the time for which the lease may last, and the
    few tasks that were sent would wait for all of them.

    Given owners on a fake platform
    When a job of 60 small tasks begins, one of 2 executors is cut off for 9 s
    Then all jobs have ended as completed
    And the job has ended before the executor is back
    And no promise was broken

  Scenario: An executor that announces that it leaves gets nothing new after 2 s
    The executor's entry says that it is draining. What is started on it later than its owner must know
    of that ends with it some seconds on, and its caller waits for a second run.

    Given owners on a fake platform
    When 24 jobs of two steps are handed in under the trouble "executor drains", 3 times in a row
    Then all jobs have ended as completed
    And nothing was started on an executor that had been draining for 2 s

  Scenario Outline: Callers see how many jobs wait, also after the trouble "<trouble>"
    Nothing can start, as no executor has the label that the jobs want. The caller asks each host how
    many of its jobs haven't begun; too low a number would have it send more than can be done.

    Given owners on a fake platform
    When 8 jobs wait for a label that no executor has, and the trouble "<trouble>" comes
    Then each host shows 8 jobs that haven't begun

    Examples:
      | trouble      |
      | none         |
      | owner killed |
      | all killed   |
      | dealt anew   |

  Scenario: A daemon that is told to stop while shards are dealt anew leaves in good order
    Another daemon has just joined, so this one is handing shards over when the operator stops it. It must
    wait for what it is handing over and leave; ended by an error, its shards would lie idle until its
    membership lapses, and callers be refused meanwhile.

    Given owners on a fake platform
    When daemons are stopped at 40 moments after another one has joined
    Then all have left in good order

  Scenario: A repeat of a job's id changes nothing
    The caller's answer was lost; the same request comes again at once through another host, and again
    seconds after the job was accepted. It stays one job.

    Given owners on a fake platform
    When one job is handed in through all hosts at once, and again after it has ended
    Then all jobs have ended as completed
    And each task has run once

  Scenario: Jobs that can't be stored are refused truthfully or left open
    The store answers nobody. Callers are told at once that their job was not accepted, or that it may
    have been; what was refused never runs.

    Given owners on a fake platform
    When 6 jobs are handed in while the store is down
    Then no promise was broken
    And each answer was 200, 503 or 504

  Scenario: Random troubles, overlapping and in a row
    Whatever comes together, the same promises hold; each run is drawn from a fixed seed.

    Given owners on a fake platform
    When random troubles are played
    Then all plays kept every promise

  Scenario: Any order of jobs, cancels and troubles
    A state machine draws what comes next; after each step an oracle looks at what callers were told and
    at what executors and machines did. When the troubles are over, every job has to end.

    Then no order of jobs, cancels and troubles breaks a promise

  Scenario Outline: What an owner's <part> await is cancelled, although nobody ended the ownership
    The caller's jobs are accepted, or wait to be. Something that a part of the owner awaits is closed by
    another, and the part ends as if it had been told to. The store holds the shard for its owner, which
    would go on half served: appends never go out, accepted jobs are never placed, ends never taken in.

    Given owners on a fake platform
    When 6 jobs are handed in, and what the owner's <part> await is cancelled
    Then all jobs have ended as completed
    And no promise was broken
    And a line tells of the part that ended by a cancellation: <event>

    Examples:
      | part    | event             |
      | appends | dispatcher.failed |
      | ticks   | dispatcher.failed |
      | tickets | dispatcher.failed |
      | leases  | dispatcher.failed |
      | placing | shard.failed      |

  Scenario Outline: Who waits for a record is told at once when its append <ends> <when>
    The caller hands a job in or cancels one, and the owner appends the record. The append ends for a reason
    that nobody had thought of, so nobody can tell whether it was stored. The owner gives the shard up, but the
    caller waited for all of its time to be told so, although the next owner could have answered it.

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

  Scenario Outline: A start that <ends> on its way doesn't keep its task from being done
    The caller's job stays running for good. Its task was given to an executor, and the sending of the
    start ended for a reason that nobody had thought of. Nobody can tell whether the task runs, so no
    other executor gets it; a stop that is answered settles that.

    Given owners on a fake platform
    When 6 jobs are handed in, and one start on each executor <ends>
    Then all jobs have ended as completed
    And no promise was broken
    And a line tells of the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: A stop that <ends> on its way is sent again
    The caller was told that the job is cancelled, and its tasks run on for good: the sending of the stop
    ended for a reason that nobody had thought of, and the owner takes the run for one being stopped.

    Given owners on a fake platform
    When a lasting job is cancelled, and one stop on each executor <ends>
    Then nothing of the job runs after 3 s
    And no promise was broken
    And a line tells of the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: The stop of an unwanted run that <ends> on its way is sent again
    An executor runs a task on for good that no owner knows, and its room is missing to all callers: the
    sending of the stop ended for a reason that nobody had thought of, and no other stop is sent.

    Given owners on a fake platform
    When a former owner's run is found that nobody wants, and the stop of it <ends>
    Then nothing of the job runs after 3 s
    And a line tells of the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: An order of a pace that <ends> on its way is sent again
    Users of a lasting step are disturbed for good by a task that fills idle capacity beside it: the
    sending of the order to stand still ended for a reason that nobody had thought of, and the owner
    takes the task for one that stands still.

    Given owners on a fake platform
    When a running task is slowed to nothing, and the order <ends>
    Then the pace is ordered 2 times
    And a line tells of the order that <ended>

    Examples:
      | ends         | ended         |
      | is cancelled | was cancelled |
      | fails        | failed        |

  Scenario Outline: One of the fleet's <part> <ends>, and a wave of <machines> is carried out all the same
    The operator's wave never ends: what the owner of the fleet awaits is closed by another, or fails for
    a reason that nobody had thought of. No order can be recorded any more, so none is sent; or one
    machine counts as ordered for good. The store holds the shard for its owner.

    Given owners on a fake platform
    When a wave of <machines> comes, and one of the fleet's <part> <ends>
    Then all machines of the wave have had their maintenance
    And no promise was broken
    And a line <event> tells why it ended

    Examples:
      | part    | ends         | machines  | event                |
      | appends | is cancelled | m1 and s1 | fleet.failed         |
      | appends | fails        | m1 and s1 | fleet.failed         |
      | orders  | is cancelled | m1 and s1 | machine.order_failed |
      | orders  | fails        | m1 and s1 | machine.order_failed |
      | orders  | is cancelled | s1 and s2 | machine.order_failed |
      | rounds  | is cancelled | m1 and s1 | shard.failed         |
      | rounds  | fails        | m1 and s1 | shard.failed         |

  Scenario: A daemon whose renewals begin anew gives its shards up before it joins
    Two daemons would tell callers how many jobs wait, and order machines, each sure to own the shard. The
    part that renews the membership has failed and is run again; it begins by leaving the group, and the
    store deals its shards to others while this daemon still serves them.

    Given owners on a fake platform
    When 6 jobs are handed in, and an owner's part that renews is run again
    Then all jobs have ended as completed
    And no promise was broken
    And no daemon was sure of a shard that the store had dealt to another

  Scenario Outline: A daemon that <begins> can be stopped while it is cut off from the store
    The platform's daemon is told to stop, and is killed when its grace is over: callers that are still
    sent to it lose their connections. It was about to join the owners anew, waited for the store without
    a bound, and leaving waited for that.

    Given owners on a fake platform
    When a daemon that <begins> is cut off from the store and told to stop
    Then it has left
    And no promise was broken

    Examples:
      | begins                |
      | has just been started |
      | begins afresh         |

  Scenario: A shard is served again although the clean-up of its ownership failed
    Callers' jobs can't be handed in for as long as their shard is held by a daemon on which nothing
    serves it: the ownership ended, and failed before it could say so. What runs it sees that it ended.

    Given owners on a fake platform
    When 6 jobs are handed in, and an owner's ownership ends while its clean-up fails
    Then all jobs have ended as completed
    And no promise was broken
    And a line shard.failed tells why it ended

  Scenario Outline: A daemon leaves the group although handing one shard over <ends>
    A daemon is told to stop, and gives all of its shards up at once. One of them failed in handing over, or was cancelled
    under it: the daemon didn't leave the group, no line told of it, and its shards were served by nobody until its
    membership lapsed.

    When an owner of 3 shards leaves, and handing one over <ends>
    Then it has left the group, and has handed the other 2 over

    Examples:
      | ends              |
      | fails by an error |
      | is cancelled      |

  Scenario: A renewal that the store takes in after its daemon has left is taken back
    A daemon is told to leave while its renewal is on the way, and the store takes the renewal in after the leaving. The
    daemon was a member again that runs nothing: its shards were served by nobody until the membership lapsed.

    When a daemon leaves while its renewal is on the way, and the store takes that in afterwards
    Then the store has last heard from it that it leaves

  Scenario: Machines are ordered about while the store is slow
    A wave comes, or a pool rises, while each append takes 0.6 s. Orders to machines are on record before they are sent, and
    each was given up after 0.5 s: no machine moved until the store was fast again, 6 s later.

    Given owners on a fake platform
    When a wave of m1 and m2 comes while each answer of the store takes 0.6 s
    Then all machines of the wave have had their maintenance
    And no promise was broken

  Scenario: Only who owns its pool tells that an executor isn't listed any more
    Each host that owns anything reads all entries. With a line from each of them, a third of a day's lines told of
    executors that others own, and lines grew with hosts times executors.

    Given owners on a fake platform
    When an executor ends and its entry lapses
    Then one line tells that it isn't listed any more

  Scenario: A stop that got no answer isn't repeated once another task of the step is gone
    A lasting task is moved while all others of its step serve their users, which may miss one. Its stop gets no answer;
    before it is repeated, another task's executor is lost. It was repeated all the same, and two were away at once.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and the executor of another one is lost
    Then no promise was broken

  Scenario: A stop that got no answer is sent again while all others of the step are at work
    A lasting task is moved and its stop is lost on the way. It is sent again as soon as the other executors have reported
    since; without a repeat the machine would never be empty, and its wave late.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and all others of its step serve on
    Then the task has left its executor in the end
    And no promise was broken

  Scenario: A stop that got no answer isn't repeated once its machine is kept
    Guards against a lasting task that is stopped for a move which has been called off.

    Given owners on a fake platform
    When a lasting task is moved, its stop gets no answer, and its machine is kept after all
    Then the task is at work where it was
    And no promise was broken

  Scenario: A task whose start got no answer isn't stopped once it's at work and another one is gone
    Guards against a stop that was meant to settle a start, and ends a task that serves its users.

    Given owners on a fake platform
    When a lasting task's start and stops get no answer, and the executor of another one is lost meanwhile
    Then no promise was broken
