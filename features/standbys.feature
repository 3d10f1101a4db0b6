Feature: small hosts stand by for larger ones
  Shards are dealt evenly among all hosts of a group, whatever their size. Small hosts therefore stay
  out of it while larger ones can own everything.

  Scenario Outline: Small hosts own shards only while larger ones can't: <trouble>
    A small host that owns a busy pool answers its callers late or not at all. It stands by while larger
    ones own everything, takes over when they are gone, and gives back once they have stayed for a while.
    Jobs go on meanwhile.

    Given owners on a fake platform
    When 12 jobs are handed in to hosts of which e3, e4 are small, with the trouble "<trouble>"
    Then all jobs have ended as completed
    And no promise was broken
    And shards were owned by <owners>

    Examples:
      | trouble                              | owners              |
      | none                                 | large               |
      | a large host is killed               | large               |
      | large hosts are killed               | large, small        |
      | large hosts are killed and come back | large, small, large |
      | all hosts are killed and come back   | large               |

  Scenario: A small host whose own link is full leaves the shards where they are
    A large configuration fills the link of a small host. Its calls of the owners get no answer. It would
    take them for dead, join, be dealt a busy pool and not be able to read it: no caller of that pool would
    get an answer. Its reads of the store are slow too, which tells it that its link may be the reason.

    Given owners on a fake platform
    When 12 jobs are handed in while the links of the small hosts e3, e4 are full
    Then all jobs have ended as completed
    And no promise was broken
    And no small host has joined the owners

  Scenario Outline: Hosts that are all small own shards among them, <count> of them
    No host is large enough, on a fleet of small ones. Each finds that nobody owns anything, and joins.

    Given owners on a fake platform
    When 6 jobs are handed in to <count> small hosts
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | count |
      | 1     |
      | 4     |
