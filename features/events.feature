Feature: Structured lines explain decisions, at a bounded rate, and never block
  On-call engineers have only logs and metrics. A flood or a reader that stops must cost lines only.

  Scenario: A reader that stops reading
    Requests go on although nobody reads the lines any more: the pipe is full, a write would wait for
    ever. Lines that find no room are left out, and counted on the next one that is written.

    Given an event log into a pipe that nobody reads
    When 5000 lines are noted
    Then all calls have returned and lines were left out
    And the next line that is read tells how many were left out

  Scenario Outline: A flood of <kind> lines is bounded
    Given an event log that keeps its lines
    When <count> <kind> lines are noted within a second
    Then between <least> and <most> lines were written

    Examples:
      | kind  | count | least | most |
      | usual | 20000 | 500   | 1000 |
      | vital | 20000 | 900   | 1300 |

  Scenario: What explains a refusal is written in a flood
    Given an event log that keeps its lines
    When 3000 usual lines are noted within a second
    And 10 vital lines are noted within a second
    Then the last 10 lines are the vital ones

  Scenario: A day's logs become one page
    The one who was on call wants to see a day after a complaint: who owned what, what callers were told,
    what was lost meanwhile. The last line of a daemon that was killed is cut in the middle.

    Given logs of two daemons, the first of which was killed and the second took over
    When a page is drawn from the logs
    Then the page names both owners of shard 3 with their epochs, what was lost, and lines left out
    And its plots show jobs, answers, runs and the owners

  Scenario: A day's page names the tasks under which executors crashed
    Guards against a report that shows lost runs, and not which task takes the executors down.

    Given logs in which executors crashed under two tasks, and one of them answered again
    When a page is drawn from the logs
    Then the page says of each task how many executors crashed under it, without the one that answered

  Scenario Outline: No page is drawn from logs that <flaw>
    When a page is drawn from logs that <flaw>
    Then the report ends in <code>, which names <text>

    Examples:
      | flaw                     | code   | text                |
      | aren't there             | MG2000 | No such file        |
      | hold no structured lines | MG6000 | no structured lines |
