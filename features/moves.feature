Feature: machines go where there is work
  Pools pay for each machine that they have, and a move takes a second or two. Which machines move is
  decided from what the pools' owners tell of their demand.

  Scenario Outline: A pool that asks for <asked> machines gets <gets>: <when>
    A pool's queue rises to several times what its machines do, and its jobs are late. Machines of the
    standby pool come first. Then other pools lend what they keep only for a rise that nobody foresees.
    They keep what they have work for, and half of all: their own rise would begin with nothing.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When the demand of quotes is <asked> machines for <seconds> s, while cuts and stairs have work for <others>
    Then the pool quotes has <gets> machines
    And the pools cuts and stairs have <left> machines

    Examples:
      | when                             | asked | seconds | others | gets | left      |
      | within its size                  | 6     | 4       | 1      | 8    | 10 and 10 |
      | standby is enough                | 12    | 4       | 1      | 14   | 10 and 10 |
      | others have little to do         | 23    | 6       | 1      | 21   | 6 and 7   |
      | others have work for most        | 23    | 6       | 7      | 16   | 9 and 9   |
      | others are full                  | 23    | 6       | 8      | 14   | 10 and 10 |
      | too short to be lent for         | 23    | 0.3     | 1      | 14   | 10 and 10 |

  Scenario Outline: A pool at which work for <arriving> machines arrives gets <gets> in <seconds> s
    A pool's demand rises to several times its size for some seconds. What runs and waits shows that
    only as jobs add up. Machines that were brought for what is there came when the rise was over, and
    its callers' jobs were late.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When work for <arriving> machines arrives at quotes, of which that for <asked> is there, for <seconds> s
    Then the pool quotes has <gets> machines

    Examples:
      | arriving | asked | seconds | gets |
      | 0        | 6     | 1.0     | 10   |
      | 9        | 6     | 1.0     | 10   |
      | 13       | 6     | 0.2     | 14   |
      | 23       | 6     | 0.2     | 14   |
      | 23       | 6     | 1.0     | 21   |

  Scenario Outline: Arrivals that went from work for <before> machines to <now> in 0.4 s ask for <asked>
    A pool of 10 machines has work for one, and its demand turns within two seconds. What arrived in the
    last moments shows half of such a rise; a machine is there 2.4 s after it was asked for, and jobs that
    may wait for 1.4 s are late by then. Arrivals that grow are taken to grow on for 0.75 s. What is steady
    or falls is taken as it is, and no pool gets more than twice its size and one.

    When work that arrives at a pool of 10 machines goes from <before> machines to <now> in 0.4 s
    Then the pool asks for <asked> machines

    Examples:
      | before | now | asked |
      | 0      | 0   | 2     |
      | 6      | 6   | 6     |
      | 6      | 4   | 4     |
      | 4      | 6   | 10    |
      | 2      | 6   | 14    |
      | 0      | 4   | 12    |
      | 2      | 20  | 21    |

  Scenario Outline: <jobs> jobs that came <ago> s ago and would keep <each> cores busy show <cores>
    Of a rise the first arrivals tell most. Single jobs come in calm times too, and are no rise.

    When <jobs> jobs of 2 steps, with 4 s of processor time each, came to a pool <ago> s ago
    Then the pool expects to keep <cores> cores busy

    Examples:
      | jobs | ago | each | cores |
      | 0    | 0.1 | 0    | 0     |
      | 1    | 0.1 | 11   | 0     |
      | 4    | 0.1 | 43   | 21    |
      | 16   | 0.5 | 171  | 128   |
      | 16   | 0.8 | 171  | 0     |

  Scenario: Pools lend while a wave has machines of theirs
    A rack's machines are away for maintenance, and another pool's demand rises. Their pools looked as
    if they were growing, as machines were on the way to them, and lent nothing for as long as the wave
    went on. The risen pool's jobs were late while two thirds of the fleet lay idle.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And a wave has a machine of cuts and one of stairs
    When the demand of quotes is 23 machines for 6 s, while cuts and stairs have work for 1
    Then the pool quotes has 21 machines
    And the pools cuts and stairs have 6 and 7 machines

  Scenario Outline: <count> machines that are back from maintenance count once, with demand for <asked>
    Machines of a pool come back to work up to a second before the list of machines shows it. Counted as there and as on
    their way, the pool looked larger than it was: it let 13 of 50 machines go two seconds before its first rise, and
    a risen one asked for nothing while it was short.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    And <count> machines of quotes are back from maintenance, which the list doesn't show yet
    When the demand of quotes is <asked> machines for 1 s, while cuts and stairs have work for 1
    Then the pool quotes has <has> machines

    Examples:
      | count | asked | has |
      | 4     | 2     | 10  |
      | 4     | 13    | 14  |

  Scenario Outline: Pools have risen in turn, 6 s apart, and <seconds> s later quotes has <gets> machines
    Pools rise one after another. The machines of the one that falls went to standby and from there to
    the next one, two moves on end; they came as most of the rise was over. So a pool that is about to
    rise gets its first size. Not more: rises that were foretold, but never came, cost a calm day 30
    moves beside 50 machine-seconds. Once the rise is overdue, the pool keeps what its work needs.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When quotes, cuts and stairs rise to 20 machines in turn, 6 s apart, and <seconds> s go by
    Then the pool quotes has <gets> machines

    Examples:
      | seconds | gets |
      | 0       | 10   |
      | 3       | 2    |
      | 8       | 2    |

  Scenario: Lasting tasks that come are no rise of demand
    Lasting tasks arrive at one pool after another, as an operator rolls a service out. Taken for rises,
    they would have pools foresee the next ones by them and let go of their machines; the first real rise
    would find a tenth of the machines, and its callers wait for seconds.

    Given pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When lasting tasks for 3 machines come to one pool after another, 1 s apart, twice
    Then the pool quotes has 10 machines
    And the pools cuts and stairs have 10 and 10 machines
