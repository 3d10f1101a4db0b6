Feature: log lines are few, whole and hold nothing private
  Lines of many hosts are collected and searched by machine, and read by people who mustn't see what
  callers send. What happens often is counted instead.

  Scenario: a fault that repeats doesn't flood the log
    A part fails with each request, thousands of times a second. Unbounded, the lines fill the disk
    of whatever collects them and slow the daemon. Left out silently, the quiet would pass for health.
    Given logs on a clock that stands still
    When logs get 10000 faults at once, and one more 10 seconds later
    Then logs hold 201 lines, of which the last tells how many were left out
    And logs count each line as written or suppressed

  Scenario: any text is one line that a machine can take apart
    A line break in a message would make two lines, and the second one could be made to look like a
    line of ours.
    Then logs hold one line of pairs for any message, with or without a fault

  Scenario: a daemon's lines hold no bodies and no keys
    A caller sends a body with an Idempotency-Key through a daemon, an operator a job with a payload;
    the platform breaks on the way. Whatever the daemon then writes, it isn't these.
    Given logs of a daemon that serves a request and takes a job while the platform breaks
    Then logs tell of the platform, but not of the body, the key or the payload
    And logs are pairs on every line
