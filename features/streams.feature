Feature: The log during outages, lost answers and retention

  Scenario Outline: writing while the log is <fault>
    Operators write through two daemons while the platform's log fails for a second and a half:
    calls are refused, hang, are slower than their time-out, or take effect while the answer is
    lost, so that records are appended again with the same id. Each operator must be told exactly
    one accepted version, the one that is in force.
    Given a log with the daemons A, B
    When the log is <fault> while 30 operators write to A and B without <safeguard>
    Then the log's writers are told that <result>

    Examples:
      | fault                | safeguard       | result               |
      | down                 | none            | all are accepted     |
      | silent               | none            | all are accepted     |
      | silent GET           | none            | all are accepted     |
      | slow POST            | none            | all are accepted     |
      | lost POST            | none            | all are accepted     |
      | doubled POST         | none            | all are accepted     |
      | lost POST + down GET | none            | all are accepted     |
      | down                 | appending again | not all are accepted |
      | silent               | appending again | not all are accepted |

  Scenario Outline: an outage longer than the operator waits, log <fault>
    The operator's write times out while the log fails. The error must be true: "nothing was
    written" only if the write can never take effect, else that it may have. A write that timed
    out must not be appended after the outage.
    Given a log with the daemons A, B
    When the log is <fault> and an operator's write to A times out after 1.2 seconds
    Then the log returns <code> to the operator, and <effect> after the outage

    Examples:
      | fault                | code | effect             |
      | down POST            | 5000 | it is not in force |
      | silent POST          | 5001 | it is not in force |
      | lost POST + down GET | 5001 | it is in force     |

  Scenario Outline: a call of <what> is sent while no thread of the process is free
    Guards against calls to IP addresses that wait for a thread to resolve the address.

    Given a log with the daemons A, B
    When <what> calls the platform while the process's threads are busy
    Then that call was answered

    Examples:
      | what       |
      | the log    |
      | a command  |

  Scenario: two operators race
    Two operators change the same version of a key through two daemons at the same moment. The log
    orders one first; the other must be told which key has changed, on both daemons alike.
    Given a log with the daemons A, B
    When on the log A and B race for one key 20 times
    Then the log accepts one write of each race and the other is told what changed

  Scenario Outline: a daemon isolated from the log by <fault>, with <what> from a peer
    One daemon's calls to the log fail or hang while another's work. Records that the peer relays
    keep it current, and gaps are filled from the records that the peer keeps; if nothing is
    relayed, it must not claim to be fresh.
    Given a log with the daemons A, B
    When the daemon B is isolated from the log by <fault>, and A relays <what>
    Then the isolated daemon B has folded what A has and reports that it is <freshness>

    Examples:
      | fault  | what               | freshness |
      | down   | each record        | fresh     |
      | silent | each record        | fresh     |
      | silent | every other record | fresh     |
      | silent | nothing            | not fresh |

  Scenario Outline: starting after a checkpoint when <what>
    A new daemon finds the newest complete checkpoint and folds the log's tail onto it. A partly
    written checkpoint is skipped.
    Given a log with the daemons A
    And on the log 300 changes
    When the log has a complete checkpoint and <what>
    And the daemon B starts from the log
    Then the started daemon B agrees with A

    Examples:
      | what                               |
      | all records are kept               |
      | its older records expire           |
      | another daemon's is partly written |

  Scenario Outline: starting from <source>
    A daemon starts while the log is unreachable. A peer's snapshot makes it current; without a
    peer it can't know what is in force and must report that.
    Given a log with the daemons A
    And on the log 20 changes
    When the daemon B starts from <source>
    Then the started daemon B <result>

    Examples:
      | source                       | result                         |
      | the log                      | agrees with A                  |
      | a peer while the log is down | agrees with A                  |
      | neither                      | is not current, with code 5000 |

  Scenario Outline: an outage longer than retention, without <safeguard>
    The log is down until all its records have expired. Daemons still hold what is in force; unless
    one of them publishes it again, a daemon that starts later finds nothing, and the configuration
    is lost once the last of the old daemons is replaced.
    Given a log with the daemons A, B
    And on the log 20 changes
    When an outage outlasts the log's retention without <safeguard>
    And the daemon C starts from the log
    Then the started daemon C <result>

    Examples:
      | safeguard   | result                         |
      | none        | agrees with A                  |
      | checkpoints | is not current, with code 5002 |

  Scenario: two daemons write checkpoints at once
    After an outage two daemons may both publish what is in force. Their chunks interleave on the
    stream; a new daemon must start from one checkpoint and nothing may change.
    Given a log with the daemons A, B
    And on the log 20 changes
    When the daemons A and B write checkpoints at once
    And the daemon C starts from the log
    Then the started daemon C agrees with A

  Scenario: a record of a newer daemon
    During a rolling replacement a newer daemon writes a record whose rules an older one doesn't
    know. If the record were skipped or folded by old rules, their states would differ permanently.
    So the older one stops there, reports that it isn't current, and waits to be replaced.
    Given a log with the daemons A, B
    And on the log 5 changes
    When a record that needs newer rules is appended to the log
    Then the log's readers A and B stop before it and report 3004
    And the log of A rejects a snapshot that was folded with newer rules

  Scenario: a log that lost records
    The platform restarts with an empty log. New records don't build on the daemon's folded state,
    so the daemon must stop.
    Given a log with the daemons A
    And on the log 5 changes
    When the platform loses its log
    Then the started daemon A has stopped, with code 5007

  Scenario: the budget of appends
    Background work queues many records. The budget of appends must hold, and an operator's change
    must not wait behind them.
    Given a log with the daemons A
    When 60 background writes and then an operator's use a budget of 20 appends
    Then the budget of appends holds and the operator's write is prioritized

  Scenario Outline: thousands of records created at once, with seen set <when>
    A burst of cancellations queues more records than the fold remembers ids. In ``seen`` each
    record has the number of records that its writer had folded; if that were set on creation, the
    last records would be rejected as too old although they had never been appended before.
    Given a log with the daemons A, B
    When on the log 1500 changes are created at once with seen set <when>
    Then the log's writers are told that <result>

    Examples:
      | when                | result               |
      | at the first append | all are accepted     |
      | on creation         | not all are accepted |

  Scenario: one record of a batch that the log refuses
    The log refuses a whole append because of one record. Its writer must be told, and the writers
    of other records in the batch must not wait or fail with it.
    Given a log with the daemons A
    When the log refuses 1 of 20 changes written at once
    Then the log's writers of the other 19 are told accepted and one MG5003
