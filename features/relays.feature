Feature: Peers pass on what the log holds

  Scenario Outline: a daemon whose calls to the log are <fault>, with relays <relays>
    One daemon's way to the log fails or hangs while the others' work. An operator's change is
    accepted through one of them; the daemon that is cut off must have it in force within seconds,
    stay fresh, and ask another peer when the first one hangs. Alone it must not claim so.
    Given a log with the daemons A, B, C
    And relays <relays>
    When the relayed daemon B is cut off by <fault> and 20 changes are written to A
    Then the relayed daemon B <result>

    Examples:
      | fault  | relays           | result                     |
      | down   | of A, B, C       | has all and stays fresh    |
      | silent | of A, B, C       | has all and stays fresh    |
      | silent | of A, B, C mute  | has all and stays fresh    |
      | silent | of A, C          | lacks some and gets stale  |

  Scenario Outline: a daemon starts from peers alone after <count> changes
    The log can't be reached from a new daemon. A peer gives it the records it still keeps, or
    its state in parts, and the new daemon is current.
    Given a log with the daemons A
    And on the log <count> changes
    And relays of A
    When the relayed daemon B starts without the log
    Then the relayed daemon B has all and stays fresh

    Examples:
      | count |
      | 20    |
      | 2300  |

  Scenario: all daemons are cut off from the log
    No daemon can read the log. What they pass on to each other is old; passing it round must not
    make it look fresh, or all would go on serving what may long have been changed.
    Given a log with the daemons A, B, C
    And relays of A, B, C
    When the log is out of reach of all daemons for 4 seconds
    Then no relayed daemon claims to be fresher than the outage

  Scenario: nothing is asked while all read the log
    Relays must cost nothing in ordinary times.
    Given a log with the daemons A, B, C
    And relays of A, B, C unhurried
    When 60 changes are written one by one to A
    Then the relayed daemons have hardly asked each other

  Scenario: all daemons are replaced one by one in an outage that outlasts retention
    While the log is down, every daemon is replaced by a new one that knows only its peers; when the
    log is back, all it kept has expired. What was accepted must still be in force, on the new
    daemons and on one that starts from the log alone, which they have written anew.
    Given a log with the daemons A, B
    And on the log 20 changes
    And relays of A, B
    When the log goes down and the relayed daemons A, B are replaced by C, D
    And the log comes back with nothing kept
    Then a relayed daemon A2 that starts from the log has the 20 changes
