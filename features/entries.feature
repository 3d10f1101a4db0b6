Feature: Records that can't be read cost themselves only
  Others write to the store, too, and nobody checks what they write. The list of executors, the operator's
  records, machines and our own records are each decoded by type, range and named states.

  Scenario: An executor's entry as it should be
    Then an executor's entry with nothing changed names the executor

  Scenario Outline: An executor's entry with <field> <change> names no executor
    Tasks would wait for an executor that has no room or no address, or be sent to one that leaves.

    Then an executor's entry with <field> <change> is invalid

    Examples:
      | field       | change                |
      | service     | left out              |
      | service     | ""                    |
      | service     | 7                     |
      | service     | null                  |
      | addr        | left out              |
      | addr        | ""                    |
      | addr        | "nonsense"            |
      | addr        | "10.1.0.9"            |
      | addr        | "10.1.0.9:"           |
      | addr        | "10.1.0.9:0"          |
      | addr        | "10.1.0.9:99999"      |
      | addr        | "10.1.0.9:-1"         |
      | addr        | "10.1.0.9:80 "        |
      | addr        | "10.1.0:80"           |
      | addr        | "host.example:80"     |
      | addr        | ":80"                 |
      | addr        | ["10.1.0.9:80"]       |
      | zone        | left out              |
      | zone        | 3                     |
      | version     | left out              |
      | version     | 1                     |
      | slots       | left out              |
      | slots       | "8"                   |
      | slots       | -1                    |
      | state       | left out              |
      | state       | "broken"              |
      | state       | ""                    |
      | state       | "READY"               |
      | state       | true                  |
      | coldLeftMs  | left out              |
      | coldLeftMs  | "0"                   |
      | coldLeftMs  | -5                    |
      | seq         | left out              |
      | seq         | 1.5                   |
      | capacity    | left out              |
      | capacity    | null                  |
      | capacity    | {}                    |
      | capacity    | "much"                |
      | capacity    | {"cpu":-5,"memMb":1}  |
      | capacity    | {"cpu":"5","memMb":1} |
      | capacity    | {"cpu":5}             |
      | capacity    | {"cpu":5,"memMb":-1}  |
      | capacity    | {"cpu":5,"memMb":1,"gpu":-1} |
      | labels      | left out              |
      | labels      | "a"                   |
      | labels      | [1]                   |
      | machine     | 5                     |
      | remainingMs | "soon"                |
      | remainingMs | -1                    |

  Scenario Outline: An executor with the capacity <capacity> is known, and holds <held>
    Guards against an executor that has shrunk to nothing and is used by its capacity of before.

    Then an executor's entry with the capacity <capacity> holds <held>

    Examples:
      | capacity                        | held        |
      | {"cpu":0,"memMb":0,"gpu":0}     | nothing     |
      | {"cpu":0,"memMb":1}             | nothing     |
      | {"cpu":500,"memMb":0,"gpu":0}   | nothing     |
      | {"cpu":500,"memMb":512,"gpu":0} | a half core |

  Scenario Outline: An entry that is <bytes> names no executor
    Then an entry that is <bytes> is invalid

    Examples:
      | bytes           |
      | nothing in JSON |
      | cut off         |
      | not in UTF-8    |
      | a list          |
      | null            |
      | a number        |

  Scenario: Drawn entries are read as they are meant, or not at all
    Then drawn entries are read as they are meant, or are invalid

  Scenario: A list of executors with bad entries among good ones
    Another writer adds entries that can't be read, and repeats them. The executors beside them are used;
    one line tells of each bad entry, however often it is written.

    When a list holds good entries, and bad ones that are written 20 times
    Then the good ones are known, and a line tells of each bad one

  Scenario: Records of the store without a key that can be read
    When a read of the store has a key in no encoding, a key beyond its record, and an answer cut short
    Then the other records are read, and the next read begins at the one that was cut short

  Scenario: A page of newest records with items that can't be read
    When a page of newest records has an item without a key, and one whose value isn't in base64
    Then the other records are read, and the one with a key is passed on as it stands

  Scenario: An executor whose entry is overwritten keeps what it runs, and gets nothing new
    The caller's jobs run. Another writer puts what can't be read over every executor's entry, and no
    executor writes again for a while. What runs goes on under its leases; nothing is started, here or
    elsewhere, until an executor's own entry is back. Taken for gone, its tasks would run twice.

    When all entries are overwritten for 6 s while jobs run, and a job is handed in
    Then what ran has gone on, and nothing was started until the entries were back
    And no promise was broken

  Scenario Outline: A new owner finds a record of ours that can't be read: <record>
    The owner dies, and the store holds a record that its successor can't decode. The other jobs end.

    When an owner dies and the record of <record> can't be read
    Then all other jobs have ended as completed, and nothing of the job has run twice
    And a line tells of the record

    Examples:
      | record                    |
      | a job                     |
      | a job's progress          |
      | an executor               |
      | who owned the shard       |
      | what the fleet has learned |
      | orders to machines        |

  Scenario: A machine's row that can't be read is no machine that is gone
    The list of machines has lost the row of one whose executor works. Its runs go on: an executor that no
    machine names would be given up, and its tasks started elsewhere beside it.

    When a machine's row can't be read for 8 s while its executor runs jobs
    Then all jobs have ended as completed
    And no promise was broken
    And no executor was given up
