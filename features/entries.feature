Feature: Records that can't be read affect nothing else
  Other programs write to the store, too, without any check. The list of executors, the operator's
  records, machines and our own records are decoded with checks of types, ranges and state names.

  Scenario: A valid executor's entry
    Then an executor's entry with nothing changed names the executor

  Scenario Outline: An executor's entry with <field> <change> is rejected
    Otherwise tasks would wait for an executor without capacity or address, or go to a leaving one.

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
      | born        | "soon"                |
      | born        | -1                    |
      | born        | 1700000000000.5       |
      | born        | true                  |
      | born        | 9007199254740992      |

  Scenario Outline: An executor with the capacity <capacity> is known, and holds <held>
    Guards against using the former capacity of an executor that now reports none.

    Then an executor's entry with the capacity <capacity> holds <held>

    Examples:
      | capacity                        | held        |
      | {"cpu":0,"memMb":0,"gpu":0}     | nothing     |
      | {"cpu":0,"memMb":1}             | nothing     |
      | {"cpu":500,"memMb":0,"gpu":0}   | nothing     |
      | {"cpu":500,"memMb":512,"gpu":0} | a half core |

  Scenario Outline: An entry that is <bytes> is rejected
    Then an entry that is <bytes> is invalid

    Examples:
      | bytes           |
      | not JSON        |
      | cut off         |
      | not in UTF-8    |
      | a list          |
      | null            |
      | a number        |
      | of an unknown start |

  Scenario: Drawn entries are decoded correctly, or not at all
    Then drawn entries are decoded correctly, or are invalid

  Scenario: A list of executors with bad entries among good ones
    Another writer adds entries that can't be read, and repeats them. The other executors are used,
    while each bad entry is logged once, however often it is written.

    When a list holds good entries, and bad ones that are written 20 times
    Then the good ones are known, and each bad one is logged once

  Scenario: Records of the store whose key can't be read
    When a read of the store has a key not in UTF-8, a key beyond its record, and a truncated answer
    Then the other records are read, and the next read begins at the truncated one

  Scenario: A page of newest records with items that can't be read
    When a page of newest records has an item without a key, and one whose value isn't in base64
    Then the other records are read, and the one with a key is passed on unchanged

  Scenario: An executor whose entry is overwritten keeps its runs, and gets no new ones
    While jobs run, another writer overwrites the entries of all executors with bytes that can't be
    read, and no executor rewrites its entry for a while. Running tasks continue under their leases.
    Nothing is started anywhere until an executor's own entry is back. If the executors were treated
    as gone, their tasks would run twice.

    When all entries are overwritten for 6 s while jobs run, and a job is submitted
    Then running tasks have continued, and nothing was started until the entries were back
    And no promise was broken

  Scenario Outline: A new owner finds a record of its shard that can't be read: <record>
    The owner dies, and the store has a record that its successor can't decode. The other jobs end.

    When an owner dies and the record of <record> can't be read
    Then all other jobs have ended as completed, and nothing of the job has run twice
    And the unreadable record is logged

    Examples:
      | record                    |
      | a job                     |
      | a job's progress          |
      | an executor               |
      | who owned the shard       |
      | what the fleet has learned |
      | the pools' last demand    |
      | orders to machines        |

  Scenario: A machine whose row can't be read isn't treated as gone
    The list of machines lacks the row of one whose executor runs tasks. Its runs continue;
    otherwise the executor would be declared gone, and its tasks started elsewhere at the same time.

    When a machine's row can't be read for 8 s while its executor runs jobs
    Then all jobs have ended as completed
    And no promise was broken
    And no executor was declared gone
