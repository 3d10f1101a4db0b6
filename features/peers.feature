Feature: Peers exchange messages over streams that break, go silent and are reopened

  A stream whose network path was lost stays open forever: what is written is lost without an error,
  though a new connection would work. Calls between entry hosts time out until the stream is closed.

  Scenario Outline: peers reopen a silent stream within a bounded time
    Given peers e1 and e2 with a path between them that can be cut
    When peers' path is <cut>
    Then peers' calls are answered again within <within> s

    Examples:
      | cut                                  | within |
      | silent on all open connections       | 8      |
      | closed on all open connections       | 6      |
      | silent for 4 s, for new ones as well | 14     |

  Scenario: slots of peers that are killed and frozen become free once and not twice
    # Three entry hosts take slots as fast as they can. One is killed while it uses some, and the
    # executors continue the work. One is frozen while it holds slots, resumes, and must not use
    # them, as the others hold them by now.
    Given members e1, e2, e3 that know only the address of e1
    When peers take slots while e3 is killed and e2 is frozen for 9 s
    Then slots in use were never more than 8 at an executor, as recorded by the processes
    And the remaining peers can use every slot

  Scenario Outline: a call whose <handler> at the peer <ends> is told so
    The peer has read the call, and something that its handler awaits or reads fails or was cancelled.
    The calling entry host, and the caller's request with it, waited for the full timeout, although
    no answer could arrive any more.
    Given peers p1 and p2 in one process
    When peers' call has its <handler> fail as it <ends>
    Then peers' call is told of a failure, and the next call is answered

    Examples:
      | handler        | ends         |
      | plain function | fails        |
      | plain function | is cancelled |
      | coroutine      | fails        |
      | coroutine      | is cancelled |

  Scenario Outline: calls of <callers> are answered while both dial and <first> learns of its stream first
    # Guards against a message that is lost on a stream which the other end refuses or replaces.
    Given peers p1 and p2 in one process
    When peers have dialled each other, <callers> call, and <first> learns of its stream first
    Then peers' calls are all answered by handlers that ran once for each

    Examples:
      | callers   | first |
      | p1        | p1    |
      | p1        | p2    |
      | p2        | p1    |
      | p2        | p2    |
      | p1 and p2 | p1    |
      | p1 and p2 | p2    |

  Scenario Outline: peers whose <which> stream can't be opened for a while connect later: <reason>
    Opening a stream fails unexpectedly: the certificate's file is just being replaced, the code has a
    bug, or gRPC has cancelled the call. The task that opens the stream ended, yet counted as running, so
    the two never connected again: calls between them timed out until a restart.
    Given peers p1 and p2 in one process with certificates
    When peers can't open their <which> stream for a while: <reason>
    Then peers are connected again, and the next call is answered

    Examples:
      | which | reason                            |
      | first | opening raises an error           |
      | first | opening is cancelled              |
      | next  | the certificate's file is missing |
      | next  | opening raises an error           |
      | next  | opening is cancelled              |
      | next  | the tasks that keep it open end   |
