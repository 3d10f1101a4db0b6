Feature: Decisions for hard load are switched on by what a deployment states, or by a file
  A deployment that states nothing of the kind is served as before, so a wrong switch would change deployments that
  didn't ask for it.

  Scenario Outline: With <file>, on a platform <with_what>, <feature> is <state>
    When the switches are read from a file that <file>
    And the platform is one <with_what>
    Then the feature <feature> is <state>

    Examples:
      | file                     | with_what                                | feature        | state |
      | isn't named at all       | without overload rules or stated starts  | admission      | off   |
      | isn't named at all       | without overload rules or stated starts  | account_shares | off   |
      | isn't named at all       | without overload rules or stated starts  | room_sharing   | off   |
      | isn't named at all       | without overload rules or stated starts  | stragglers     | off   |
      | isn't named at all       | with overload rules                      | admission      | off   |
      | leaves admission to the platform | with overload rules              | admission      | on    |
      | leaves admission to the platform | with stated starts               | admission      | off   |
      | isn't named at all       | with overload rules                      | account_shares | on    |
      | isn't named at all       | with overload rules                      | racks          | off   |
      | isn't named at all       | with stated starts                       | admission      | off   |
      | isn't named at all       | with stated starts                       | racks          | on    |
      | isn't named at all       | with stated starts                       | room_sharing   | off   |
      | isn't named at all       | with stated starts                       | stragglers     | off   |
      | isn't named at all       | with stated starts                       | owner_hints    | on    |
      | isn't named at all       | with stated starts                       | executor_speeds | on   |
      | switches admission off   | with overload rules                      | admission      | off   |
      | switches sharing on      | without overload rules or stated starts  | room_sharing   | on    |
      | switches stragglers on   | without overload rules or stated starts  | stragglers     | on    |

  Scenario Outline: A file of switches that <file> is refused with <code>
    When the switches are read from a file that <file>
    Then reading the switches is refused with <code>

    Examples:
      | file                         | code   |
      | names a feature wrongly      | MG2002 |
      | gives a switch another value | MG2002 |
      | isn't JSON                   | MG2001 |
      | isn't there                  | MG2000 |
