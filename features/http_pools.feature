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

  Scenario: A call on a kept connection costs its host little work
    Two pools ask for a thousand tasks a second, and each task needs two calls of its owner. When a
    call cost twice what it may, the owner's host had no time left: it answered neither callers nor
    other hosts, and too little was served. The 2,000 calls may take a quarter of a core, which
    makes some 2 million function calls a second: 250 of them for a call.

    When 200 HTTP calls are made one after another to one address
    Then one connection was opened for the HTTP calls
    And each HTTP call made at most 250 function calls

  Scenario Outline: An answer <how> <leaves>
    Guards against an answer of one request that is taken for that of the next, or one without end.

    When an HTTP call gets an answer <how>, and another call follows
    Then both HTTP calls were answered over <connections> connections

    Examples:
      | how                                  | leaves                       | connections |
      | with a length                        | leaves the connection usable | 1           |
      | in chunks                            | leaves the connection usable | 1           |
      | after two informational ones         | leaves the connection usable | 1           |
      | that is the last of its connection   | is followed by a new one     | 2           |
      | that ends with its connection        | is followed by a new one     | 2           |
      | and a second one that nobody awaits  | is followed by a new one     | 2           |
      | in single bytes                      | leaves the connection usable | 1           |

  Scenario Outline: A request whose <part> has <characters> isn't sent
    Guards against an owner that ends, and against requests in disguise, by what others have written.

    When an HTTP call is made whose <part> has <characters>
    Then the HTTP call was certainly not sent

    Examples:
      | part    | characters    |
      | header  | a line break  |
      | header  | a null        |
      | header  | a euro sign   |
      | target  | a line break  |
      | target  | a euro sign   |
