Feature: The fold decides alike everywhere

  Scenario: racing daemons on a log with copies, gaps and replacements
    Operators, planners and actors on three daemons write on what each has folded so far, so they
    race. Records come late or twice, daemons lag, are replaced, start from a checkpoint or from
    a peer, and the front of the log expires. Whatever the order, each daemon must decide as a
    naive fold of the whole log does: no budget broken by a drain, no host in two pools, nothing
    accepted that reverts, no second attempt at a job that must not run twice.
    When the folding daemons run 60 times for 50 steps
    Then the folding daemons took at least 2500 steps in all

  Scenario Outline: each safeguard is needed
    The same daemons with one safeguard off. An operator sees a change reverted, a service below
    its budget, or two daemons that disagree for good; the state machine must notice, else it
    would prove nothing about the safeguard.
    Given folding without the safeguard that <safeguard>
    Then the folding daemons break a promise within 300 runs

    Examples:
      | safeguard                                       |
      | ids are remembered                              |
      | a record made too long ago is turned down       |
      | a change names the version it was made on       |
      | declarations must fit together                  |
      | a declaration must be satisfiable               |
      | a pool with hosts keeps its service             |
      | a drain must leave the budgets whole            |
      | a host leaves its pool before it joins another  |
      | a host joins only where there is room           |
      | a host's step names its epoch                   |
      | an attempt is placed only when no other may run |
      | a job's step names its epoch                    |
      | a team's quota holds                            |
      | an older snapshot changes nothing               |
      | records of a peer are folded without a gap      |
      | only the log's time counts                      |

  Scenario Outline: the folded state stays bounded with <count> <what>
    Jobs, waves, hosts and record ids come and go for months. What is kept of them must not grow,
    or each daemon would pass its memory; and a daemon that started from a checkpoint in between
    must forget the same, by the log's time, as one that folded it all.
    When folding <count> <what> with a restart from a checkpoint every 997
    Then the folded state keeps at most <most> <kept> and both agree

    Examples:
      | count | what                  | kept  | most |
      | 20000 | jobs that are ended   | jobs  | 2001 |
      | 20000 | slow jobs             | jobs  | 361  |
      | 3000  | waves                 | waves | 51   |
      | 20000 | hosts that failed     | hosts | 1100 |
      | 20000 | jobs that are ended   | ids   | 4096 |
