Feature: small hosts stand by while larger hosts own all shards
  Shards are distributed evenly among all hosts of a group, whatever their size. Small hosts therefore
  stay out of the group while larger hosts can own all shards.

  Scenario Outline: Small hosts own shards only while larger hosts can't: <fault>
    A small host that owns a busy pool answers its callers late or not at all. It stands by while larger
    hosts own all shards, takes over when they are gone, and gives the shards back once the larger hosts
    have been up for a while. Jobs continue meanwhile.

    Given owners on a fake platform
    When 12 jobs are submitted to hosts of which e3, e4 are small, with the fault "<fault>"
    Then all jobs have ended as completed
    And no promise was broken
    And shards were owned by <owners>

    Examples:
      | fault                                | owners              |
      | none                                 | large               |
      | a large host is killed               | large               |
      | large hosts are killed               | large, small        |
      | large hosts are killed and come back | large, small, large |
      | all hosts are killed and come back   | large               |

  Scenario: A small host whose own link is full doesn't take over shards
    A large configuration fills the link of a small host, and its calls to the owners get no answer. If it
    took them for dead, it would join, be assigned a busy pool and be unable to read it, and no caller of
    that pool would get an answer. Its reads of the store are slow too, which shows that its own link may
    be the cause.

    Given owners on a fake platform
    When 12 jobs are submitted while the links of the small hosts e3, e4 are full
    Then all jobs have ended as completed
    And no promise was broken
    And no small host has joined the owners

  Scenario Outline: Small hosts own the shards where all hosts are small, with a count of <count>
    In a fleet of small hosts none is large enough. Each finds that no shard has an owner, and joins.

    Given owners on a fake platform
    When 6 jobs are submitted to <count> small hosts
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | count |
      | 1     |
      | 4     |
