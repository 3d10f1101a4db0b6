Feature: A rack whose executors fall silent together is one failure
  Racks of 12 or 20 executors fail while a pool's demand rises. Found one by one, the last executors of a dark rack look
  the emptiest until they are silent too, and each task started there waits until its lease has lapsed.

  Scenario Outline: <dark> of <size> executors go dark in a rise: the rack fails <failures> times
    Guards against a failure that isn't found, and against one executor's silence being taken for its rack's.

    Given three racks of <size> executors, every second one busy
    When <dark> executors of a rack go dark
    Then that rack has failed <failures> times, and no other rack has

    Examples: racks that go dark
      | size | dark | failures |
      | 12   | 12   | 1        |
      | 20   | 20   | 1        |
      | 20   | 10   | 1        |
      | 12   | 3    | 1        |
      | 4    | 2    | 1        |
      | 3    | 2    | 1        |

    Examples: executors that are silent for themselves
      | size | dark | failures |
      | 20   | 1    | 0        |
      | 12   | 2    | 0        |
      | 2    | 1    | 0        |
      | 1    | 1    | 0        |

  Scenario Outline: A dark rack of <size> has failed while <up> of its executors aren't silent yet
    Guards against a failure that is found only when nothing is left to spare from starts: idle executors are polled
    less often and fall silent last.

    Given three racks of <size> executors, every second one busy
    When <size> executors of a rack go dark
    Then at least <up> of its executors aren't silent when it fails

    Examples:
      | size | up |
      | 12   | 6  |
      | 20   | 10 |

  Scenario Outline: <dark> of <size> executors go dark: starts are held back for <for>, from <from> s on at the latest
    Guards against starts on a dark rack for the second until it counts as failed, and against a rack that is left idle
    because some of its executors are slow while the others answer.

    Given three racks of <size> executors, every second one busy
    When <dark> executors of a rack go dark
    Then starts in the rack are held back after <from> s at most, for <for>

    Examples:
      | size | dark | from | for     |
      | 12   | 12   | 0.5  | ever    |
      | 20   | 20   | 0.5  | ever    |
      | 4    | 4    | 0.7  | ever    |
      | 12   | 3    | 1.7  | 0.3 s   |
      | 12   | 6    | 1.7  | 0.5 s   |

  Scenario: Executors that fall silent one after another are no failure of their rack
    Guards against executors that tasks crash, one every 2 s in a rise, being taken for a failed rack.

    Given three racks of 12 executors, every second one busy
    When 6 executors of a rack go dark 2 s after one another
    Then that rack has failed 0 times, and no other rack has
    And no start is held back

  Scenario: An owner that was paused for 2 s declares no rack
    After a pause of the process all its polls are unanswered. Taken for failed racks, none of the pool's executors would
    get work in the middle of a rise.

    Given three racks of 12 executors, every second one busy
    When the owner is paused for 2 s
    Then that rack has failed 0 times, and no other rack has
    And no start is held back

  Scenario: A rack that goes dark while its owner is paused for 2 s is found
    Guards against a pause of the owner hiding a failure for good.

    Given three racks of 12 executors, every second one busy
    When the owner is paused for 2 s while 12 executors of a rack go dark
    Then that rack has failed 1 times, and no other rack has

  Scenario: An owner that is cut off from everything declares no rack
    Guards against an owner's own network failure being told as that of all racks.

    Given three racks of 12 executors, every second one busy
    When the owner is cut off from all executors
    Then that rack has failed 0 times, and no other rack has
    And no start is held back

  Scenario Outline: A rack of 12 that is back after <seconds> s with <silent> executors still silent has recovered once
    Guards against executors that stay silent making their rack fail again and again, once it works.

    Given three racks of 12 executors, every second one busy
    When 12 executors of a rack go dark, and all but <silent> answer again after <seconds> s
    Then that rack has failed 1 times, and no other rack has
    And it has recovered 1 times

    Examples:
      | seconds | silent |
      | 5       | 0      |
      | 5       | 4      |
      | 20      | 4      |

  Scenario: Machines of a rack that are moved at once are no failure of the rack
    A pool whose demand fell gives away half of its machines in a round, several of one rack. They are emptied first.

    Given three racks of 12 executors, every second one busy
    When 6 executors of a rack are emptied and then ordered away
    Then that rack has failed 0 times, and no other rack has
    And no start is held back

  Scenario: A failed rack whose executors have all been dropped is gone
    Guards against failures that are kept for racks which no longer exist.

    Given three racks of 12 executors, every second one busy
    When 12 executors of a rack go dark, and are dropped after 5 s
    Then the rack is gone, and nothing is remembered of it

  Scenario Outline: <tasks> tasks of a rise find <failed> of three racks failed: <there> start in failed racks, <waiting> wait
    Three racks of 12 executors with room for 4 tasks each. Guards against starts on a dark rack, and against a pool that
    starts nothing because no other executor is left.

    When <tasks> tasks are placed while <failed> of three racks of 12 have failed
    Then <there> tasks start on executors of failed racks, and <waiting> wait

    Examples:
      | tasks | failed | there | waiting |
      | 120   | 0      | 0     | 0       |
      | 96    | 1      | 0     | 0       |
      | 120   | 1      | 0     | 24      |
      | 48    | 2      | 0     | 0       |
      | 120   | 3      | 120   | 0       |

  Scenario Outline: A task that crashed an executor and needs <label> may use <count> executors, one rack having failed
    Such tasks choose among all executors. Guards against a task that needs what only the failed rack has, and that is never
    started for the sake of executors that don't accept it.

    When a task that needs <label> chooses among three racks of 12, of which the first has failed and alone has gpu1
    Then it may use <count> executors

    Examples:
      | label   | count |
      | nothing | 24    |
      | gpu1    | 12    |

  Scenario Outline: <width> replicas, at most <each> on an executor, <with> racks: <machines> machines, <most> at most in a rack
    Guards against a service whose replicas all share the rack that fails, and against a spread that takes more machines
    than the replicas need. An executor has room for 4.

    When <width> replicas, at most <each> on an executor, are placed <with> regard to three racks
    Then they take <machines> machines, with <most> replicas at most in a rack

    Examples:
      | width | each | with    | machines | most |
      | 6     | 1    | with    | 6        | 2    |
      | 8     | 2    | with    | 4        | 4    |
      | 9     | 3    | with    | 3        | 3    |
      | 2     | 1    | with    | 2        | 1    |
      | 8     | 0    | with    | 2        | 8    |
      | 8     | 2    | without | 4        | 8    |

  Scenario Outline: A rack of four <fails> while jobs run: each task runs once at a time, and the rack's line comes once
    Guards against tasks that restart while a run behind a partition still has its lease, and against a rack that isn't
    used any more after its repair.

    Given owners of executors in three racks, which take racks into account
    When 10 jobs of two steps are submitted while a rack <fails>
    Then all jobs are completed, and no promise is broken
    And one line tells the rack's failure, and <recoveries> its recovery
    And no task starts in the rack between the failure and the recovery

    Examples:
      | fails                    | recoveries |
      | goes dark for good       | 0          |
      | is cut off for 6 seconds | 1          |

  Scenario: Without the feature a rack that fails is told executor by executor, as before
    Guards against a change for deployments whose executors don't state when they started.

    Given owners of executors in three racks, which don't take racks into account
    When 10 jobs of two steps are submitted while a rack goes dark for good
    Then all jobs are completed, and no promise is broken
    And no line tells a rack's failure

  Scenario: The idle executors of a dark rack get no work in a rise, and don't count as capacity
    Guards against tasks of a rise that start on the executors that aren't silent yet, which look the emptiest, and against
    those counting as capacity.

    Given owners of executors in three racks, which take racks into account
    When a rack of four with two busy executors goes dark, and work for the whole pool arrives
    Then the rack's 2 idle executors get no work and don't count as capacity from its failure
    And all jobs are completed, and no promise is broken

  Scenario Outline: Three replicas that may not share an executor run in <count> racks, if owners <take> racks into account
    Guards against a service that is lost as a whole with one rack.

    Given owners of executors in three racks, which <take> racks into account
    When a service of 3 replicas is submitted that may not share an executor
    Then they run in <count> racks

    Examples:
      | take       | count |
      | take       | 3     |
      | don't take | 1     |
