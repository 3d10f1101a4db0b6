Feature: HTTP calls over pooled connections
  Calls to the store and executors share links that may be slow. Connections may break silently.

  Scenario Outline: An answer that <arrives> is <taken>
    A host's link is slow, and the store's answer is large: a configuration of thousands of queues.
    If it were abandoned after the timeout of a small answer, it would be requested repeatedly, fill
    the link and never arrive; the host would keep an old configuration. A stalled one is abandoned.

    When an HTTP call with a timeout of 0.3 s gets an answer that <arrives>
    Then the HTTP call's answer was <taken>

    Examples:
      | arrives                          | taken     |
      | arrives at once                  | received  |
      | arrives in 8 parts, 0.1 s apart  | received  |
      | stops after 2 parts              | abandoned |
      | never begins                     | abandoned |

  Scenario Outline: A call reports a connection that was <ended> as <reported>
    Guards against mistaking a host without power for a process that has crashed, or the reverse.

    When an HTTP call with a timeout of 0.3 s uses a connection that was <ended>
    Then the HTTP call without an answer reports the connection as <reported>

    Examples:
      | ended                     | reported   |
      | refused                   | closed     |
      | closed before the answer  | closed     |
      | reset during the answer   | closed     |
      | left silent               | not closed |
