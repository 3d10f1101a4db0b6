Feature: Stopping a gRPC server doesn't block the event loop

  Scenario Outline: The threads of gRPC run on when the last server of <which> has stopped
    # Guards against a daemon that is blocked while it stops: gRPC waits for the end of its threads.
    When a process starts a gRPC server of <which> and stops it
    Then the process still has the threads of gRPC

    Examples:
      | which            |
      | calls of daemons |
      | peers            |
