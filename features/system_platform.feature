Feature: the platform fails under load, and callers are told the truth
  As in system.feature, with faults of the platform's log, hosts and racks. Requests don't depend on
  the platform while executors are known; only what must be written down waits or is refused.

  Background:
    Given the system runs 3 daemons

  Scenario: the log is down for eight seconds
    Reads and single writes go on, as no decision about them stands on the log. A write with a new
    key can't be shown to run once, so it is refused as not run, with a time to come back, and is
    answered when it is sent again after the log has come back.
    Given the system is under load
    When the system's log is down for 8 seconds
    And the system goes on for 3 seconds
    And the system's load ends
    Then the system's callers are told only answered, refused
    And the system keeps every promise
    And the system's unkeyed requests are all answered
    And the system's keyed requests all end answered

  Scenario: the platform answers slowly
    Each call takes a second and a half, less than its time limit. Claims of keys get their verdict
    late and some are refused; everything else goes on as it was.
    Given the system is under load
    When the system's platform is slow by 1.5 seconds for 6 seconds
    And the system goes on for 3 seconds
    And the system's load ends
    Then the system's callers are told only answered, refused
    And the system keeps every promise
    And the system's unkeyed requests are all answered

  Scenario: answers of the log are lost after their effect
    Every third answer to an append breaks off after the record was stored. Whoever wrote it finds
    it on the log by its id instead of writing it as new: no key is claimed twice, none is lost.
    Given the system is under load
    When the system's log loses 30 percent of its answers for 6 seconds
    And the system's load ends
    Then the system's callers are told only answered, refused
    And the system keeps every promise

  Scenario: a configuration is in force on a daemon that is cut off from the log
    One daemon's connections to the platform go silent, so that its long poll hangs without an
    error. Records reach it from its peers: what is applied elsewhere is in force there in seconds.
    Given the system's daemon e4 has a way of its own to the platform
    When the system's way of e4 to the platform goes silent
    And the system's "max_jobs" is set to 9 through e1
    Then the system's "max_jobs" is 9 on every daemon within 7 seconds

  Scenario: a rack loses power
    Two of six executors vanish at once with what they were running: single writes in flight there
    may have run and are told so, reads run elsewhere. The budget of three hosts holds. When power
    comes back, the executors get work again.
    Given the system is under load
    When the system's rack dc0-r0 loses power for 5 seconds
    And the system goes on for 3 seconds
    And the system's load ends
    Then the system's callers are told only answered, refused, unknown
    And the system keeps every promise

  Scenario: a maintenance wave goes over a rack
    Each host is drained, is empty, is rebooted and comes back, and callers see nothing of it. At no
    moment has the service fewer hosts than its budget, and no reboot cuts anything off.
    Given the system is under load
    When the system's wave over rack dc0-r0 runs to its end
    And the system's load ends
    Then the system's callers are told only answered
    And the system keeps every promise
    And the system's keyed requests all end answered
    And the system's hosts of rack dc0-r0 have each been rebooted once

  Scenario: the daemon that drives a wave is killed and the others finish it
    The wave stands on the log and each step is idempotent by its operation's id, so whoever steps
    in asks the platform what was done. Each host is rebooted once, not once for each daemon.
    When the system's wave over rack dc0-r0 has begun
    And the system's daemon e1 is killed
    And the system's wave comes to its end
    Then the system's hosts of rack dc0-r0 have each been rebooted once
    And the system keeps every promise
