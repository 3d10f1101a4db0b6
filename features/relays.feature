Feature: Peers relay log records

  Scenario Outline: a daemon whose calls to the log are <fault>, with relays <relays>
    One daemon's calls to the log fail or get no answer, while those of the others succeed. An
    operator's change is accepted through another daemon; the one that is cut off must apply it
    within seconds, stay fresh, and ask another peer if the first one is unresponsive. Without peers
    it must report that it is stale.
    Given a log with the daemons A, B, C
    And relays <relays>
    When the relayed daemon B is cut off by <fault> and 20 changes are written to A
    Then the relayed daemon B <result>

    Examples:
      | fault  | relays                         | result                          |
      | down   | of A, B, C                     | has all records and stays fresh |
      | silent | of A, B, C                     | has all records and stays fresh |
      | silent | of A, B, C with C unresponsive | has all records and stays fresh |
      | silent | of A, C                        | lacks records and becomes stale |

  Scenario Outline: a daemon starts from peers alone after <count> changes
    A new daemon can't reach the log. A peer sends it the records that it still has, or its state
    in parts, and the new daemon is current.
    Given a log with the daemons A
    And on the log <count> changes
    And relays of A
    When the relayed daemon B starts without the log
    Then the relayed daemon B has all records and stays fresh

    Examples:
      | count |
      | 20    |
      | 2300  |

  Scenario: all daemons are cut off from the log
    No daemon can read the log. The records that they relay to each other are old; relaying must not
    make them look fresh, or all daemons would keep using values that may have changed long ago.
    Given a log with the daemons A, B, C
    And relays of A, B, C
    When no daemon can reach the log for 4 seconds
    Then no relayed daemon claims to be fresher than the outage

  Scenario: daemons don't ask each other while all read the log
    Relays must cost nothing in normal operation.
    Given a log with the daemons A, B, C
    And relays of A, B, C with a long staleness limit
    When 60 changes are written one by one to A
    Then the relayed daemons have hardly asked each other

  Scenario: all daemons are replaced one by one in an outage that outlasts retention
    While the log is down, every daemon is replaced by a new one that can only reach its peers; when
    the log is back, all its records have expired. Accepted changes must still be in force on the
    new daemons, and on one that starts only from the log, which the new daemons have written again.
    Given a log with the daemons A, B
    And on the log 20 changes
    And relays of A, B
    When the log goes down and the relayed daemons A, B are replaced by C, D
    And the log comes back without its records
    Then a relayed daemon A2 that starts from the log has the 20 changes
