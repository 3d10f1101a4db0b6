Feature: A client account never has more running than its limit, on all pools together
  Owners of pools start tasks only within allowances that the fleet's owner shares out.

  Scenario Outline: Drawn plays of owners that share a limit: seeds <first> to <last>
    Guards against a limit that is exceeded when messages are lost or late, owners or the granter are
    replaced, or the limit changes.

    Then no start of the plays <first> to <last> exceeds the limit by more than the task itself

    Examples:
      | first | last |
      | 1     | 25   |
      | 26    | 50   |
      | 51    | 75   |
      | 76    | 100  |
      | 1019  | 1019 |
      | 1435  | 1435 |

  Scenario Outline: An account with a limit of <limit> mCPU runs <jobs> jobs while <trouble>
    Guards against a takeover that starts as much again as its predecessor has running.

    When joiners, limited to <limit> mCPU, submit <jobs> jobs, and <trouble>
    Then joiners never had more than <limit> mCPU running, and at some time at least <least> mCPU
    And all their jobs have ended, and no promise is broken

    Examples:
      | limit | jobs | trouble                        | least |
      | 4000  | 6    | nothing happens                | 3000  |
      | 4000  | 6    | the pool's owner is killed     | 3000  |
      | 4000  | 6    | the fleet's owner is killed    | 3000  |
      | 4000  | 6    | all hosts are killed           | 3000  |
      | 1000  | 3    | nothing happens                | 1000  |
      | 0     | 6    | nothing happens                | 5000  |

  Scenario: A new owner of a pool that hasn't read the configuration gives no account's use
    Guards against a limit that is given to other pools as if nothing of the account ran in this one.

    When a pool at work gets a new owner that hasn't read the configuration
    Then it tells the fleet's owner nothing before it has read it, and then what is in use

  Scenario Outline: A job with <part> is answered <code> under a limit of 2000 mCPU
    Guards against work that waits for ever for a limit that can't hold it.

    When joiners, limited to 2000 mCPU, submit a job with <part>
    Then they are told <code>

    Examples:
      | part                          | code   |
      | a task of 2000 mCPU           | MG4020 |
      | a task of 2001 mCPU           | MG4032 |
      | a gang of 2 tasks of 1000     | MG4020 |
      | a gang of 3 tasks of 1000     | MG4032 |
      | 3 tasks of 1000 mCPU          | MG4020 |

  Scenario Outline: Jobs of an account that <change> while they wait <outcome>
    Guards against accepted jobs that never run, or all run at once, when their account's limit goes.

    When joiners, limited to 2000 mCPU, submit 6 jobs, and the account <change>
    Then joiners never had more than <most> mCPU running, and at some time at least 2000 mCPU
    And all their jobs have ended, and no promise is broken

    Examples:
      | change                       | outcome                    | most |
      | is removed                   | run within the last limit  | 2000 |
      | is limited to 4000 mCPU      | run within the new limit   | 4000 |
      | is limited to 1000 mCPU      | end all the same           | 3000 |

  Scenario: What waits for a limit is told by the log, once a job
    Guards against work that waits without a reason that anybody can find.

    When joiners, limited to 1000 mCPU, submit 3 jobs, and nothing happens
    Then the log tells of each of the 3 jobs once that it waits for the limit
