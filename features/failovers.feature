Feature: A shard uses its failover partition while its primary partition is unavailable
  The store may reject requests for some partitions while it serves the others. A shard's records then go to its
  failover partition, and to the primary one as well once that accepts them again.

  Scenario: Owners join, leave, freeze and die while either partition fails
    At any time, partitions reject requests, answers are lost and appends arrive late. The next owner must read each
    record that was reported as stored, with its newest value, and none that was reported as not stored.

    Then no random simulation of owners and two failing partitions loses, mixes or invents a value

  Scenario Outline: The simulations detect an owner that <fault>
    Then a simulation detects an owner that <fault>

    Examples:
      | fault                                        |
      | reads the primary partition only             |
      | doesn't fence the failover partition         |
      | writes values without versions               |
      | diverts before its owner record is stored    |
      | diverts after its last owner record          |
      | clears keys that the primary partition lacks |
      | reports a diverted record as not stored      |

  Scenario Outline: Primary and failover partition of a shard are far apart: <shards> shards
    Then each of <shards> shards has a failover partition of its own, far from its primary partition

    Examples:
      | shards |
      | 2      |
      | 12     |
      | 24     |
      | 1000   |

  Scenario: Jobs of a queue are accepted and completed while its primary partition rejects requests
    The store rejected requests for some partitions while it served 21 of 24. The owner of a shard whose primary
    partition was among the rejected ones refused callers of one kind of request for 6 s, although it was healthy and
    executors were free.

    Given owners on a fake platform
    And the store rejects requests for the primary partition of the pool's queues
    When 6 short jobs are submitted, and the store recovers 5 s later
    Then all are accepted, and shown as completed before the store recovers
    And the next owner shows all of them as completed
    And no promise was broken

  Scenario: Jobs of a queue are refused while both its partitions reject requests
    Given owners on a fake platform
    And the store rejects requests for both partitions of the pool's queues
    When 6 short jobs are submitted, and the store recovers 5 s later
    Then all are refused as not run
    And no promise was broken
