Feature: whatever faults come together, callers and operators are told the truth
  What the fuzz of the whole system (tools/fuzz.py) runs and what it has found. A run starts a
  platform, two executors processes and four daemons under load, carries out a schedule of faults
  and operators' actions that is drawn from a seed, heals everything and judges by the stand-ins'
  own record.

  Scenario: daemons are killed, frozen and replaced while the log and executors fail
    The steps overlap, and are fixed here: for a seed hypothesis draws other steps when the code's
    constants have changed.
    When the fuzz carries out at 60 requests a second
      | at_s | action               | on         | for_s | number |
      | 0.3  | job                  | once       | 0.1   | 2      |
      | 0.5  | reset_after_running  | w0         | 3.0   | 0.3    |
      | 0.8  | daemon_kill          | e2         | 1.0   | 0      |
      | 1.5  | calls_lost           | /log/*     | 3.0   | 0.3    |
      | 2.0  | race                 | team/alpha | 0.1   | 0      |
      | 2.0  | daemon_freeze        | e3         | 3.5   | 0      |
      | 3.0  | silent               | beta       | 1.0   | 0      |
      | 5.0  | daemon_stop          | e1         | 0.5   | 0      |
    Then the fuzz finds every promise kept

  Scenario: racks and executors fail while operators race and the log is down
    When the fuzz carries out at 60 requests a second
      | at_s | action                   | on        | for_s | number |
      | 0.3  | drain                    | w1        | 3.0   | 0      |
      | 0.5  | race                     | pool/beta | 0.1   | 0      |
      | 0.6  | job                      | twice     | 0.1   | 2      |
      | 1.0  | power_off                | r0        | 2.0   | 0      |
      | 1.5  | calls_down               | /log/*    | 2.0   | 1      |
      | 2.0  | short                    | w6        | 2.0   | 150    |
      | 2.5  | executors_kill_after_run | x2        | 1.5   | 0      |
      | 4.0  | race                     | team/beta | 0.1   | 0      |
      | 4.5  | paused                   | w9        | 1.0   | 0      |
    Then the fuzz finds every promise kept

  Scenario: the fuzz draws the same steps again for a seed
    When the fuzz draws steps for 20 seeds
    Then the fuzz's steps are those it drew before, and name every action

  Scenario: a connection that is reset between its handshake and the request
    The executor accepts and resets at once, and the loop sees it before the request is written.
    Nothing was sent, so the request runs at the other executor. The look at the closed connection
    failed instead, and the caller's own connection broke without an answer.
    When the fuzz lets a single write meet a reset before its first byte
    Then the fuzz's caller is told 1000 after 1 run

  Scenario Outline: the fuzz's judge on <what>: <faults>
    The fuzz is worth what its judge finds, so each promise it adds to the oracle's is broken once.
    When the fuzz's judge looks at <what>
    Then the fuzz's judge finds <faults>

    Examples:
      | what                                            | faults                 |
      | a run after the copy that was answered was sent | nothing                |
      | a run before any copy but a refused one         | untrue refusal         |
      | a connection that a killed daemon broke         | nothing                |
      | a connection that a stopping daemon broke       | broken                 |
      | a silent daemon that was frozen                 | nothing                |
      | a silent daemon that ran                        | silent                 |
      | a large answer that ended as cut                | nothing                |
      | a small answer that ended as cut                | cut                    |
      | a drain that leaves as many hosts as it must    | nothing                |
      | a drain that leaves too few hosts               | budget breach          |
      | a drain just after a host was lost              | nothing                |
      | a drain long after a host was lost              | budget breach          |
      | a job that may not run twice and went on        | nothing                |
      | a job that may not run twice and did            | job run twice          |
      | a change that was accepted and is in force      | nothing                |
      | a change that was accepted and is not in force  | reverted configuration |
      | a change that was rejected and is in force      | reverted configuration |
      | two changes of one version that were accepted   | reverted configuration |
      | a daemon that went back to an older version     | reverted configuration |

  Scenario Outline: an entry host that was frozen holds its own pause of <seconds> s against nobody
    Thirty reads are at x1 when the entry host's process stops for a while. When it wakes each seems
    to have taken that long, against milliseconds elsewhere. Healthy executors were ejected for it,
    their slots stood idle just when the host had to catch up; a busy processor does that too.
    When the fuzz freezes an entry host for <seconds> s with 30 reads at one of two executors
    Then the fuzz's entry host counts both executors as well

    Examples:
      | seconds |
      | 0.6     |
      | 3.0     |

  Scenario: the first declarations come long after the start
    Workers are labelled with pools that nobody has declared, so the log takes in the spare ones
    alone. The first apply was then checked against these few and refused for good: the others could
    only be taken in once their pools were declared.
    When the fuzz's operator applies the first declarations 6 seconds after the start
    Then the fuzz's daemons have all hosts in their pools
