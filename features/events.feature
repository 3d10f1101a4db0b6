Feature: Structured lines explain decisions, at a bounded rate, and never block
  On-call engineers have only logs and metrics. A flood or a reader that stops must only lose lines.

  Scenario: A reader that stops reading
    Guards against a daemon that blocks on a full pipe. Lines that don't fit are left out, and the
    next line that is written has their number.

    Given an event log that writes to a pipe that isn't read
    When 5000 lines are logged
    Then all calls have returned and lines were left out
    And the next line that is read has the number of lines left out

  Scenario Outline: A flood of <kind> lines is bounded
    Given an event log that stores its lines in memory
    When <count> <kind> lines are logged within a second
    Then between <least> and <most> lines were written

    Examples:
      | kind  | count | least | most |
      | usual | 20000 | 500   | 1000 |
      | vital | 20000 | 900   | 1300 |

  Scenario: Lines that explain a refusal are written during a flood
    Given an event log that stores its lines in memory
    When 3000 usual lines are logged within a second
    And 10 vital lines are logged within a second
    Then the last 10 lines are the vital ones

  Scenario Outline: A flood of <flood> leaves <event> its budget
    Guards against the one budget under which the lines of runs displaced those that state why a
    pool waits (20 a second fell to 1 to 4) and half of the lines on accepted and ended jobs.

    Given an event log that stores its lines in memory
    When for 10 s <flood> is logged 2000 times a second and <event> <rate> times
    Then all lines of <event> are written, and at most 3000 lines in all
    And lines have the number of lines left out before them by class, only of <class>

    Examples:
      | flood                    | event             | rate | class    |
      | run.start                | pool.balance      | 20   | other    |
      | run.start                | job.accepted      | 30   | other    |
      | run.start                | job.refused       | 30   | other    |
      | run.start                | job.refused       | 100  | other    |
      | run.start                | run.lost as vital | 30   | other    |
      | run.lost as vital        | pool.balance      | 20   | failures |
      | run.lost as vital        | job.ended         | 30   | failures |
      | job.refused              | job.ended         | 30   | refusals |
      | job.refused              | run.start         | 20   | refusals |
      | job.refused              | run.lost as vital | 30   | refusals |
      | pool.balance             | job.ended         | 30   | pools    |
      | submit.answered as vital | run.lost as vital | 30   | refusals |

  Scenario Outline: A flood of <flood> gets all lines that no other class uses
    Given an event log that stores its lines in memory
    When for 10 s <flood> is logged 2000 times a second and nothing 0 times
    Then between 2400 and 3000 lines were written

    Examples:
      | flood             |
      | run.start         |
      | run.lost as vital |
      | job.ended         |
      | pool.balance      |

  Scenario: Each line that a full pipe can't take is counted until a line is written
    Guards against a count that was reset by a line that was itself dropped.

    Given an event log that writes to a pipe that isn't read
    When 5000 lines are logged
    Then the lines read and the lines left out are 5000 in all

  Scenario: A day's logs are rendered as one page
    After a complaint, an on-call engineer needs a day's owners, answers to callers and losses.
    The last line of a daemon that was killed is truncated.

    Given logs of two daemons, the first of which was killed and the second took over
    When a page is rendered from the logs
    Then the page names both owners of shard 3 with their epochs, what was lost, and lines left out
    And its plots show jobs, answers, runs and the owners

  Scenario: A day's page names the tasks under which executors crashed
    Guards against a report that shows lost runs, but not which task crashes the executors.

    Given logs in which executors crashed under two tasks, and one executor answered later
    When a page is rendered from the logs
    Then the page has each task's number of crashed executors, without the one that answered

  Scenario Outline: No page is rendered from logs that <flaw>
    When a page is rendered from logs that <flaw>
    Then the report fails with <code> and names <text>

    Examples:
      | flaw                     | code   | text                |
      | aren't there             | MG2000 | No such file        |
      | hold no structured lines | MG6000 | no structured lines |
