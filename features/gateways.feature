Feature: A caller learns the outcome of its job from any daemon
  The daemon that a caller reaches calls the owner of the queue, which may be failing or just
  replaced.

  Scenario Outline: A caller who waits <wait> s is told <code> when its owner's answers are: <answers>
    An owner loses power, or its store becomes unavailable, while jobs are submitted. A job may or
    may not have arrived. Sent again under its id, it is stored once; a caller told that the outcome
    is unknown could do nothing more. Once a try may have arrived, the only certain reply is that
    the job is stored.

    When a caller who waits <wait> s submits a job, and owners answer <answers>
    Then the caller is told <code> after <tries> tries

    Examples:
      | wait | answers                                      | code   | tries |
      | 3    | accepted                                     | MG4020 | 1     |
      | 3    | unknown, accepted                            | MG4020 | 2     |
      | 3    | unknown, no owner, no owner, accepted        | MG4020 | 4     |
      | 3    | silent, refused, store unavailable, accepted | MG4020 | 4     |
      | 3    | unknown, no owner for ever                   | MG4029 | 17    |
      | 3    | silent, store unavailable for ever           | MG4029 | 14    |
      | 1.2  | unknown, accepted                            | MG4029 | 1     |
      | 3    | no owner, no owner, accepted                 | MG4020 | 3     |
      | 3    | no owner for ever                            | MG4027 | 4     |
      | 3    | refused for ever                             | MG4027 | 4     |
      | 3    | store unavailable for ever                   | MG4028 | 1     |
      | 3    | no owner, unknown, accepted                  | MG4020 | 3     |
      | 3    | overloaded for ever                          | MG4033 | 1     |
      | 3    | no owner, overloaded                         | MG4033 | 2     |
      | 3    | unknown, overloaded                          | MG4029 | 2     |

  Scenario Outline: A caller who waits <wait> s is told <code> in that time when its owner answers <answers>
    An owner loses power while jobs are submitted. Each try used to wait for its full time, the last
    one beyond the caller's: a caller who waited 3 s was answered after 3.2 s, when it had gone,
    though no more tries were due.

    When a caller who waits <wait> s submits a job, and owners answer <answers>
    Then the caller is told <code> within its <wait> s

    Examples:
      | wait | answers                             | code   |
      | 3    | silent for ever                     | MG4029 |
      | 1.2  | silent for ever                     | MG4029 |
      | 0.5  | silent for ever                     | MG4029 |
      | 3    | no owner, no owner, silent for ever | MG4029 |
      | 3    | unknown, silent for ever            | MG4029 |

  Scenario: A caller is answered in time when the daemon that it calls owns the queue and takes too long
    The daemon that the caller reached owns the queue, and its store doesn't answer. It used to wait
    for its full time, beyond the caller's.

    When a caller who waits 0.5 s submits a job to the owner, which doesn't answer
    Then the caller is told MG4029 without an answer from the owner

  Scenario Outline: A call to a daemon that <state> has <sent>
    A host that is down, or a process that has just ended, receives no calls. Jobs sent to it
    certainly haven't arrived, and are sent to the next owner.

    When a daemon calls one that <state>
    Then the call has <sent>

    Examples:
      | state                                           | sent                    |
      | has ended                                       | certainly not been sent |
      | ends each connection                            | certainly not been sent |
      | ends while it works on the call                 | possibly been received  |
      | answers nothing                                 | possibly been received  |
      | is silent until another call closes the channel | possibly been received  |

  Scenario Outline: A call goes on when another one to the same daemon times out after <time> s <beside>
    A query to an owner times out because the owner waits for the store. The time-out used to close
    the channel that all calls to that owner share, though others had been answered meanwhile: a job
    that was about to be accepted lost its call, and its caller got no answer, or in later code was
    told that the outcome is unknown. Nor is a call that had hardly any time, because its caller's
    was nearly over, evidence that the daemon is silent.

    When a daemon makes two calls to another, and one of them times out after <time> s <beside>
    Then the other call is answered, on the only connection

    Examples:
      | time | beside                 |
      | 0.5  | while a third answered |
      | 0.1  | alone                  |

  Scenario Outline: The caller of a handler that <ends> is told so at once
    The owner's handler of a call ends without an answer. The caller of a failed one was told so;
    that of a cancelled one got no answer until its time-out, which then counted against the
    connection. Neither end was logged.

    When a daemon calls one whose handler <ends>
    Then the call has possibly been received
    And it doesn't end by a time-out, and the called daemon logs its end as <how>

    Examples:
      | ends              | how       |
      | fails by an error | failed    |
      | is cancelled      | cancelled |

  Scenario Outline: A job that is submitted again while its owner hands over gets <code> when it is <state>
    A caller's first call got no answer, and it submits the job again just as the owner hands the
    shard over. It was rejected as not run, though it was stored, or was stored a moment later, and
    did run.

    When a job is submitted again that is <state>, and its owner is handing over
    Then the caller is told <code> by the job request handler

    Examples:
      | state                       | code   |
      | stored                      | MG4020 |
      | being stored, and is stored | MG4020 |
      | being stored, and isn't     | MG4027 |
      | being stored, unknown       | MG4029 |
      | new to the owner            | MG4027 |

  Scenario Outline: A caller who waits <wait> s is told in that time although reading the owners takes <read> s, when they answer <answers>
    The store answers this daemon slowly or not at all, so each read of the owners between two tries
    takes its full time. The tries were bounded by the caller's time, the reads between them
    weren't: the caller had gone when it was answered.

    When a caller <action>, waiting <wait> s, while reading the owners takes <read> s and they answer <answers>
    Then the caller is told <code> within its <wait> s

    Examples:
      | action        | wait | read | answers                            | code   |
      | queries a job | 3    | 0.8  | silent for ever                    | MG4027 |
      | submits a job | 3    | 0.8  | unknown, unknown, silent for ever  | MG4029 |
      | submits a job | 3    | 0.8  | no owner, unknown, silent for ever | MG4029 |
      | submits a job | 0.5  | 0.8  | refused for ever                   | MG4027 |

  Scenario: A call goes on when another one times out while a third was told of its handler's failure
    An owner's handler fails, and its caller is told so at once, so the daemon is alive. Another
    call's time-out still closed the channel, as only successful answers counted as proof of that;
    the call of a job under way was lost.

    When a daemon makes two calls to another, and one times out while a third is told of a failure
    Then the other call is answered, on the only connection

  Scenario: Calls to an owner whose store is slow go on when a question to it times out
    A store is slow, and the owner reports the outcome of a job after 1.2 s. A caller's query to the
    same owner waits for 0.6 s. No other answer came meanwhile, so its time-out closed the channel
    that all calls to that owner share: calls that would have been answered in time were lost, and
    their callers told that the outcome is unknown.

    When a daemon sends two jobs and a query of 0.6 s to an owner that answers after 1.2 s
    Then both jobs are answered

  Scenario Outline: A caller of a host that is cut off from the store is told <code> after <tries> tries when <others>
    The owner of a queue was cut off from the store, and replaced. A host that is cut off as well went on calling the
    former owner until its caller's time was over: 2.86 s of 3.0 s, after which the caller had one try left elsewhere.

    When a caller submits a job to a host that is cut off from the store, and <others>
    Then the caller is told <code> after <tries> tries at the owners

    Examples:
      | others                                                | code   | tries |
      | another daemon knows the new owner                    | MG4020 | 2     |
      | one knows it and another has an older answer          | MG4020 | 2     |
      | the others know only what is older                    | MG4027 | 4     |
      | the others share nothing                              | MG4027 | 4     |
      | the others are silent                                 | MG4027 | 4     |
      | the store answers after all, with the new owner       | MG4020 | 2     |
