Feature: Members know who is there, and nobody acts for a member that is gone

  Entry hosts are killed, replaced under the same name, and stopped for longer than the others wait.
  A caller would see two hosts act for one, or none: the owner of a key is still taken for alive, or
  a host that slept through its own death goes on as if nothing had been.

  Scenario: members find each other from one address and from each other
    Given members e1, e2, e3, e4 that know only the address of e1
    Then members all see e1, e2, e3, e4 live and agree on owners
    And members answer each other's calls

  Scenario Outline: members that fail are suspected, then dead, and return as somebody new
    # The host is there for all others until its heartbeats stop. Were it declared dead at once, a
    # short pause would cost it all it holds; were it never, its keys would have no owner.
    Given members e1, e2, e3 that know only the address of e1
    When member e3 is <failure>
    Then members e1, e2 see e3 <seen>
    When member e3 is <return>
    Then members all see e1, e2, e3 live and agree on owners
    And member e3 is <identity>

    Examples:
      | failure | seen    | return   | identity            |
      | killed  | suspect | replaced | another incarnation |
      | killed  | dead    | replaced | another incarnation |
      | frozen  | suspect | woken    | the same or another |
      | frozen  | dead    | woken    | another incarnation |

  Scenario: members pass on a word that concerns all at once
    Given members e1, e2, e3 that know only the address of e1
    When member e2 publishes a word
    Then members all know the word
