Feature: a part that ends by a stray cancellation has failed
  Closing a shared object, such as a gRPC channel, cancels what other tasks await on it. A part
  that ends this way wasn't asked to stop: it or what depends on it is restarted, and the failure
  is logged.

  Scenario Outline: a child that <ends> runs <runs>
    A daemon is up and ready while one of its parts no longer works. The part awaits a shared object
    that another part closes. Its supervisor sees a cancellation, treats the part as stopped and
    doesn't restart it.
    Given a supervisor with a child that <ends>
    When the supervisor has had time to restart it
    Then the child was started <times> times
    And the supervisor counts <restarts> restarts and <lines> logged failures

    Examples:
      | ends                              | runs   | times | restarts | lines |
      | awaits what is cancelled once     | again  | 2     | 1        | 1     |
      | awaits what is cancelled twice    | again  | 3     | 2        | 2     |
      | fails once                        | again  | 2     | 1        | 1     |
      | is stopped                        | once   | 1     | 0        | 0     |
      | is stopped as it waits to restart | once   | 1     | 1        | 1     |
      | fails as it is stopped            | once   | 1     | 0        | 1     |

  Scenario: a child that is always cancelled ends its parent
    The shared object is permanently unavailable. If the part were restarted forever, it would never
    do its work, and the platform, which restarts a failed daemon on another host, wouldn't notice.
    Given a supervisor with a child that awaits what is always cancelled
    When the supervisor has had time to restart it
    Then the supervisor ends with an error that names the child

  Scenario Outline: a timer whose callback <ends> is <called>
    A daemon's timer polls the platform, sends heartbeats or checks the daemon's readiness. One call
    awaits a shared object that another part closes. Treated as the end of the subscription, it
    would leave the view outdated or stop the heartbeats, and nothing would be logged.
    Given a timer whose callback <ends>
    When ten periods of the timer have passed
    Then its callback was called <times> times
    And the timer has logged <lines> failures

    Examples:
      | ends                             | called              | times | lines |
      | awaits what is cancelled once    | called again        | 10    | 1     |
      | fails once                       | called again        | 10    | 1     |
      | ends its own subscription        | not called again    | 1     | 0     |
      | is ended in the middle of a call | not called again    | 1     | 0     |

  Scenario Outline: <what> continue after a stray cancellation
    One daemon no longer folds the changes of operators, or no longer appends them to the log, and
    doesn't end: of the tasks that together follow the log, one ended because something it awaited
    was closed. The others continue, because a task group ignores its cancelled tasks.
    Given a supervisor with <log> on a platform where one <call> is cancelled
    When some time passes, in which a change is written to the state's log
    Then the platform was called again after the call that was cancelled
    And the supervisor counts 1 restarts and 1 logged failures

    Examples:
      | what                  | log                | call   |
      | reads of the state    | the state's log    | read   |
      | appends to the state  | the state's log    | append |
      | reads of claimed keys | the claims of keys | read   |
