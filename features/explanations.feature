Feature: The daemons' lines explain why a job waited or was refused, and which account bore the cost
  An operator who is called by a client account has only log lines: some are left out under load,
  the last one of a killed daemon is truncated, and the hosts' clocks differ.

  Scenario Outline: A job that <history> is explained by <text>
    When a job that <history> is explained
    Then the explanation has "<text>"

    Examples: refused
      | history                          | text                                                                                                                                    |
      | was refused on a forecast        | refused at 0.000 s by e1: MG4033 forecast; it would have ended after 12.3 s, of use is an end within 9.0 s; told to come back after 2 s |
      | was refused and didn't come back | told to come back after 2 s                                                                                                             |
      | was refused and came back        | told to come back after 2 s, came back after 2.50 s                                                                                     |
      | was refused and came back        | completed 1.00 s after its acceptance, objective 3.00 s: in time                                                                        |
      | was refused by its gateway       | refused at 0.000 s by e2: MG4027 nobody owns the queue yet                                                                              |
      | was refused by owner and gateway | refused at 0.000 s by e1: MG4034                                                                                                        |

    Examples: waited
      | history                                | text                                                                                                                                                     |
      | started at once                        | job j1 of queue cuts, account small-1                                                                                                                    |
      | waited behind a large account          | its first task waited 2.50 s, of which it could spare 1.50 s:                                                                                            |
      | waited behind a large account          | 5 tasks of other jobs started meanwhile in its pool: 4 of account big-1, 1 of its own account small-1                                                    |
      | waited for a pool that was too small   | pool cutting was too small: wanted 93.0 machines, had 43, 7 on their way                                                                                 |
      | waited for its account's limit         | its account was at its limit in the pool: used 4 cores, 4000 MB, 0 GPUs, allowed 4 cores, 4000 MB, 0 GPUs, limit over all pools 8 cores, 8000 MB, 0 GPUs |
      | waited for a takeover                  | shard 3 was between two owners for 1.20 s, from +0.30 s after it began to wait                                                                           |
      | waited for the store                   | the store took no records of shard 3 for 0.80 s, from +0.20 s                                                                                            |
      | waited and no line tells why           | no line tells what it waited for                                                                                                                         |
      | was never started                      | no task of it was seen to start in 4.00 s:                                                                                                               |
      | left no line on its first step's start | the line on the start of its first task is missing                                                                                                       |

    Examples: ended
      | history        | text                                                                        |
      | ended late     | completed 4.00 s after its acceptance, objective 3.00 s: late               |
      | ended too late | completed 9.50 s after its acceptance, objective 3.00 s: of no use any more |
      | failed         | failed 1.00 s after its acceptance: task j1.0.0.0 failed too often          |

  Scenario Outline: A job that <history> isn't explained by <text>
    When a job that <history> is explained
    Then the explanation hasn't "<text>"

    Examples:
      | history                                      | text               |
      | started at once                              | waited             |
      | waited behind a large account                | between two owners |
      | waited while another shard had a takeover    | between two owners |
      | waited after a former owner told of its loss | between two owners |
      | waited behind a large account                | no line tells      |
      | waited, and a later step reached the limit   | at its limit       |
      | left no line on its first step's start       | first task waited  |
      | left no line on its first try's start        | first task waited  |

  Scenario Outline: With <flaw>, an explanation says so instead of a wrong cause
    When a job that waited behind a large account is explained from lines with <flaw>
    Then the explanation has "<text>"

    Examples:
      | flaw                                       | text                                                       |
      | its acceptance missing                     | the line on its acceptance is missing                      |
      | its acceptance missing                     | 5 tasks of other jobs started meanwhile in its pool        |
      | its end missing                            | no line tells of its end                                   |
      | its end missing                            | its first task waited 2.50 s:                              |
      | 40 lines left out                          | 40 lines were left out about then; more may have caused it |
      | a half-written last line                   | completed 4.00 s after its acceptance                      |
      | a half-written line before its successor's | completed 4.00 s after its acceptance                      |
      | the gateway's clock 5 s ahead              | the clocks of two hosts differ by at least 4.9             |
      | the gateway's clock 5 s ahead              | its first task waited 2.50 s                               |
      | the gateway's clock 5 s behind             | the clocks of two hosts differ by at least 4.9             |
      | a repeated submission answered later       | its first task waited 2.50 s                               |

  Scenario: The clock of the fleet's owner differs from that of the pool's owner
    Guards against a pool that was too small and isn't named, as its lines seem to be of another
    time than the wait.

    When a job that waited for a pool that was too small is explained from lines with the fleet owner's clock 5 s ahead
    Then the explanation has "pool cutting was too small"

  Scenario: A repeated submission isn't taken for a difference between clocks
    When a job that waited behind a large account is explained from lines with a repeated submission answered later
    Then the explanation hasn't "clocks"

  Scenario: A job that no line mentions
    When a job that nobody submitted is explained
    Then the explanation has "no log line mentions job j1"

  Scenario Outline: An account during a flood of another one is explained by <text>
    When account <account> is explained after a flood
    Then the explanation has "<text>"

    Examples:
      | account | text                                                                                                     |
      | small-1 | account small-1: 4 jobs: 1 in time, 1 late, 1 of no use any more, 1 refused                              |
      | small-1 | queue cuts: 4 jobs: 1 in time, 1 late, 1 of no use any more, 1 refused                                   |
      | small-1 | refused 2 times in queue cuts: MG4033 forecast N s late; 1 came back, on average told 2.0 s, after 1.0 s |
      | small-1 | waited for other jobs that were served first, in queue cuts: 1                                           |
      | small-1 | tasks that started in their pools while they waited, for each job: 6 of big-1, 1 of small-1              |
      | small-1 | submitted from 0 s on: 4 jobs                                                                            |
      | small-1 | for comparison, account big-1: 6 jobs: 6 in time                                                         |
      | small-1 | 17 lines were left out, so that these numbers may be too low                                             |
      | big-1   | account big-1: 6 jobs: 6 in time                                                                         |
      | nobody  | no log line mentions a job of account nobody                                                             |

  Scenario Outline: Lines as owners write them are explained: <account> with <limit> waits for <cause>
    Guards against a field that gets another name where lines are written.

    When 40 jobs of joiners with <limit> and 3 of fitters run on 3 daemons, and account <account> is explained
    Then the explanation has "account <account>: <jobs> jobs:"
    And the explanation has "waited for <cause>, in queue quotes"

    Examples:
      | account | limit           | jobs | cause                     |
      | joiners | a limit of 8000 | 40   | the limit of its account  |
      | joiners | a limit of 0    | 40   | a pool that was too small |

  Scenario: An account is only explained from logs
    When an account is explained without logs
    Then the command fails with MG6000 and names --logs

  Scenario: A day's page shows which accounts bore the cost
    When a page is rendered from the lines of a flood
    Then the page has these rows
      | row                                                      |
      | big-1, 6, 6, 0, 0, 0, 0, 0                               |
      | small-1, 4, 1, 1, 1, 1, 0, 0                             |
      | small-1, cuts, 4, 1, 1, 1, 1, 0, 0                       |
      | small-1, 0, 4, 1, 1, 1, 1, 0, 0                          |
      | small-1, cuts, other jobs that were served first, 1      |
      | small-1, cuts, MG4033, forecast N s late, 2, 1, 2.0, 1.0 |
      | pools, 5                                                 |
      | (unknown), 12                                            |
