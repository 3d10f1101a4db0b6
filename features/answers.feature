Feature: Each request gets its one true answer, whatever happens at any point of its way
  A caller asks one daemon, which asks the queue's owner, which asks the store. Each of them waits for something
  that others share: a channel, an ownership, a record under way. Whatever ends one of these waits, the caller is
  still told what became of its request, once, and a refusal or an acceptance that it is told is true.

  Background:
    Given callers' requests, each to a daemon of two
      | request            | situation                                     |
      | new job            | its job is new                                |
      | new job            | its job is on record                          |
      | new job            | its job is being stored                       |
      | new job            | the owner isn't known yet, its job is new     |
      | new job            | the asked daemon is the owner, its job is new |
      | cancelling         | its job is on record                          |
      | cancelling         | its job is being stored                       |
      | cancelling         | its job is unknown                            |
      | cancelling         | the owner isn't known yet                     |
      | cancelling         | the asked daemon is the owner                 |
      | question for a job | its job is on record                          |
      | question for a job | its job is unknown                            |
      | question for a job | the owner isn't known yet                     |
      | question for a job | the asked daemon is the owner, its job is new |
      | count of a queue   | its job is on record                          |
      | count of a queue   | the owner isn't known yet                     |

  Scenario Outline: The handling of a request fails or is cancelled where the <side> daemon waits
    A caller's request was read whole; then a fault of ours, or a cancellation, hits its handling.
    Callers used to see nothing until the connection ended, as the task that owed the answer had ended.

    When at each point where the <side> daemon waits, one of these comes
      | trouble                             |
      | an error is raised                  |
      | an error is raised afterwards       |
      | a cancellation is raised            |
      | a cancellation is raised afterwards |
      | its task is cancelled               |
    Then each request gets its one true answer, and nothing is left open
    And there were such points in the handling of <requests>

    Examples:
      | side   | requests                                                  |
      | asked  | new job, cancelling, question for a job, count of a queue |
      | owning | new job, cancelling, question for a job                   |

  Scenario Outline: Others end what the <side> daemon waits for
    A caller's request waits for a channel, or for an ownership, that other calls and records share. One of those
    ends it: the wait is over without an outcome. The caller is told that, and doesn't wait for nothing.

    When at each point where the <side> daemon waits, one of these comes
      | trouble                            |
      | another call's time is over        |
      | the channel is closed              |
      | the shard is given up              |
      | the shard goes to the other daemon |
      | a part of the ownership fails      |
    Then each request gets its one true answer, and nothing is left open
    And there were such points in the handling of <requests>

    Examples:
      | side   | requests                                                  |
      | asked  | new job, cancelling, question for a job, count of a queue |
      | owning | new job, cancelling, question for a job                   |

  Scenario Outline: The store falls silent while the <side> daemon waits
    The store takes no calls, or does what it is asked to and doesn't say so; both come to light late, after the
    caller was answered. A job that was refused meanwhile isn't on record then either.

    When at each point where the <side> daemon waits, one of these comes
      | trouble                        |
      | the store gets no calls        |
      | the store's answers don't come |
    Then each request gets its one true answer, and nothing is left open
    And there were such points in the handling of <requests>

    Examples:
      | side   | requests                                                  |
      | asked  | new job, cancelling, question for a job, count of a queue |
      | owning | new job, cancelling, question for a job                   |

  Scenario Outline: A daemon leaves while the <side> daemon waits
    The owner stops answering calls, or the asked daemon ends its connections, as processes do that were told to
    stop. What was read whole is answered before; what isn't read any more is owed nothing.

    When at each point where the <side> daemon waits, one of these comes
      | trouble                      |
      | the owner's server stops     |
      | the front is stopped         |
      | the front is stopped at once |
    Then each request gets its one true answer, and nothing is left open
    And there were such points in the handling of <requests>

    Examples:
      | side   | requests                                                  |
      | asked  | new job, cancelling, question for a job, count of a queue |
      | owning | new job, cancelling, question for a job                   |

  Scenario: The asked daemon's front stops while a request arrives
    A caller sends a request on an open connection as its daemon stops reading. Either the connection ends and nothing
    has been done, or the request is read and answered; its bytes may lie in the daemon for some turns of its event
    loop before that shows.

    When the asked daemon's front stops in each of the 16 turns after a request's sending
    Then each request gets its one true answer, and nothing is left open
    And some of the requests were read, and some were not

  Scenario: Several of these come while one request is handled
    A daemon that leaves, a store that is silent and a fault of ours may hit the same request one after another,
    on both daemons. The second hits what has been done about the first: a repeated call, a fallback.

    When several of all these come at points drawn with seed 7, in 100 cases
    Then each request gets its one true answer, and nothing is left open
    And many requests were hit more than once
