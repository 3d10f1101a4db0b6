Feature: Every host is maintained in time, a few hosts at once, and only after it is drained

  Scenario Outline: Waves maintain the whole fleet with the fewest hosts out and few moves
    Given waves a running fleet of <user> with <spare> spare hosts that survives a <domain>
    When waves an operator starts a wave over all hosts and it runs to its end
    Then waves every host was rebooted once, empty, and at most <out> were out at once
    And waves no budget was breached and at most <moves> moves were made

    Examples:
      | user       | spare | domain      | out | moves |
      | thekkady   | 2     | rack        | 1   | 6     |
      | thekkady   | 10    | data_center | 1   | 12    |
      | federation | 4     | rack        | 1   | 6     |
      | federation | 8     | data_center | 1   | 11    |

  Scenario: Waves maintain every host within the period without an operator
    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves three maintenance periods of 2 days pass
    Then waves no host ever went without maintenance for longer than the period
    And waves no budget was breached and at most 30 moves were made

  Scenario: Waves pause when a failure uses up the margin, and resume by themselves
    A host is being drained when another host of its service fails and no spare host is left. If the
    wave continued, the next failure would leave callers with too few executors. The drain is undone
    at once, and the wave reports why it waits and continues when the failed host is back.

    Given waves a running fleet of thekkady with 0 spare hosts that survives a rack
    And waves an operator adds a stand-in to every service
    When waves an operator starts a wave over all hosts
    And waves a host fails while another host of its service is being drained
    Then waves the drain is undone and the wave waits with MG4011
    When waves the failed host is back
    Then waves the wave runs to its end
    And waves no budget was breached and at most 0 moves were made

  Scenario: Waves leave the spare hosts to services that lack hosts after a failure
    The racks with the only spare hosts fail, so a service lacks hosts. A stand-in for the wave would
    be a host that this service needs, so no other service gets one until the failed hosts are back.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts
    And waves two racks fail
    Then waves no stand-in is assigned while a service lacks hosts
    When waves the failed hosts are back
    Then waves the wave runs to its end

  Scenario Outline: Waves continue without a host that won't <what>
    The work on a host doesn't end, or the host doesn't return from its reboot. A wave that waited for
    it would use up the margin indefinitely and exceed the maintenance period. The host is reported
    with a code and skipped, it is replaced where necessary, and the wave ends.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts with one that won't <what>
    Then waves the wave runs to its end
    And waves the host is <phase> with <code>, and was drained once
    And waves every budget holds

    Examples:
      | what   | phase      | code   |
      | drain  | in_service | MG4012 |
      | return | set_aside  | MG4013 |

  Scenario: Waves wait until a stand-in has started before they rely on it
    A host that joins a service is in service on the log at once, but its executors need seconds until
    they listen. If another host were drained in that time, callers would find fewer executors than
    the budget requires.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts and plans are made each second
    Then waves no host was drained within 10 seconds of another host joining its service

  Scenario: Waves report that a service has no room for a stand-in
    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves a profile limits listings to 6 hosts
    And waves an operator starts a wave over all hosts
    Then waves the hosts of listings wait for lack of room, and no step is rejected

  Scenario: An operator pauses and resumes a wave
    Given waves a running fleet of federation with 4 spare hosts that survives a rack
    When waves an operator starts a wave over one rack and pauses it at its first drain
    Then waves the host that was out returns and no other host is drained
    When waves the operator resumes the wave
    Then waves the wave runs to its end
    And waves only the hosts of that rack were rebooted
