Feature: Peers talk over streams that break, go silent and come back

  A stream whose path was lost stays open for good: what is written goes nowhere, nothing fails, and
  a new connection would work. Calls between entry hosts time out for as long as the stream is kept.

  Scenario Outline: peers open a silent stream anew within a bounded time
    Given peers e1 and e2 with a path between them that can be cut
    When peers' path is <cut>
    Then peers' calls are answered again within <within> s

    Examples:
      | cut                                  | within |
      | silent on all open connections       | 8      |
      | closed on all open connections       | 6      |
      | silent for 4 s, for new ones as well | 14     |

  Scenario: slots of peers that are killed and frozen come back once and not twice
    # Three entry hosts take slots as fast as they can. One is killed while it uses some: the
    # executors go on with them. One is stopped with slots in its hands, wakes, and must not use
    # them: the others have them by now.
    Given members e1, e2, e3 that know only the address of e1
    When peers take slots while e3 is killed and e2 is frozen for 9 s
    Then slots in use were never more than 8 at an executor, by the processes' own record
    And peers that are left can use every slot

  Scenario Outline: a call whose <handler> at the peer <ends> is told so
    The peer has read the call, and something that its handler waits for or reads fails or was cancelled.
    The calling entry host waited for its whole time, and the caller's request with it, although no
    answer could come any more.
    Given peers p1 and p2 in one process
    When peers' call has its <handler> fail as it <ends>
    Then peers' call is told of a failure, and the next call is answered

    Examples:
      | handler        | ends         |
      | plain function | fails        |
      | plain function | is cancelled |
      | coroutine      | fails        |
      | coroutine      | is cancelled |

  Scenario Outline: peers whose <which> stream can't be opened for a while find each other: <reason>
    Opening a stream meets something that nobody expected: the certificate's file is just being replaced,
    a fault of ours, a call that gRPC has cancelled. The task that opens it ended, and was taken for one
    that goes on, so that the two never talked again: calls between them timed out until a restart.
    Given peers p1 and p2 in one process with certificates
    When peers can't open their <which> stream for a while: <reason>
    Then peers are connected again, and the next call is answered

    Examples:
      | which | reason                           |
      | first | opening fails by a fault         |
      | first | opening is cancelled             |
      | next  | the certificate's file is away   |
      | next  | opening fails by a fault         |
      | next  | opening is cancelled             |
      | next  | the tasks that keep it end       |
