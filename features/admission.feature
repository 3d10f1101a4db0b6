Feature: A job that would end too late to be of use is refused at once
  A pool gets more work than it can do, so some of it ends too late whatever the order. Its caller learns that while it
  can still turn elsewhere, and when to come back.

  Scenario Outline: A job of an account with <own> s of work beside one with <other> s ends after <end> s at the latest
    Guards against an account that floods a pool and delays the jobs of others, or a small one that gets nothing.

    Given a pool of 10 cores, on which account a has work for <own> s and account b for <other> s
    When account a sends a job of 10 core-seconds, with weight <weight> beside b's 1
    Then the job is forecast to end after <end> s

    Examples:
      | own | other | weight | end  |
      | 0   | 0     | 1      | 1.0  |
      | 3   | 0     | 1      | 4.0  |
      | 0   | 60    | 1      | 2.0  |
      | 3   | 60    | 1      | 8.0  |
      | 3   | 2     | 1      | 6.0  |
      | 3   | 60    | 4      | 5.0  |
      | 60  | 3     | 1      | 64.0 |

  Scenario Outline: Work of <kind> and a job of a queue of priority 1 on it, which ends after <end> s
    Guards against a forecast that doesn't follow the order in which jobs get capacity.

    Given a pool of 10 cores with work for 5 s of <kind>
    When account a sends a job of 10 core-seconds to a queue of priority 1
    Then the job is forecast to end after <end> s

    Examples:
      | kind                                    | end |
      | jobs of a queue of priority 0           | 6.0 |
      | jobs of a queue of priority 2           | 1.0 |
      | begun jobs of a queue of priority 1     | 6.0 |
      | waiting jobs of a queue of priority 1   | 2.0 |

  Scenario Outline: With <incoming> cores on their way, 100 core-seconds on 10 cores end after <end> s
    Guards against refusals in a rise whose machines have been ordered.

    Then 100 core-seconds on 10 cores take <end> s with <incoming> cores that come after 1.5 s

    Examples:
      | incoming | end  |
      | 0        | 10.0 |
      | 7        | 6.5  |
      | 75       | 2.5  |

  Scenario Outline: A job that is forecast to end <excess> s too late, <doubt>, is <outcome> if its caller waits <wait> s
    Guards against a time to return after which the job is refused again, or its caller is gone.

    When a job is forecast to end <excess> s too late, <doubt>, and its caller waits <wait> s
    Then the decision is <outcome>

    Examples:
      | excess | doubt                 | wait | outcome        |
      | -0.1   | without doubt         | 2.85 | admitted       |
      | 0.2    | without doubt         | 2.85 | back in 1 to 2 |
      | 1.2    | without doubt         | 2.85 | back in 2 to 2 |
      | 2.1    | without doubt         | 2.85 | given up       |
      | 0.2    | without doubt         | 1.2  | given up       |
      | 0.2    | without doubt         | 1.4  | back in 1 to 1 |
      | 0.2    | give or take 0.3 s    | 2.85 | admitted       |
      | 9.0    | give or take 0.3 s    | 9.9  | back in 9 to 9 |

  Scenario Outline: Of <count> jobs that are refused together, <first> are told to return after 1 s
    Guards against callers that were refused together and return together.

    When <count> jobs of 32 core-seconds on 256 cores are refused at the same moment, back in 1 to 2
    Then <first> of them return after 1 s, those refused first the earlier on average

    Examples:
      | count | first     |
      | 2     | 1 to 2    |
      | 20    | 5 to 10   |
      | 200   | 5 to 10   |

  Scenario: An account below its share gets the earliest time to return
    Guards against small accounts that wait for the returns of a large one that floods.

    When 200 jobs of 32 core-seconds on 256 cores are refused at the same moment, back in 1 to 2
    Then a job of an account below its share is told to return after 1 s

  Scenario Outline: A caller that was told to return after 1 s and is back after <back> s, <pool>, is <kept>
    Guards against a caller that returns as it was told and finds its place taken, or a place kept for nobody.

    When a job is refused, back in 1 to 1, and sent again after <back> s <pool>
    Then its place was <kept>

    Examples:
      | back | pool                  | kept     |
      | 1.0  | on an equal pool      | kept     |
      | 0.8  | on an equal pool      | kept     |
      | 1.4  | on an equal pool      | kept     |
      | 0.5  | on an equal pool      | not kept |
      | 1.6  | on an equal pool      | not kept |
      | 1.0  | on a pool that shrank | not kept |

  Scenario: Capacity is kept only for callers that may still return, and for 500 at the most
    Guards against a pool that fills up with jobs whose callers have gone.

    When 1200 jobs of 32 core-seconds on 256 cores are refused at the same moment, back in 1 to 2
    Then capacity is kept for 500 of them, and for none 3 s later

  Scenario Outline: The forecast is <used> after <count> tasks of a queue have ended
    Guards against refusals by declared durations that nothing is known of.

    When <count> tasks of a queue have ended
    Then the queue's forecast is <used>

    Examples:
      | count | used     |
      | 0     | not used |
      | 19    | not used |
      | 20    | used     |

  Scenario Outline: In a flood of <factor> times the usual load from <flooding> accounts, fair finish times refuse best
    Names the pattern: one to three large accounts send 5 to 8 times their usual load for 6 s to a pool that is at <load>.

    When <flooding> accounts flood a pool at <load> with <factor> times their load, by any way
    Then fair finish times have more jobs in time than the other methods
    And they refuse fewer jobs falsely than a bound on work
    And fewer jobs that they accept end too late than with a bound on delay
    And fewer than half as many as without admission and its order

    Examples:
      | flooding | factor | load |
      | 3        | 8      | 0.7  |
      | 3        | 5      | 0.9  |

  Scenario: Without overload nothing is refused
    Names the pattern: the usual load, in which single jobs wait because of chance.

    When 0 accounts flood a pool at 0.7 with 1 times their load, by any way
    Then fair finish times refuse nothing

  Scenario: Refused jobs aren't stored, return in time, and are one job whichever host is asked
    Names the pattern: 60 wide jobs at once to a pool that does one in 0.6 s. A refusal says that the job was not run,
    so it must not run, and the second attempt with the same id must not become a second job.

    When 60 jobs flood a served pool, and refused ones return as they are told
    Then some jobs are refused with MG4033 or MG4034, and nothing that was refused for good has run
    And each time to return lies within the caller's deadline
    And those that return in time are accepted
    And each refusal is logged with its inputs
    And no promise is broken

  Scenario Outline: A pool that had <peak> cores and shrank to 8 <outcome> a job of 38 core-seconds <when>
    Guards against refusals at the beginning of a rise, before machines for it have been ordered.

    When a pool that had <peak> cores and shrank to 8 gets a job of 38 core-seconds <when>
    Then it <outcome> the job

    Examples:
      | peak | when                           | outcome |
      | 32   | as its rise begins             | admits  |
      | 8    | as its rise begins             | admits  |
      | 32   | after 1.2 s without a machine  | refuses |

  Scenario Outline: A pool with work for a minute <outcome> a job <that>
    Guards against refusals where nothing can be forecast.

    When a pool with work for a minute gets a job <that>
    Then it <outcome> the job

    Examples:
      | that                                                 | outcome |
      | of one step                                          | refuses |
      | of one step, while an executor has yet to report     | admits  |
      | of one step, of a queue of which 19 tasks have ended | admits  |
      | with a task that runs until the job is cancelled     | admits  |
      | that repeats                                         | admits  |
      | of one step, while the owner's membership may be over | admits |
      | of one step, after the owner's log was fenced        | admits  |

  Scenario Outline: A request of the fleet's owner <with_what> is <count> values on the wire
    Guards against requests that an older owner of a pool can't read.

    Then a request of the fleet's owner <with_what> is <count> values, and is decoded as it was

    Examples:
      | with_what                      | count |
      | without a grant                | 4     |
      | with a grant                   | 5     |
      | with machines that are coming  | 8     |

  Scenario Outline: A job that is <state> is accepted again during overload
    Guards against a refusal that says "not run" of a job that runs.

    When 60 jobs flood a served pool, and accepted ones are sent again while they are <state>
    Then each accepted job is accepted again

    Examples:
      | state        |
      | known        |
      | being stored |

  Scenario Outline: A pool with work for 6 s and 2 machines that were coming <ago> s ago <outcome> a job
    Guards against refusals in a rise whose machines have been ordered, and against waiting for some that never come.

    When a pool with work for 6 s gets a job, and 2 machines were coming <ago> s ago
    Then it <outcome> the job

    Examples:
      | ago | outcome |
      | 0.2 | admits  |
      | 3.1 | refuses |

  Scenario Outline: <when_off>, 60 jobs at once are all accepted
    Guards against refusals where they weren't asked for, or where nothing is known to forecast from.

    When 60 jobs are sent at once, <when_off>
    Then all of them are accepted

    Examples:
      | when_off                                          |
      | where admission doesn't take part                 |
      | to an owner that has seen no task end             |
      | by a daemon that doesn't say how long callers wait |

  Scenario: The next owner admits on its own forecast
    The owner refuses jobs and dies. The next one knows the stored jobs but no durations, so it refuses nothing yet.

    When 60 jobs flood a served pool, and its owner dies before refused ones return
    Then the next owner accepts the refused jobs
    And no promise is broken

  Scenario: While the store is down, new jobs are told so and not that the pool is full
    Guards against a time to return by a forecast when the cause is an outage.

    When 60 jobs flood a served pool, the store fails, and one more is sent
    Then that job is told MG4028

  Scenario: An owner that is frozen during overload loses and doubles nothing
    Guards against an owner that thaws and decides by what it knew, while another one has accepted the job.

    When 60 jobs flood a served pool, its owner freezes, and refused ones return
    Then no promise is broken

  Scenario Outline: A reply <with_what> is <count> values on the wire between daemons
    Guards against replies that an older daemon can't read, or times to return that get lost.

    Then a reply <with_what> is <count> values, and is decoded as it was

    Examples:
      | with_what                | count |
      | without a time to return | 4     |
      | with a time to return    | 5     |

  Scenario Outline: A submit call <of> has <count> values where admission is <state>
    Guards against calls that an older owner can't read.

    Then a submit call <of> has <count> values where admission is <state>

    Examples:
      | of                                      | state | count |
      | without an identity, without accounts   | off   | 3     |
      | without an identity, without accounts   | on    | 5     |
      | with an identity                        | off   | 4     |
      | with an identity                        | on    | 5     |
      | without an identity, among accounts     | on    | 3     |

  Scenario Outline: A front answers a refusal with <code> by 429 and <header>
    Guards against a Retry-After that is missing, or given where returning is of no use.

    When the owner refuses a job with <code>
    Then the front answers 429 with <header>

    Examples:
      | code   | header           |
      | MG4033 | Retry-After: 2   |
      | MG4034 | no Retry-After   |
      | MG4032 | no Retry-After   |

  Scenario Outline: A late job with <slack> s until its end is of no use goes <place> its account's newest
    Guards against accepted jobs that wait behind newer ones until nobody needs them.

    When a late job is of use for <slack> s more if it waits, beside 50 new ones, <order>
    Then the late job goes <place> the newest

    Examples:
      | slack | order                     | place  |
      | 1.0   | admitted by a forecast    | before |
      | 1.6   | admitted by a forecast    | after  |
      | 1.0   | without admission         | after  |
