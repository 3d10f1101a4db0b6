Feature: Reading the operator's records leaves bandwidth for callers
  Each daemon reads the operator's records from the store, over the same link as its callers' requests.

  Scenario Outline: <count> configurations, one every <gap> s, each with a transfer time of <transfer> s
    An operator publishes large configurations faster than a small host's link carries them. Reading each
    of them in full filled the link: callers' requests reached the host seconds late, and owners on such hosts
    answered nothing. Callers got neither an answer nor a refusal before their timeout.

    When an operator publishes <count> configurations, one every <gap> s, with a transfer time of <transfer> s each
    Then reading them has used at most <share> of the link's time
    And each daemon's configuration was never older than 2 s
    And the last configuration is in force

    Examples: the share is the limit for a reader that pauses for as long as each read took
      | count | gap  | transfer | share |
      | 80    | 0.26 | 0.32     | 0.6   |
      | 80    | 0.26 | 0.45     | 0.6   |
      | 40    | 0.5  | 0.3      | 0.6   |
      | 10    | 2.0  | 0.3      | 0.6   |
      | 80    | 0.26 | 0.01     | 0.6   |
