Feature: Actors carry out decisions on the platform
  Each decision on the log takes effect on the platform once, whatever faults occur.

  Scenario Outline: A host is maintained with the fault "<fault>"
    Callers aren't affected, and the operator sees the wave end. Between two steps of a host an
    answer is lost, an actor dies or resumes after a freeze, or a second actor acts at the same
    time. Each step is decided anew from the log and the view, its operation has the same id on all
    daemons, and an older epoch is rejected.

    Given actors of two daemons on a fake platform
    When actors maintain r1-w1 with the fault "<fault>"
    Then actors have rebooted r1-w1 once, empty, and it is in service again

    Examples:
      | fault                                |
      | none                                 |
      | answers lost after their effect      |
      | calls that take effect later         |
      | both daemons act at once             |
      | owner killed while draining          |
      | owner killed while drained           |
      | owner killed while rebooting         |
      | owner frozen while draining          |
      | owner frozen while drained           |
      | owner frozen while rebooting         |
      | log down while draining              |
      | log down while rebooting             |
      | power lost while drained             |
      | power lost while rebooting           |
      | owner sees no change of the platform |

  Scenario: A step is retried and logged when something that it awaited is cancelled
    Something that a step awaited was closed by another part. The step is decided anew; without a
    log line the operator couldn't tell why the maintenance of the host takes longer.

    Given actors of two daemons on a fake platform
    When actors maintain r1-w1 and an await of one step of each daemon is cancelled
    Then actors have rebooted r1-w1 once, empty, and it is in service again
    And actors have logged each step that was cancelled

  Scenario: An undrain of an earlier epoch arrives when the host is being rebooted
    A request that runs on the host would be cut off. A drain is cancelled and requested again; the
    undrain in between is delayed. The worker is empty all the time, so nothing else would be sent.
    The undrain is fenced because the worker must first have seen the epoch of the drain.

    Given actors of two daemons on a fake platform
    When actors drain r1-w1, undrain it with a late call, and maintain it
    Then actors have rebooted r1-w1 once, empty, and it is in service again

  Scenario Outline: A daemon with outdated views starts no step: <cause>
    The daemon is disconnected or resumes after a freeze, and would take a step that others have
    since undone. It waits until both views were read again.

    Given actors of two daemons on a fake platform
    When actors of a single daemon have a host to drain after "<cause>"
    Then actors of that daemon have made no calls until both views are fresh

    Examples:
      | cause            |
      | the log is down  |
      | a freeze         |

  Scenario Outline: A worker that <what>
    The worker never becomes empty, or never returns. Its step is abandoned after a bounded time,
    with a numbered code for the operator, and the other hosts aren't held up.

    Given actors of two daemons on a fake platform
    When actors handle a worker that <what>
    Then actors report <code> for it and it ends in phase <phase>

    Examples:
      | what          | code | phase      |
      | never drains  | 4012 | in_service |
      | never returns | 4013 | set_aside  |

  Scenario Outline: A worker goes down while it is <phase>, and comes back
    The budget must stop counting it at once and count it again later, in the same pool. A host that
    an operator drained stays drained.

    Given actors of two daemons on a fake platform
    When actors see r1-w1 go down and come back while it is <phase>
    Then actors have marked it failed in between and <after> in pool batch at the end

    Examples:
      | phase      | after      |
      | in_service | in_service |
      | draining   | drained    |

  Scenario: Machines move between pools while jobs are being placed on them
    A host is drained for another pool between the placement of a job and its start, and the job
    would start on a host that serves requests. It isn't started there, and is placed elsewhere.

    Given actors of two daemons on a fake platform
    When actors move hosts from batch to the service while jobs are placed there
    Then actors have started every job on a host of batch, and each job has run once

  Scenario: The host list shows a host as leaving on short notice
    The service has no margin when the notice arrives, and would have too few executors without the
    host. The replacement must be in service before the host is drained; a planner that isn't told
    leaves the host in service until the platform removes it.

    Given actors of two daemons on a fake platform
    When actors are told that r0-w0 is leaving while its service has no margin
    Then actors have brought its replacement into service before they emptied it

  Scenario: The host list of the platform stand-in shows r1-w1 as leaving
    Given actors in two daemon processes on the platform stand-in
    When actor processes read on the host list that r1-w1 is leaving
    Then actor processes have emptied it alone

  Scenario: A host returns from its reboot after its place in the pool was filled
    The service reached its maximum of hosts meanwhile, so the fold rejects each return of the host
    to service, and a healthy host would be set aside as one that never returned. It becomes a free
    host instead: drained in the same pool, in no wave, for the planner to use elsewhere.

    Given actors of two daemons on a fake platform
    When actors maintain r1-w0 and its place in the pool is filled meanwhile
    Then actors have kept r1-w0 as a free host and the wave has ended

  Scenario Outline: A worker that is <state> in pool "<pool>" is seen for the first time
    The host was mistaken for one that an operator had drained, so a service that lacked hosts would
    wait while a healthy host was unused.

    Given actors of two daemons on a fake platform
    When actors see a new worker that is <state> in pool "<pool>"
    Then actors have assigned it to the service when the service lacks a host

    Examples:
      | state   | pool  |
      | drained |       |
      | drained | batch |
      | up      |       |

  Scenario: Random faults against two daemons
    Given actors of two daemons as a state machine
    Then actors never run or reboot anything twice or cut it off with its fixed seeds

  Scenario: Separate processes with real faults
    Two daemons maintain a rack while answers to operations are lost or operations arrive twice. One
    daemon is frozen (SIGSTOP), later killed (SIGKILL) and restarted. The platform's record must
    show each reboot once, and no request or task cut off.

    Given actors in two daemon processes on the platform stand-in
    When actor processes maintain a rack with lost answers, a freeze and a kill
    Then actor processes have rebooted each host once, empty, and the wave has ended
