Feature: machines move to the pools that have work for them
  Each pool pays for the machines that it has, and a move takes a second or two. Which machines move is
  decided from the demand that the pools' owners report.

  Scenario Outline: A pool with demand for <demand> machines gets <gets>: <when>
    A pool's queue grows to several times what its machines can do, and its jobs are late. Machines of the
    standby pool come first. Then other pools lend machines that they keep only for a rise that can't be
    forecast. They keep those that they have work for, and at least half of their size: otherwise their own
    next rise would begin with no machines.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When the demand of quotes is <demand> machines for <seconds> s, while cuts and stairs have work for <others>
    Then the pool quotes has <gets> machines
    And the pools cuts and stairs have <left> machines

    Examples:
      | when                             | demand | seconds | others | gets | left      |
      | within its size                  | 6      | 4       | 1      | 8    | 10 and 10 |
      | standby is enough                | 12     | 4       | 1      | 14   | 10 and 10 |
      | others have little to do         | 23     | 6       | 1      | 21   | 6 and 7   |
      | others have work for most        | 23     | 6       | 7      | 16   | 9 and 9   |
      | others are full                  | 23     | 6       | 8      | 14   | 10 and 10 |
      | short only briefly               | 23     | 0.3     | 1      | 14   | 10 and 10 |

  Scenario: Metrics show how many machines each pool wants and has
    Guards against a pool that is too small and can't be told from one that has all it wants.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When metrics count the machines while the demand of quotes is 23 machines for 4 s
    Then metrics show that quotes wants machines for the work of 23 and has at most 22
    And metrics show that cuts wants machines for the work of 1 and has at most 10

  Scenario Outline: A pool at which work for <arriving> machines arrives gets <gets> in <seconds> s
    A pool's demand rises to several times its size for some seconds. Running and waiting jobs show this
    only as they add up: machines brought for them alone came when the rise was over, and jobs were late.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When work for <arriving> machines arrives at quotes, with demand for <demand> so far, for <seconds> s
    Then the pool quotes has <gets> machines

    Examples:
      | arriving | demand | seconds | gets |
      | 0        | 6      | 1.0     | 10   |
      | 9        | 6      | 1.0     | 10   |
      | 13       | 6      | 0.2     | 14   |
      | 23       | 6      | 0.2     | 14   |
      | 23       | 6      | 1.0     | 21   |

  Scenario Outline: Arrivals that change from work for <before> machines to <now> in 0.4 s require <required>
    A pool of 10 machines has work for one, and its demand changes within two seconds. Recent arrivals show
    only half of such a rise. A machine comes 2.4 s after it was ordered, and by then jobs that may wait for
    1.4 s are late. So growing arrivals are extrapolated over 0.75 s, steady or falling ones aren't, and a
    pool gets at most one machine more than twice its size.

    When work that arrives at a pool of 10 machines changes from <before> machines to <now> in 0.4 s
    Then the pool requires <required> machines

    Examples:
      | before | now | required |
      | 0      | 0   | 2        |
      | 6      | 6   | 6        |
      | 6      | 4   | 4        |
      | 4      | 6   | 10       |
      | 2      | 6   | 14       |
      | 0      | 4   | 12       |
      | 2      | 20  | 21       |

  Scenario Outline: <jobs> jobs that arrived <ago> s ago and would keep <each> cores busy count as <cores> cores
    The first arrivals are the earliest sign of a rise. Single jobs arrive at quiet times too, and are no rise.

    When <jobs> jobs of 2 steps, with 4 s of processor time each, arrived at a pool <ago> s ago
    Then the pool expects to keep <cores> cores busy

    Examples:
      | jobs | ago | each | cores |
      | 0    | 0.1 | 0    | 0     |
      | 1    | 0.1 | 11   | 0     |
      | 4    | 0.1 | 43   | 21    |
      | 16   | 0.5 | 171  | 128   |
      | 16   | 0.8 | 171  | 0     |

  Scenario: Pools lend while a wave has taken machines of theirs
    A rack's machines are away for maintenance, and another pool's demand rises. As machines were on their
    way back to them, the pools of the rack were taken for growing ones, and lent nothing during the wave.
    The risen pool's jobs were late while two thirds of the fleet were idle.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And a wave has taken a machine of cuts and one of stairs
    When the demand of quotes is 23 machines for 6 s, while cuts and stairs have work for 1
    Then the pool quotes has 21 machines
    And the pools cuts and stairs have 6 and 7 machines

  Scenario Outline: <count> machines that are back from maintenance count once, with demand for <demand>
    Machines of a pool resume work up to a second before the list of machines shows it. When they were counted both
    as present and as on their way, the pool seemed larger than it was: one released 13 of 50 machines two seconds
    before its first rise, and a risen one requested nothing while it was short.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And <count> machines of quotes are back from maintenance, which the list doesn't show yet
    When the demand of quotes is <demand> machines for 1 s, while cuts and stairs have work for 1
    Then the pool quotes has <has> machines

    Examples:
      | count | demand | has |
      | 4     | 2      | 10  |
      | 4     | 13     | 14  |

  Scenario Outline: Pools have risen one after another, 6 s apart, and <seconds> s later quotes has <gets> machines
    Pools rise one after another. The machines of a pool whose demand fell went to standby and from there to
    the next pool: two moves, after which most of the rise was over. So a pool that is due to rise gets its
    first size in advance. It gets no more, as forecast rises that never came cost a day of low load 30
    moves and 50 machine-seconds. Once the rise is overdue, the pool keeps only what its work needs.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When quotes, cuts and stairs rise to 20 machines one after another, 6 s apart, and <seconds> s pass
    Then the pool quotes has <gets> machines

    Examples:
      | seconds | gets |
      | 0       | 10   |
      | 3       | 2    |
      | 8       | 2    |

  Scenario: Arriving lasting tasks are no rise of demand
    Lasting tasks arrive at one pool after another as an operator rolls a service out. Counted as rises, they
    would have pools forecast later rises from them and release their machines; the first real rise would
    find a tenth of the machines, and callers would wait for seconds.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When lasting tasks for 3 machines arrive at one pool after another, 1 s apart, twice
    Then the pool quotes has 10 machines
    And the pools cuts and stairs have 10 and 10 machines

  Scenario Outline: A rack with <lost> of 10 machines of quotes goes dark, with work for <demand>: it gets <gets> at once
    A rack goes dark while a pool's demand rises. Guards against its machines counting as capacity, so that none are
    ordered for them before their tasks have waited for their leases.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And silent machines aren't moved
    When <lost> machines of quotes fall silent, with work for <demand> machines, for 0.2 s
    Then <gets> machines of quotes answer

    Examples:
      | lost | demand | gets |
      | 5    | 8      | 9    |
      | 5    | 1      | 5    |
      | 0    | 8      | 10   |

  Scenario Outline: Of 3 silent machines of cuts <given> are chosen for quotes, which rises, if silent machines <are> moved
    The machines of a dark rack look idle to the fleet's owner. Guards against a risen pool being promised machines that
    can't be emptied, for which it gets no others.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And silent machines <are> moved
    When 3 machines of cuts fall silent, while quotes has work for 23 machines for 4 s
    Then <given> silent machines have been chosen for a move

    Examples:
      | are    | given |
      | aren't | 0     |
      | are    | 2     |

  Scenario Outline: 4 machines on their way to quotes <state>: it asks for <more> more
    Machines are ordered to a rising pool, and their rack goes dark on the way, or while they are being emptied. Guards
    against lost machines counting as coming, so that the pool asks for no others.

    Given pools quotes, cuts and stairs of 10 machines each, and 0 on standby
    And silent machines aren't moved
    When quotes needs 14 machines, and 4 machines <state>
    Then the pool quotes asks for <more> more

    Examples:
      | state                                   | more |
      | are due to be back in a second          | 0    |
      | should have been back a second ago      | 0    |
      | should have been back two seconds ago   | 4    |
      | of cuts are being emptied for it        | 0    |
      | of cuts fell silent while being emptied | 4    |

  Scenario Outline: A pool has risen <rises>, and its next rise is forecast <forecast>
    Rises are dated by the time of day. Set back between two of them, their interval was negative, and a forecast that
    went on from rise to rise until the present never ended; set forward by a year it took as long as that has rises.

    When a pool has risen <rises>, and its next rise is asked for <asked> after the last one
    Then the forecast is <forecast> after the last one

    Examples:
      | rises                              | asked      | forecast |
      | twice, 6 s apart                   | 1 s        | 6 s      |
      | twice, 6 s apart                   | 8 s        | 6 s      |
      | twice, 6 s apart                   | 10 s       | 12 s     |
      | twice, 6 s apart                   | 1000000 s  | 1000002 s |
      | twice, the clock set back by 20 s  | 1 s        | missing  |
      | twice, the clock set back by 20 s  | 100 s      | missing  |
      | twice, the clock set back by 6 s   | 1 s        | missing  |
      | twice, the clock set back by 5.8 s | 1 s        | missing  |
      | twice, 6 s apart                   | 31536000 s | 31536000 s |
