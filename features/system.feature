Feature: daemons come and go under load, and callers are told the truth
  Real processes: one platform, two executors processes with three executors each, three daemons
  and a load of reads, single writes and writes with an Idempotency-Key, some sent twice at the same
  time through two entry hosts and all sent again with their key while their outcome is open. What
  callers were told is then compared with what the executors have on record.

  Background:
    Given the system runs 3 daemons

  Scenario: a daemon is killed
    A caller whose request was in flight on it sees its connection break and knows nothing. With its
    key it asks again elsewhere and gets either the kept answer or "may have run", never a second
    run, because the claim of the key stands on the log. New requests go to the other two.
    Given the system is under load
    When the system's daemon e1 is killed
    And the system goes on for 4 seconds
    And the system's load ends
    Then the system's callers are told only answered, broken, refused, unknown
    And the system keeps every promise
    And the system's keyed requests all end answered or unknown

  @patient
  Scenario: a daemon is stopped as planned
    No caller sees anything at all: the daemon first says that it isn't ready, goes on accepting
    until the balancer must have seen it, ends what is in flight, and only then closes connections
    that are idle. It ends with status 0.
    Given the system is under load
    When the system's daemon e2 is stopped
    And the system's load ends
    Then the system's daemon e2 has ended with status 0
    And the system's callers are told only answered
    And the system keeps every promise
    And the system's keyed requests all end answered

  Scenario: a daemon is frozen for six seconds and wakes
    Its callers get nothing until they give up, the balancer takes it out, its peers take it for
    gone, lent slots come back and its claims of keys are decided without it. When it wakes it must
    not send on what is too late, nor use slots that it no longer holds.
    Given the system is under load
    When the system's daemon e3 is frozen for 6 seconds
    And the system goes on for 3 seconds
    And the system's load ends
    Then the system's callers are told only answered, broken, refused, silent, unknown
    And the system keeps every promise
    And the system's executors never ran more than their slots

  @patient
  Scenario: all daemons are replaced one by one
    Each is stopped as planned, and one with nothing in memory is started in its place. No caller
    sees it, and when none of the first three is left the configuration is the one that was applied:
    it stands on the log, and a new daemon takes it from there or from a peer.
    Given the system is under load
    When the system's daemons are replaced one by one
    And the system's load ends
    Then the system's callers are told only answered
    And the system keeps every promise
    And the system's keyed requests all end answered
    And the system's configuration is the one applied, on every daemon

  Scenario: two operators publish different changes at the same time
    Both read the same configuration and publish a change of it through different entry hosts, while
    the log is slow. One wins by the log's order. The other's command ends with MG3000 and names what
    has changed, and nothing of its change is in force.
    When the system's operators race to set "max_jobs" to 7 through e1, 8 through e2
    Then one of the system's operators wins and the other is told MG3000 with "team/bench"
    And the system's configuration is the winner's, on every daemon
