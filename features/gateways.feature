Feature: A caller is told what became of its job, by whatever daemon it asks
  The daemon that a caller reaches asks the owner of the queue, which may be dying or just replaced.

  Scenario Outline: A caller who waits <wait> s is told <code> when its owner's answers are: <answers>
    An owner loses power, or the store goes away under it, as jobs come. A job may or may not have arrived.
    Put again under its id it is stored once; told that nobody knows, its caller could do nothing more.
    Once a try may have arrived, nothing but the job's being stored may be said for certain.

    When a caller who waits <wait> s hands a job in, and owners answer <answers>
    Then the caller is told <code> after <tries> tries

    Examples:
      | wait | answers                                | code   | tries |
      | 3    | accepted                               | MG4020 | 1     |
      | 3    | unknown, accepted                      | MG4020 | 2     |
      | 3    | unknown, nobody, nobody, accepted      | MG4020 | 4     |
      | 3    | silent, refused, away, accepted        | MG4020 | 4     |
      | 3    | unknown, nobody for ever               | MG4029 | 17    |
      | 3    | silent, away for ever                  | MG4029 | 14    |
      | 1.2  | unknown, accepted                      | MG4029 | 1     |
      | 3    | nobody, nobody, accepted               | MG4020 | 3     |
      | 3    | nobody for ever                        | MG4027 | 4     |
      | 3    | refused for ever                       | MG4027 | 4     |
      | 3    | away for ever                          | MG4028 | 1     |
      | 3    | nobody, unknown, accepted              | MG4020 | 3     |

  Scenario Outline: A caller who waits <wait> s is told <code> in that time when its owner answers <answers>
    An owner loses power as jobs come. Each try waited for its own time, the last one beyond the caller's: a caller of 3 s
    was told after 3.2 s, when it had gone with no answer, though nobody was to be asked any more.

    When a caller who waits <wait> s hands a job in, and owners answer <answers>
    Then the caller is told <code> within its <wait> s

    Examples:
      | wait | answers                        | code   |
      | 3    | silent for ever                | MG4029 |
      | 1.2  | silent for ever                | MG4029 |
      | 0.5  | silent for ever                | MG4029 |
      | 3    | nobody, nobody, silent for ever | MG4029 |
      | 3    | unknown, silent for ever       | MG4029 |

  Scenario: A caller is told in its time when its own daemon owns the queue and takes too long
    The daemon that the caller reached owns the queue, and its store answers nothing. It waited for its own time,
    beyond the caller's.

    When a caller who waits 0.5 s hands a job in at the owner, which answers nothing
    Then the caller is told MG4029 without an answer of the owner

  Scenario Outline: A call to a daemon that <state> has <sent>
    A host that is down, or a process that has just ended, takes no call. Its callers' jobs certainly
    haven't arrived, and go to the next owner.

    When a daemon calls one that <state>
    Then the call has <sent>

    Examples:
      | state                                | sent                 |
      | has ended                            | certainly not left   |
      | ends each connection                 | certainly not left   |
      | ends while it works on the call      | perhaps been heard   |
      | answers nothing                      | perhaps been heard   |
      | is given up by another call          | perhaps been heard   |

  Scenario Outline: A call goes on when another one to the same daemon times out after <time> s <beside>
    A question to an owner takes its whole time, as it waits for the store. It closed the channel that all calls
    to that owner share, though others had been answered meanwhile: a job that was about to be accepted was
    cut off, and its caller told nothing by the code of then, and that nobody knows by later code. Nor does a call
    that had hardly any time, as its caller's was nearly over, say that the daemon is silent.

    When a daemon puts two calls to another one, and one of them times out after <time> s <beside>
    Then the other one is answered, on the only connection

    Examples:
      | time | beside                 |
      | 0.5  | while a third answered |
      | 0.1  | alone                  |

  Scenario Outline: A call whose handler <ends> is told so at once
    The owner's handling of a call ends without an answer. A failed one was told so; a cancelled one was left
    silent until its time was over, and its silence was then held against the connection. No line told of either.

    When a daemon calls one whose handler <ends>
    Then the call has perhaps been heard
    And its end wasn't its time's, and the called daemon's log tells of it as <how>

    Examples:
      | ends              | how       |
      | fails by an error | failed    |
      | is cancelled      | cancelled |

  Scenario Outline: A job that comes again while its owner hands over is told <code> when it is <state>
    A caller's first call got no answer, and its job comes again, just as the owner gives the shard to another.
    It was refused as not run, though it was on record, or became so a moment later, and did run.

    When a job comes again that is <state>, and its owner is handing over
    Then the caller is told <code> by the desk

    Examples:
      | state                        | code   |
      | on record                    | MG4020 |
      | being stored, and is stored  | MG4020 |
      | being stored, and isn't      | MG4027 |
      | being stored, nobody knows   | MG4029 |
      | new to it                    | MG4027 |
  Scenario Outline: A caller who waits <wait> s is told in that time although reading the owners takes <read> s, when they answer <answers>
    The store answers this daemon slowly or not at all, so each look for the owner between two tries takes the
    reading's whole time. The tries are bounded by the caller's time, the looks between them weren't: the caller
    had gone when it was told.

    When a caller <action>, waiting <wait> s, as reading the owners takes <read> s and they answer <answers>
    Then the caller is told <code> within its <wait> s

    Examples:
      | action         | wait | read | answers                            | code   |
      | asks for a job | 3    | 0.8  | silent for ever                    | MG4027 |
      | hands a job in | 3    | 0.8  | unknown, unknown, silent for ever  | MG4029 |
      | hands a job in | 3    | 0.8  | nobody, unknown, silent for ever   | MG4029 |
      | hands a job in | 0.5  | 0.8  | refused for ever                   | MG4027 |

  Scenario: A call goes on when another one times out while a third was told of its handler's failure
    An owner's handler fails, and its caller is told so at once: the daemon answers. Another call's time-out still
    closed the channel, as only answers with success counted as signs of life; a job under way was cut off.

    When a daemon puts two calls to another one, and one times out while a third is told of a failure
    Then the other one is answered, on the only connection

  Scenario: Calls to an owner whose store is slow go on when a question to it times out
    A store is slow, and the owner says after 1.2 s what became of a job. A caller's question to the same owner waits for
    0.6 s. Nothing else comes meanwhile, so its time-out closed the channel that all calls to that owner share:
    jobs whose answer was due in time were cut off, and their callers told that nobody knows.

    When a daemon puts two jobs and a question of 0.6 s to an owner that answers after 1.2 s
    Then both jobs are answered
