Feature: calls over kept connections
  Calls to the store and to executors share links that may be slow, and connections that may go silent.

  Scenario Outline: An answer that <arrives> is <taken>
    A host's link is slow, and what the store answers is large: a configuration of thousands of queues.
    If it were given up after the time of a small answer, it would be asked for again and again, fill the
    link and never arrive; the host would go on with an old configuration. One that stops is given up.

    When a call with 0.3 s for its answer gets one that <arrives>
    Then the call's answer was <taken>

    Examples:
      | arrives                          | taken    |
      | comes at once                    | whole    |
      | comes in 8 parts, 0.1 s apart    | whole    |
      | stops after 2 parts              | given up |
      | never begins                     | given up |

  Scenario Outline: A call tells a connection that was <ended> from silence
    Guards against taking a host without power for a process that has crashed, or the other way round.

    When a call with 0.3 s for its answer meets a connection that was <ended>
    Then the call without an answer tells that the connection was <told>

    Examples:
      | ended                     | told       |
      | refused                   | closed     |
      | closed before the answer  | closed     |
      | reset amid the answer     | closed     |
      | left silent               | not closed |
