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
