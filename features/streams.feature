Feature: The log through outages, lost answers and retention

  Scenario Outline: writing while the log is <fault>
    Operators write through two daemons while the platform's log fails for a second and a half:
    calls are refused, hang, are slower than their time-out, or take effect while the answer is
    lost, so that records are appended again under the same id. Each operator must hear of
    exactly one accepted version, the one that is in force.
    Given a log with the daemons A, B
    When the log is <fault> while 30 operators write to A and B without <safeguard>
    Then the log's writers hear that <result>

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
    The operator's time runs out while the log fails. What is told must be true: "nothing was
    written" only if it can never take effect, else that it may have. Nothing that was given up
    may be appended after the outage.
    Given a log with the daemons A, B
    When the log is <fault> and an operator gives a write to A 1.2 seconds
    Then the log tells the operator <code>, and <effect> after the outage

    Examples:
      | fault                | code | effect             |
      | down POST            | 5000 | it is not in force |
      | silent POST          | 5001 | it is not in force |
      | lost POST + down GET | 5001 | it is in force     |

  Scenario Outline: a call of <what> goes out while no thread of the process is free
    Guards against calls to IP numbers that wait for a thread to look the number up.

    Given a log with the daemons A, B
    When <what> calls the platform while the process's threads are taken
    Then that call was answered

    Examples:
      | what       |
      | the log    |
      | a command  |

  Scenario: two operators race
    Two operators change the same key on the same version through two daemons at the same moment.
    The log puts one first; the other must be told which key has changed, on both daemons alike.
    Given a log with the daemons A, B
    When on the log A and B race for one key 20 times
    Then the log's race has one winner each time and the other is told what changed

  Scenario Outline: a daemon cut off from the log by <fault>, with <what> from a peer
    One daemon's calls to the log fail or hang while another's work. Records that the peer passes
    on keep it current, gaps are filled from what the peer keeps; with nothing passed on it must
    not claim to be fresh.
    Given a log with the daemons A, B
    When the daemon B is cut off from the log by <fault>, and A passes on <what>
    Then the cut off daemon B has folded what A has and knows that it is <freshness>

    Examples:
      | fault  | what               | freshness |
      | down   | each record        | fresh     |
      | silent | each record        | fresh     |
      | silent | every other record | fresh     |
      | silent | nothing            | not fresh |

  Scenario Outline: starting after a checkpoint when <what>
    A new daemon finds the newest whole checkpoint and folds the log's tail on it. One that its
    writer left half written is passed over.
    Given a log with the daemons A
    And on the log 300 changes
    When the log has a whole checkpoint and <what>
    And the daemon B starts from the log
    Then the started daemon B agrees with A

    Examples:
      | what                             |
      | all records are kept             |
      | its older records expire         |
      | another daemon's is half written |

  Scenario Outline: starting from <source>
    A daemon starts while the log can't be reached. From a peer's snapshot it is current; without
    a peer it can't know what is in force and must say so.
    Given a log with the daemons A
    And on the log 20 changes
    When the daemon B starts from <source>
    Then the started daemon B <result>

    Examples:
      | source                       | result                     |
      | the log                      | agrees with A              |
      | a peer while the log is down | agrees with A              |
      | neither                      | is not current, which 5000 |

  Scenario Outline: an outage longer than retention, without <safeguard>
    The log is down until all it kept has expired. Daemons still hold what is in force; unless one
    of them publishes it again, a daemon that starts afterwards finds nothing, and when the last
    of the old ones is replaced the configuration is gone.
    Given a log with the daemons A, B
    And on the log 20 changes
    When an outage outlasts the log's retention without <safeguard>
    And the daemon C starts from the log
    Then the started daemon C <result>

    Examples:
      | safeguard   | result                     |
      | none        | agrees with A              |
      | checkpoints | is not current, which 5002 |

  Scenario: two daemons write checkpoints at once
    After an outage two daemons may both publish what is in force. Their chunks mix on the stream;
    a new daemon must start from one of them and nothing may change.
    Given a log with the daemons A, B
    And on the log 20 changes
    When the daemons A and B write checkpoints at once
    And the daemon C starts from the log
    Then the started daemon C agrees with A

  Scenario: a record of a newer daemon
    During a rolling replacement a newer daemon writes a record whose rules this one doesn't know.
    Were it skipped or guessed at, old and new daemons would differ for good. So it stops there,
    says that it isn't current, and waits to be replaced.
    Given a log with the daemons A, B
    And on the log 5 changes
    When a record that needs newer rules comes onto the log
    Then the log's readers A and B stop before it and say 3004
    And the log of A turns down a snapshot that was folded with newer rules

  Scenario: a log that lost records
    The platform comes back with an empty log. New records would be decided on other grounds than
    the ones folded; the daemon must refuse to go on.
    Given a log with the daemons A
    And on the log 5 changes
    When the platform loses its log
    Then the started daemon A has stopped, which 5007

  Scenario: the budget of appends
    Background work queues hundreds of records. The budget of appends must hold, and an operator's
    change must not wait behind them.
    Given a log with the daemons A
    When 60 background writes and then an operator's use a budget of 20 appends
    Then the budget of appends holds and the operator's goes ahead

  Scenario Outline: thousands of records made at one moment, with seen taken <when>
    A wave of cancellations queues more records than the fold remembers ids. Each record tells how
    many its writer had folded; told when it is made, the last of them would be turned down as too
    old although nobody ever appended them before.
    Given a log with the daemons A, B
    When on the log 1500 changes are made at one moment with seen taken <when>
    Then the log's writers hear that <result>

    Examples:
      | when                  | result               |
      | at the first append   | all are accepted     |
      | when they are made    | not all are accepted |

  Scenario: one record of a batch that the log refuses
    The log refuses a whole append for one record that it won't take. Its writer must be told, and
    the others, who only shared the batch, must not wait or fail with it.
    Given a log with the daemons A
    When the log refuses 1 of 20 changes written at once
    Then the log's writers of the other 19 are told accepted and one MG5003
