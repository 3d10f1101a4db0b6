Feature: Client accounts share the capacity of all pools by their weights
  Names the pattern: large accounts send many times their usual load to all pools at once, while another pool's demand
  rises and takes machines. Each pool's owner alone sees accounts that are within their share of that pool.

  Scenario Outline: A flood by <flooding> accounts of <factor> times their usual load costs small accounts little
    Guards against small accounts that pay for a flood: by weights within each pool alone, they lose a fifth of their
    jobs in time when six accounts send eight times as much.

    When <flooding> accounts flood all pools with <factor> times their usual load
    Then the flood costs the small accounts at most a tenth of their jobs in time

    Examples:
      | flooding | factor |
      | 1        | 5      |
      | 1        | 8      |
      | 3        | 5      |
      | 3        | 8      |
      | 6        | 5      |
      | 6        | 8      |

  Scenario Outline: A flood by 6 accounts while <trouble> costs small accounts at most <loss>
    Guards against figures that do harm when they are late, gone, or two owners differ: at worst, accounts share each
    pool by their weights.

    When 6 accounts flood all pools with 8 times their usual load, and <trouble>
    Then the flood costs the small accounts at most <loss> of their jobs in time
    And no owner has changed the mark of a job

    Examples:
      | trouble                                   | loss                               |
      | a former fleet's owner goes on            | a tenth                            |
      | the large accounts' weights are halved    | a tenth                            |
      | all pools get other owners                | a tenth                            |
      | the fleet's owner is cut off from 2 pools | what weights in each pool had cost |
      | the fleet's owner is cut off from 3 pools | what weights in each pool had cost |
      | the fleet's owner ends                    | what weights in each pool had cost |

  Scenario Outline: Of <capacity> cores, accounts that want <wanted> by weights <weights> get <shares>
    Guards against shares that leave capacity unused, or that give more than is wanted.

    Then of <capacity> cores accounts that want <wanted> by weights <weights> get <shares>

    Examples:
      | capacity | wanted      | weights     | shares      |
      | 100      | 20, 30      | 1, 1        | 20, 30      |
      | 100      | 20, 300     | 1, 1        | 20, 80      |
      | 100      | 200, 300    | 1, 1        | 50, 50      |
      | 100      | 200, 300    | 1, 3        | 25, 75      |
      | 100      | 10, 60, 60  | 1, 1, 1     | 10, 45, 45  |
      | 100      | 10, 60, 600 | 1, 1, 2     | 10, 30, 60  |
      | 100      | 0, 300      | 5, 1        | 0, 100      |
      | 0        | 20, 30      | 1, 1        | 0, 0        |
      | 100      | 200, 200    | 0, 1        | 50, 50      |
      | 100      | 200, 200    | -4, 1       | 50, 50      |
      | 100      | 200, 200    | inf, nan    | 50, 50      |
      | 100      | 20, 200     | 1e17, 1     | 20, 80      |

  Scenario: Any shares equal those of filling up step by step
    Then shares of any demands equal those that a naive filling gives

  Scenario Outline: A pool's owner counts <arrivals> as <counts>
    Guards against counts that a repetition, an old arrival or a flood of ids distorts.

    When work arrives as <arrivals>
    Then the pool's owner counts <counts>

    Examples:
      | arrivals                                         | counts       |
      | 3 core-seconds of a now                          | a 3          |
      | 3 core-seconds of a now, twice with one id       | a 3          |
      | 3 core-seconds of a 1.9 s ago and of b now       | a 3, b 3     |
      | 3 core-seconds of a 2.0 s ago and of b now       | b 3          |
      | 12000 jobs of 1 core-second of a now             | a 10000      |

  Scenario Outline: A job of <cpu> mCPU and <memory> MB for 2 s in a pool of 64 cores and 256000 MB is work of <core_s>
    Guards against accounts that take a pool's memory and count as small.

    Then a task of <cpu> mCPU and <memory> MB for 2 s counts as <core_s> core-seconds

    Examples:
      | cpu  | memory | core_s |
      | 1000 | 4000   | 2      |
      | 1000 | 2000   | 2      |
      | 1000 | 40000  | 20     |

  Scenario: The order in a full pool goes by the scarcest resource
    Guards against an account that fills a pool's memory with tasks of little processor time and goes first again.

    When an account of much memory and one of little have jobs at work in a full pool, and send one
    Then the job of the account with little memory goes first

  Scenario Outline: An account's job within its share doesn't wait for <number> newer <kind> ones of the account
    Guards against jobs that are served last and still use up the turns of their account's others.

    When an account has a job within its share and <number> newer <kind> ones, and another account has 2 jobs
    Then the job within its share goes before the second one of the other account

    Examples:
      | number | kind   |
      | 1      | excess |
      | 4      | excess |
      | 2      | begun and too late |

  Scenario Outline: <first> goes before <second> in a full pool
    Guards against excess jobs that go first for their queue, their start or their account, or after useless ones.

    When <first> and <second> wait in a full pool
    Then the first of them is started first

    Examples:
      | first                        | second                       |
      | a job within its share       | an excess job                |
      | a job within its share       | an excess job that has begun |
      | a late job within its share  | an excess job                |
      | a job of a less urgent queue | an excess job                |
      | an excess job                | a late excess job            |
      | an excess job                | a job that is too late       |
      | a long-running job           | an excess job                |

  Scenario Outline: Figures of <fraction> that are <age> s old mark <marked> of 1000 jobs
    Guards against marks by figures of a fleet's owner that is gone, and against marks of all of a flood's first jobs.

    When a pool's owner has had figures of <fraction> for <age> s
    Then it marks about <marked> of 1000 new jobs of the account, and none of another one

    Examples:
      | fraction | age | marked |
      | 0.75     | 0   | 750    |
      | 0.75     | 1   | 750    |
      | 0.75     | 2   | 375    |
      | 0.75     | 3   | 0      |
      | 0.75     | 60  | 0      |
      | 0.0      | 0   | 0      |

  Scenario: Two owners with the same figures mark the same jobs that they read
    When two owners read the same 1000 stored jobs and get figures of 0.4
    Then both mark the same jobs, about 400

  Scenario Outline: After figures of epoch <epoch> and number <number>, those of <later> are <result>
    Guards against two fleet's owners whose figures a pool's owner takes in turns.

    When a pool's owner gets figures numbered <epoch>.<number> and then others numbered <later>
    Then the later figures are <result>

    Examples:
      | epoch | number | later | result  |
      | 2     | 7      | 2.8   | applied |
      | 2     | 7      | 3.1   | applied |
      | 2     | 7      | 2.7   | ignored |
      | 2     | 7      | 2.6   | ignored |
      | 2     | 7      | 1.99  | ignored |

  Scenario Outline: With <reported> of 2 full pools heard <when>, the excess of two equal accounts is <excess>
    Guards against shares that count the machines of a pool whose demand isn't known.

    When the fleet's owner has heard <reported> of 2 pools, full of two accounts' work, <when>
    Then the excess of either account is <excess>

    Examples:
      | reported | when      | excess     |
      | 0        | just now  | not stated |
      | 1        | just now  | 0.5        |
      | 2        | just now  | 0.5        |
      | 2        | 3 s ago   | not stated |

  Scenario: A change of weights holds from the next figures on
    When an account's weight is raised from 1 to 3 while two accounts want twice the capacity
    Then its excess falls from 0.5 to 0.25, and that of the other rises to 0.75

  Scenario Outline: A message <with_what> is read by <reader>
    Guards against daemons that don't understand each other while versions are mixed.

    When a <message> <with_what> is encoded
    Then <reader> can read it

    Examples:
      | message | with_what          | reader                   |
      | view    | without counts     | a daemon without shares  |
      | view    | with counts        | a daemon with shares     |
      | view    | without counts     | a daemon with shares     |
      | request | without figures    | a daemon without shares  |
      | request | with figures       | a daemon with shares     |
      | request | with empty figures | a daemon with shares     |
      | request | without figures    | a daemon with shares     |

  Scenario Outline: With shares <state>, joiners flood a pool and <trouble>
    Guards against lost or repeated jobs, and against counts that a takeover loses.

    When with shares <state>, joiners submit 60 jobs in a second, fitters 3, and <trouble>
    Then all jobs are completed and no promise is broken
    And the owners' lines tell of <told>

    Examples:
      | state | trouble                      | told                   |
      | on    | nothing happens              | excess jobs of joiners |
      | on    | the pool's owner is killed   | excess jobs of joiners |
      | on    | the fleet's owner is killed  | excess jobs of joiners |
      | off   | nothing happens              | no shares              |

  Scenario: A new owner of a pool counts what arrived before
    When joiners submit 5 jobs, and the pool's owner is killed at once
    Then its successor counts the work of these 5 jobs once

  Scenario: A new owner of a pool marks the jobs that it read by its first figures, once
    Guards against a flood's waiting jobs that count as within their share after a takeover, or that change in turns.

    When with shares on, joiners submit 60 jobs in a second, and the pool's owner leaves
    Then its successor has marked some of the jobs that it read, all of joiners, and changed no mark

  Scenario: The line of the shares names at most 20 accounts, once a second
    Guards against a log that many accounts fill.

    When the fleet's owner decides 50 times in 10 s about 42 greedy accounts
    Then it has logged at most 11 lines of shares, each with the 20 largest accounts
    And the metrics name the 20 largest accounts

  Scenario: Weights of 0 or below count as 1, with one log line
    When the fleet's owner decides 50 times in 10 s about weights 0, -2, 1
    Then it has logged one line that names the 2 accounts of invalid weights
