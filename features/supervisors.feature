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

  Scenario: a child that is always cancelled ends its parent
    The part's shared thing can't be had at all. Run again for ever, it would never do its work, and
    the platform, which starts a daemon anew on another host, wouldn't hear of it.
    Given a supervisor with a child that awaits what is always cancelled
    When the supervisor has had time to start it again
    Then the supervisor ends and names the child
