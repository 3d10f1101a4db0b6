Feature: What the operator publishes is followed without taking the link from callers
  Each daemon reads the operator's records from the store, over the link that its callers' requests use too.

  Scenario Outline: <count> configurations, one each <gap> s, each <transfer> s of the link
    An operator publishes large configurations faster than a small host's link carries them. Each was read in
    full, one after the other: the link was taken up, callers' requests reached the host seconds late, and
    owners on such hosts answered nothing. Callers saw neither an answer nor a refusal before their time was over.

    When an operator publishes <count> configurations, one each <gap> s, of <transfer> s of the link each
    Then reading them has taken at most <share> of the link's time
    And each daemon's configuration was never older than 2 s
    And the last configuration is in force

    Examples: the share is what a reader needs that rests for as long as it has read
      | count | gap  | transfer | share |
      | 80    | 0.26 | 0.32     | 0.6   |
      | 80    | 0.26 | 0.45     | 0.6   |
      | 40    | 0.5  | 0.3      | 0.6   |
      | 10    | 2.0  | 0.3      | 0.6   |
      | 80    | 0.26 | 0.01     | 0.6   |
