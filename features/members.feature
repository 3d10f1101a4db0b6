Feature: Members agree on which members are live, and none acts after it was declared dead

  Entry hosts are killed, replaced under the same name, and frozen for longer than the others wait.
  Two hosts could act for the same key, or none: its owner still counts as live, or a host that was
  declared dead while it was frozen continues as before.

  Scenario: members find each other from one address and from each other
    Given members e1, e2, e3, e4 that know only the address of e1
    Then members all see e1, e2, e3, e4 live and agree on owners
    And members answer each other's calls

  Scenario Outline: members that fail are suspected, then dead, and return under a new incarnation
    # A host counts as live until its heartbeats stop. If it were declared dead at once, a short
    # pause would cost it all that it holds; if it never were, its keys would have no owner.
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

  Scenario: members relay a notice that concerns all of them
    Given members e1, e2, e3 that know only the address of e1
    When member e2 publishes a notice
    Then members all know the notice
