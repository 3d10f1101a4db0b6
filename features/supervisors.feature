Feature: a part that ends by a cancellation nobody asked for has failed
  Closing something shared, such as a gRPC channel, cancels what others await on it. A part that ends by
  it isn't one that was told to end: it runs again, or what depends on it does, and a line tells of it.

  Scenario Outline: a child that <ends> is run <runs>
    An operator sees a daemon that is up and ready while one part of it does nothing any more. The part
    awaits something shared, which another one closes. Its supervisor sees a cancellation, takes the part
    for stopped and doesn't start it again.
    Given a supervisor with a child that <ends>
    When the supervisor has had time to start it again
    Then the child was started <times> times
    And the supervisor counts <restarts> restarts and <lines> lines of its failures

    Examples:
      | ends                              | runs   | times | restarts | lines |
      | awaits what is cancelled once     | again  | 2     | 1        | 1     |
      | awaits what is cancelled twice    | again  | 3     | 2        | 2     |
      | fails once                        | again  | 2     | 1        | 1     |
      | is stopped                        | once   | 1     | 0        | 0     |
      | is stopped as it waits to restart | once   | 1     | 1        | 1     |
      | fails as it is stopped            | once   | 1     | 0        | 1     |

  Scenario: a child that is always cancelled ends its parent
    The part's shared thing can't be had at all. Run again for ever, it would never do its work, and
    the platform, which starts a daemon anew on another host, wouldn't hear of it.
    Given a supervisor with a child that awaits what is always cancelled
    When the supervisor has had time to start it again
    Then the supervisor ends and names the child

  Scenario Outline: a timer whose callback <ends> is <called>
    A daemon's timer reads the platform's view, sends heartbeats or tells whether the daemon is ready. One
    call awaits something shared that another one closes. Seen as the end of the subscription, the view
    would grow old or the heartbeats stop, and no line would tell of it.
    Given a timer whose callback <ends>
    When ten periods of the timer have gone by
    Then its callback was called <times> times
    And the timer has left <lines> lines

    Examples:
      | ends                             | called              | times | lines |
      | awaits what is cancelled once    | called again        | 10    | 1     |
      | fails once                       | called again        | 10    | 1     |
      | ends its own subscription        | called no more      | 1     | 0     |
      | is ended in the middle of a call | called no more      | 1     | 0     |

  Scenario Outline: <what> go on after a cancellation that nobody asked for
    Changes that operators make aren't folded any more on one daemon, or don't reach the log, and it
    doesn't end: of the tasks that together follow the log one ended as something it awaited was
    closed. The others go on, and a group of tasks passes over those of its tasks that were cancelled.
    Given a supervisor with <log> on a platform of which one <call> is cancelled
    When some time goes by, in which a change is written to the state's log
    Then the platform was called again after the call that was cancelled
    And the supervisor counts 1 restarts and 1 lines of its failures

    Examples:
      | what                  | log                | call   |
      | reads of the state    | the state's log    | read   |
      | appends to the state  | the state's log    | append |
      | reads of claimed keys | the claims of keys | read   |
