Feature: A record that the store doesn't take holds up no other
  The store states how large a record and a call may be. One that is larger is refused however often it is sent.

  Scenario Outline: A record larger than <too large> is refused, <where>, and all others are stored
    The owner sent an append that was refused for good again and again. No other record of its partition was stored any
    more: no end of a task was acknowledged and no cancel answered, until the owner left.

    Given a shard's log with a <partition> partition alone, and a store that takes records of <taken> bytes
    When ten small records are written, one with <content> in the middle, and ten more later
    Then the twenty small records are stored, and their writers are told so
    And the writer of the other is told that it isn't stored, and a new reader doesn't find it
    And one log line tells its key, size and limit, and it is counted

    Examples:
      | too large            | where                     | partition | taken | content      |
      | the settings allow   | in the primary partition  | primary   | 4000  | 5000 bytes   |
      | the settings allow   | in the failover partition | failover  | 4000  | 5000 bytes   |
      | the store really takes | in the primary partition  | primary   | 2000  | 3000 bytes   |
      | its key may be       | in the primary partition  | primary   | 4000  | a key of 300 |
      | its key may be       | in the failover partition | failover  | 4000  | a key of 300 |

  Scenario: A record that only the failover partition doesn't take waits for the primary one
    A value carries a version in the failover partition, which makes it larger. The store states a limit that it doesn't
    keep to the byte; the record must hold up no other, and must not count as stored.

    Given a shard's log with a failover partition alone, and a store that takes records of 2000 bytes
    When ten small records are written, one with 3000 bytes in the middle, and ten more later
    Then the twenty small records are stored, and their writers are told so
    And the writer of the other isn't told anything yet

  Scenario: A value that fits again after one that didn't is stored
    Given a shard's log with a primary partition alone, and a store that takes records of 4000 bytes
    When a key is written with 100, with 5000 and with 200 bytes
    Then the three writes are stored, not stored and stored
    And the key counts as pending only between the last two

  Scenario Outline: Records that are written at once go out in calls that the store takes, <where>
    The largest call was a constant. Where a store takes less, an append of many records was refused again and again.

    Given a shard's log with a <partition> partition alone, and a store that takes calls of 20000 bytes
    When 100 records of 1000 bytes are written at once
    Then all of them are stored, and no call was refused
    And once the primary partition is there too, the failover partition is empty, and no call was refused

    Examples:
      | where                     | partition |
      | in the primary partition  | primary   |
      | in the failover partition | failover  |

  Scenario: Paths that are taken at once are listed in calls that the store takes
    When a shard takes 300 paths at once from a store that takes calls of 2000 bytes
    Then the list has all of them, and no call was refused

  Scenario Outline: The settings state what the store takes: <stated>
    When a process is told by its settings that the store takes <stated>
    Then its owners write records of <record> and calls of <request> bytes at most

    Examples:
      | stated                       | record | request |
      | neither                      | 262144 | 1000000 |
      | records of 1000              | 1000   | 1000000 |
      | calls of 5000                | 262144 | 5000    |
      | records of 700, calls of 900 | 700    | 900     |

  Scenario Outline: The store's answer <status> to an append <meaning>
    Then an append that the store answers with <status> counts as <outcome>

    Examples:
      | status | meaning                                | outcome  |
      | 400    | is the same for each repeat            | Rejected |
      | 413    | is the same for each repeat            | Rejected |
      | 403    | may be another in a moment             | Refused  |
      | 429    | may be another in a moment             | Refused  |
      | 500    | may be another in a moment             | Refused  |
      | 503    | may be another in a moment             | Refused  |
      | 507    | may be another once records have ended | Refused  |
