Feature: orders to machines end no work that goes on
  The fleet's owner tells the owners of pools which executors have ended by its orders, so that their
  tasks are started elsewhere at once. A word that is wrong has tasks run twice.

  Scenario: Maintenance that a machine has had already ends nothing
    A caller's job is run twice. The fleet's owner dies after a machine's maintenance was carried out and
    before that is on record. Its successor empties the machine and orders the same again; the answer is
    "done", though nothing happens. A pool's owner that takes over just then starts tasks on that machine.
    It is told by the fleet's owner that all that runs there has ended. Nor may the machine, counted as
    away for good, keep the wave's only place.

    Given owners on a fake platform
    When a wave's machine has had its maintenance, and the owners of fleet and pool die in turn
    Then the machine was ordered down once more than it went
    And all jobs have ended as completed
    And no promise was broken
    And each executor of the pool is used by its owner
    And the whole wave has had its maintenance

  Scenario: A word that an executor has ended is not believed while it answers
    The fleet's owner says that an executor has ended, which answers its pool's owner all the while. Its
    tasks go on there, and aren't started a second time.

    Given owners on a fake platform
    When the owner of a pool is told that an executor has ended which runs tasks
    Then all jobs have ended as completed
    And no promise was broken
    And each task has run once

  Scenario Outline: Lasting tasks of a risen pool move in time for a wave: <left> s before its end
    A pool has work for all its machines for as long as most of a wave lasts. Its machines were left
    alone until the wave's last rounds. Lasting tasks move one after another, so those on the wave's
    machines took until after its end, and the operator's maintenance was late.

    When a wave is due in <left> s for <due> of 10 machines that a risen pool has lasting tasks on
    Then <closed> of its machines are being emptied

    Examples:
      | left | due | closed |
      | 30   | 5   | 0      |
      | 19   | 5   | 1      |
      | 19   | 2   | 0      |
      | 6    | 2   | 2      |

  Scenario Outline: Of <size> machines <due> with lasting tasks are due in 28 s: <closed> are emptied side by side
    A wave takes machines that hold lasting tasks one after another, some 3 s for each task. With 8 of them in each
    pool the last was due for maintenance 4 s after the wave's end, and the operator's work waited for it.

    When a wave is due in 28 s for <due> of <size> machines that a risen pool has lasting tasks on
    Then <closed> of its machines are being emptied

    Examples: enough to be done in time, and no more
      | size | due | closed |
      | 30   | 8   | 1      |
      | 30   | 20  | 2      |
      | 150  | 40  | 5      |
      | 900  | 150 | 19     |

  Scenario Outline: <machine> is ordered <ordered> while the store takes <record> s to record it
    A pool rises while the store is slow. Each order was given up as its record took too long, and made
    again a second later; ten idle machines stayed on standby for 4 s, and the pool's jobs were late.
    A machine that nothing can run on stays empty meanwhile. One that has an executor may not: its pool has to
    say so again.

    When the order of <machine> is recorded after <record> s
    Then it is ordered <ordered>

    Examples:
      | machine            | record | ordered |
      | a standby machine                         | 0.0 | once  |
      | a standby machine                         | 0.8 | once  |
      | a machine at work                         | 0.0 | once  |
      | a machine at work                         | 0.8 | never |
      | a machine that its pool says is empty     | 0.8 | once  |
      | a machine of which its pool said so long ago | 0.8 | never |
      | a machine that has a task by then         | 0.8 | never |

  Scenario Outline: A machine is left alone for the time since its order, not since each takeover
    All daemons are rolled, one after another, and the fleet changes hands every second or two. Each new
    owner left all machines alone that had been ordered lately, for 3 s from its own takeover, and
    was rolled before that was over: for 10 s no machine moved, while a pool rose. An order that is still
    under way may be sent again until its owner is gone; that one counts from the takeover.

    When a machine's order has <ended>, and the fleet changes hands <times> times, <seconds> s apart
    Then its last owner leaves that machine alone for <rest> s

    Examples:
      | ended       | times | seconds | rest |
      | been done   | 1     | 1.0     | 2.3  |
      | been done   | 2     | 1.0     | 1.3  |
      | been done   | 3     | 2.0     | 0.0  |
      | no answer   | 1     | 1.0     | 3.3  |
      | no answer   | 2     | 1.0     | 2.3  |

  Scenario: A new owner of the fleet leaves only those machines alone that its predecessor ordered
    The fleet's owner dies with one machine of a wave down. Its successor must not order that machine
    within 3 s, as two holders would contradict each other; it counts as down meanwhile. All others
    are free to order. A pool in need would wait for 3 s for nothing.

    Given owners on a fake platform
    When the fleet's owner dies just after it has ordered one machine down, and others are due
    Then its successor has ordered another machine within 1 s of its takeover
    And no promise was broken
