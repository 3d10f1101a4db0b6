Feature: log lines are few, parseable and contain nothing private
  Lines of many hosts are collected, searched by tools, and read by people who mustn't see what
  callers send. Frequent events are counted instead.

  Scenario: a repeated fault doesn't flood the log
    A part fails with each request, thousands of times a second. Unbounded, the lines fill the log
    collector's disk and slow the daemon. Suppressed silently, they would be mistaken for health.
    Given logs on a manual clock
    When logs get 10000 faults at once, and one more 10 seconds later
    Then logs have 201 lines, of which the last has the number of suppressed lines
    And logs count each line as written or suppressed

  Scenario: any text is one line that a tool can parse
    A line break in a message would make two lines, and the second one could be forged to look like
    a genuine line.
    Then logs have one line of pairs for any message, with or without a fault

  Scenario: a daemon's lines contain no bodies and no keys
    A caller sends a body with an Idempotency-Key through a daemon, an operator a job with a
    payload; the platform fails meanwhile. The daemon's lines must contain none of these.
    Given logs of a daemon that serves a request and accepts a job while the platform fails
    Then logs mention the platform, but not the body, the key or the payload
    And logs have pairs on every line
