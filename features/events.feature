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
