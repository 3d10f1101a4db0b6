Feature: The fold decides the same on every daemon

  Scenario: racing daemons on a log with copies, gaps and replacements
    Operators, planners and actors on three daemons write records based on what each has folded,
    so they race. Records arrive late or twice, daemons lag, are replaced, start from a checkpoint
    or a peer, and the front of the log expires. Whatever the order, each daemon must decide as a
    naive fold of the whole log does: no drain breaks a budget, no host is in two pools, no record
    reverts a change, and a job that must not run twice gets no second attempt.
    When the folding daemons run 60 times for 50 steps
    Then the folding daemons took at least 2500 steps in all

  Scenario Outline: each safeguard is needed
    With one safeguard off, a change is reverted, a service falls below its budget, or two daemons
    disagree for good. The state machine must detect it, or it would prove nothing about the
    safeguard.
    Given folding without the safeguard that <safeguard>
    Then the folding daemons violate an invariant within 300 runs

    Examples:
      | safeguard                                       |
      | ids are remembered                              |
      | a record made too long ago is rejected          |
      | a change names its base version                 |
      | declarations must be consistent                 |
      | a declaration must be satisfiable               |
      | a pool with hosts keeps its service             |
      | a drain must not break a budget                 |
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
    or daemons would run out of memory; and a daemon that started from a checkpoint in between
    must delete the same, by the log's time, as one that folded all records.
    When folding <count> <what> with a restart from a checkpoint every 997
    Then the folded state keeps at most <most> <kept> and both agree

    Examples:
      | count | what                  | kept  | most |
      | 20000 | jobs that are ended   | jobs  | 2001 |
      | 20000 | slow jobs             | jobs  | 361  |
      | 3000  | waves                 | waves | 51   |
      | 20000 | hosts that failed     | hosts | 1100 |
      | 20000 | jobs that are ended   | ids   | 4096 |
