Feature: Every host is maintained in time, a few at once, and never in flight

  Scenario Outline: Waves go through the whole fleet with the fewest hosts out and few moves
    Given waves a running fleet of <user> with <spare> spare hosts that survives a <domain>
    When waves an operator starts a wave over all hosts and it runs to its end
    Then waves every host was rebooted once, empty, and at most <out> were out at once
    And waves no budget was broken and at most <moves> moves were made

    Examples:
      | user       | spare | domain      | out | moves |
      | thekkady   | 2     | rack        | 1   | 6     |
      | thekkady   | 10    | data_center | 1   | 12    |
      | federation | 4     | rack        | 1   | 6     |
      | federation | 8     | data_center | 1   | 11    |

  Scenario: Waves maintain every host within the period without being told
    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves three periods of 2 days go by
    Then waves no host ever waited longer than the period
    And waves no budget was broken and at most 30 moves were made

  Scenario: Waves pause when a failure eats the margin, and resume alone
    A host is being emptied when another one of its service fails, and no spare is left. Were the
    wave to go on, the next failure would leave the callers with too few executors. So the drain is
    taken back at once, the wave says why it waits, and goes on when the failed host is back.

    Given waves a running fleet of thekkady with 0 spare hosts that survives a rack
    And waves a stand-in by hand in every service
    When waves an operator starts a wave over all hosts
    And waves a host fails while another one of its service is being emptied
    Then waves the drain is taken back and the wave waits with MG4011
    When waves the failed host is back
    Then waves the wave runs to its end
    And waves no budget was broken and at most 0 moves were made

  Scenario: Waves keep the spare hosts for the services that a failure left short
    A rack fails and the only spare host is in it, so a service is short. A stand-in for the wave
    would be a host that this service needs; so no other service is visited until it has its hosts.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts
    And waves two racks fail
    Then waves no host is taken out of a service while another one is short
    When waves the failed hosts are back
    Then waves the wave runs to its end

  Scenario Outline: Waves go on without a host that won't <what>
    The work on a host doesn't end, or the host doesn't come back from its reboot. A wave that waited
    for it would keep the margin used up for ever and miss its period. The host is reported with a
    code and left alone, its place is filled where need be, and the wave ends.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts with one that won't <what>
    Then waves the wave runs to its end
    And waves the host is <phase> with <code>, and was tried once
    And waves every budget holds

    Examples:
      | what   | phase      | code   |
      | drain  | in_service | MG4012 |
      | return | set_aside  | MG4013 |

  Scenario: Waves let a stand-in start before they count on it
    A host that joins is in service on the log at once, but its executors need seconds to listen. If
    another host were emptied in that time, the callers would find fewer executors than the budget.

    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves an operator starts a wave over all hosts and plans are made each second
    Then waves no host was emptied within 10 seconds of another one joining its service

  Scenario: Waves say so when a service has no room for a stand-in
    Given waves a running fleet of thekkady with 2 spare hosts that survives a rack
    When waves a profile gives listings room for 6 hosts only
    And waves an operator starts a wave over all hosts
    Then waves the hosts of listings wait for want of room, and no step is turned down

  Scenario: Waves stop and go on at an operator's word
    Given waves a running fleet of federation with 4 spare hosts that survives a rack
    When waves an operator starts a wave over one rack and pauses it at its first drain
    Then waves the host that was out comes back and no other one goes
    When waves the operator resumes the wave
    Then waves the wave runs to its end
    And waves only the hosts of that rack were rebooted
