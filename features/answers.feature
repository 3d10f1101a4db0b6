Feature: Each request gets exactly one correct answer, whatever fails while it is handled
  A caller's request goes to one daemon, which calls the queue's owner, which calls the store. Each waits for a
  resource that others share: a channel, an ownership, a record being written. Whatever ends such a wait, the caller
  gets exactly one answer, and a refusal or an acceptance in it is correct.

  Background:
    Given callers' requests, each to one of two daemons
      | request          | situation                                         |
      | new job          | its job is new                                    |
      | new job          | its job is stored                                 |
      | new job          | its job is being stored                           |
      | new job          | the owner isn't known yet, its job is new         |
      | new job          | the receiving daemon is the owner, its job is new |
      | job cancellation | its job is stored                                 |
      | job cancellation | its job is being stored                           |
      | job cancellation | its job is unknown                                |
      | job cancellation | the owner isn't known yet                         |
      | job cancellation | the receiving daemon is the owner                 |
      | job query        | its job is stored                                 |
      | job query        | its job is unknown                                |
      | job query        | the owner isn't known yet                         |
      | job query        | the receiving daemon is the owner, its job is new |
      | queue count      | its job is stored                                 |
      | queue count      | the owner isn't known yet                         |

  Scenario Outline: The handling of a request fails or is cancelled where the <side> daemon waits
    A caller's request was read completely; then an internal error or a cancellation ends its handling.
    Callers used to get no answer until the connection ended, as the task that sends the answer had ended.

    When one of these faults occurs at each point where the <side> daemon waits
      | fault                                   |
      | an error is raised                      |
      | an error is raised after the wait       |
      | a cancellation is raised                |
      | a cancellation is raised after the wait |
      | the task is cancelled                   |
    Then each request gets exactly one correct answer, and nothing is left open
    And such points occurred in the handling of <requests>

    Examples:
      | side      | requests                                          |
      | receiving | new job, job cancellation, job query, queue count |
      | owning    | new job, job cancellation, job query              |

  Scenario Outline: A shared resource is lost while the <side> daemon waits for it
    A caller's request waits for a channel or an ownership that other calls and records share. If one of those ends
    it, the wait ends without an outcome. The caller is told so and doesn't wait in vain.

    When one of these faults occurs at each point where the <side> daemon waits
      | fault                               |
      | another call times out              |
      | the channel is closed               |
      | the shard is given up               |
      | the shard moves to the other daemon |
      | a part of the ownership fails       |
    Then each request gets exactly one correct answer, and nothing is left open
    And such points occurred in the handling of <requests>

    Examples:
      | side      | requests                                          |
      | receiving | new job, job cancellation, job query, queue count |
      | owning    | new job, job cancellation, job query              |

  Scenario Outline: The store stops responding while the <side> daemon waits
    Calls reach the store late, or its answers are delayed, until after the caller was answered. A job that was
    refused in the meantime must not be stored later.

    When one of these faults occurs at each point where the <side> daemon waits
      | fault                              |
      | calls to the store are held back   |
      | answers of the store are held back |
    Then each request gets exactly one correct answer, and nothing is left open
    And such points occurred in the handling of <requests>

    Examples:
      | side      | requests                                          |
      | receiving | new job, job cancellation, job query, queue count |
      | owning    | new job, job cancellation, job query              |

  Scenario Outline: A daemon shuts down while the <side> daemon waits
    The owner stops answering calls, or the receiving daemon closes its connections, as stopping processes do.
    A request that was read completely is answered first; a request that wasn't read gets no answer.

    When one of these faults occurs at each point where the <side> daemon waits
      | fault                        |
      | the owner's server stops     |
      | the front is stopped         |
      | the front is stopped at once |
    Then each request gets exactly one correct answer, and nothing is left open
    And such points occurred in the handling of <requests>

    Examples:
      | side      | requests                                          |
      | receiving | new job, job cancellation, job query, queue count |
      | owning    | new job, job cancellation, job query              |

  Scenario: The receiving daemon's front stops while a request arrives
    A caller sends a request on an open connection as its daemon stops reading. Either the connection ends and nothing
    has been done, or the request is read and answered; its bytes may be buffered in the daemon for some turns of its
    event loop before that can be seen.

    When the receiving daemon's front stops in each of the 16 turns after a request is sent
    Then each request gets exactly one correct answer, and nothing is left open
    And some of the requests were read, and some were not

  Scenario: Several faults occur while one request is handled
    A daemon that shuts down, a store that doesn't respond and an internal error may hit the same request one after
    another, on both daemons. The second fault hits the reaction to the first: a repeated call, a fallback.

    When several of all these faults occur at points drawn with seed 7, in 100 cases
    Then each request gets exactly one correct answer, and nothing is left open
    And many requests were hit by more than one fault
