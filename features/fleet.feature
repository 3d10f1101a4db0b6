Feature: orders to machines end no work that goes on
  The fleet's owner tells the owners of pools which executors its orders have ended, so that their
  tasks are started elsewhere at once. If such a report is wrong, tasks run twice.

  Scenario: A repeated order for maintenance ends no tasks
    Guards against a caller's job that runs twice. The fleet's owner dies after a machine's maintenance
    was carried out and before that is recorded. Its successor empties the machine and repeats the order;
    the answer is "done", though nothing happens. A new owner of the pool starts tasks on that machine just
    then, and was told by the fleet's owner that they had ended. Nor may the machine count as away for good,
    as the wave allows only one machine to be away.

    Given owners on a fake platform
    When a wave's machine has had its maintenance, and the owners of fleet and pool die in turn
    Then the machine was ordered down once more than it went down
    And all jobs have ended as completed
    And no promise was broken
    And each executor of the pool is used by its owner
    And the whole wave has had its maintenance

  Scenario: A report that an executor has ended is ignored while the executor answers
    The fleet's owner reports an executor as ended that still answers its pool's owner. Its tasks go on
    there, and must not be started a second time.

    Given owners on a fake platform
    When a pool's owner is told that an executor that runs tasks has ended
    Then all jobs have ended as completed
    And no promise was broken
    And each task has run once

  Scenario: An executor whose machine is ordered down stays closed until it is said to have ended
    Guards against starts on an executor that was just ordered away: it counted as open from the
    answer to the order until the list of machines showed its end, some 0.4 s.

    When a wave's machine has its maintenance, and each request to its pool's owner is noted
    Then from the first request that closes the executor on, each closes it, and the last say that it has ended

  Scenario Outline: Lasting tasks of a pool without spare machines move in time for a wave: <left> s before its end
    A pool has work for all its machines during most of a wave. Its machines were left alone until the
    wave's last rounds. Lasting tasks move one after another, so those on the wave's machines had moved
    only after its end, and the operator's maintenance was late.

    When a wave is due in <left> s for <due> of the 10 machines of a pool with lasting tasks and no spare machine
    Then <closed> of its machines are being emptied

    Examples:
      | left | due | closed |
      | 30   | 5   | 0      |
      | 19   | 5   | 1      |
      | 19   | 2   | 0      |
      | 6    | 2   | 2      |

  Scenario Outline: <due> of <size> machines with lasting tasks are due in 28 s, and <closed> are emptied at once
    A wave emptied machines with lasting tasks one after another, which takes some 3 s for each task. With 8 of
    them in each pool, the last was due for maintenance 4 s after the wave's end, and the operator's work waited.

    When a wave is due in 28 s for <due> of the <size> machines of a pool with lasting tasks and no spare machine
    Then <closed> of its machines are being emptied

    Examples: enough to be done in time, and no more
      | size | due | closed |
      | 30   | 8   | 1      |
      | 30   | 20  | 2      |
      | 150  | 40  | 5      |
      | 900  | 150 | 19     |

  Scenario Outline: <machine> is ordered <ordered> while the store takes <record> s to record it
    A pool's demand rises while the store is slow. Each order was given up because recording it took too
    long, and was made again a second later: ten idle machines stayed on standby for 4 s, and the pool's
    jobs were late. A machine that nothing can run on stays empty meanwhile. One with an executor may not,
    so its pool has to report it as empty again.

    When the order of <machine> is recorded after <record> s
    Then it is ordered <ordered>

    Examples:
      | machine                                           | record | ordered |
      | a standby machine                                 | 0.0    | once    |
      | a standby machine                                 | 0.8    | once    |
      | a machine at work                                 | 0.0    | once    |
      | a machine at work                                 | 0.8    | never   |
      | a machine that its pool reports as empty          | 0.8    | once    |
      | a machine that its pool reported as empty 2 s ago | 0.8    | never   |
      | a machine that runs a task by then                | 0.8    | never   |

  Scenario Outline: Orders to a machine are held back for a time since its last order, not since each takeover
    All daemons are restarted in turn, and the fleet's owner changes every second or two. Each new owner
    held back orders to all recently ordered machines for 3 s from its own takeover, and was restarted
    before that was over: for 10 s no machine moved, while a pool's demand rose. An order that is still
    under way may be sent again until its owner is gone, so its time counts from the takeover.

    When a machine's order <outcome>, and the fleet's owner changes <times> times, <seconds> s apart
    Then the last owner holds back orders to that machine for <wait> s

    Examples:
      | outcome         | times | seconds | wait |
      | was carried out | 1     | 1.0     | 2.3  |
      | was carried out | 2     | 1.0     | 1.3  |
      | was carried out | 3     | 2.0     | 0.0  |
      | got no answer   | 1     | 1.0     | 3.3  |
      | got no answer   | 2     | 1.0     | 2.3  |

  Scenario: A new owner of the fleet holds back orders only to machines that its predecessor ordered
    The fleet's owner dies while one machine of a wave is down. Its successor must not order that machine
    within 3 s, as two holders would contradict each other; the machine counts as down meanwhile. All others
    can be ordered at once. Otherwise a pool that lacks machines would wait for 3 s without need.

    Given owners on a fake platform
    When the fleet's owner dies just after it has ordered one machine down, and others are due
    Then its successor has ordered another machine within 1 s of its takeover
    And no promise was broken
