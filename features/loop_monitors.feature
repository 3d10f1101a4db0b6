Feature: The log tells that the event loop has no time left, and with what it is busy
  On-call engineers couldn't tell an owner without processor time from one whose store or executors
  are slow: each of its callbacks is short, and sums over a day hide a few seconds.

  Scenario Outline: A loop that works in pieces of <piece_ms> ms for <share> of the time is <told>
    Guards against a saturated owner that no line tells of.

    Given an event loop whose waiting is measured
    When its part "reports" works in pieces of <piece_ms> ms for <share> of 2.5 s
    Then the lines tell of <told>

    Examples:
      | piece_ms | share | told                |
      | 1        | 0.0   | nothing             |
      | 2        | 0.2   | nothing             |
      | 2        | 1.0   | a busy loop         |
      | 200      | 1.0   | a busy, delayed one |
