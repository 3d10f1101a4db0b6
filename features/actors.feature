Feature: Actors carry decisions out on the platform
  What the log says of hosts takes effect on the platform once, whatever goes wrong on the way.

  Scenario Outline: A host is maintained with the fault "<fault>"
    The caller of a request sees nothing of it; the operator sees the wave end. An answer is lost,
    an actor dies, wakes from a freeze, or a second one acts at the same time, between two steps of
    the same host. It holds because each step is decided anew from the log and the view, its
    operation has one id for all daemons, and an older epoch is turned down.

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
    The operator sees a host's maintenance take longer, and wants to know why. What a step awaited was
    closed by another part; the step is decided anew, but nothing told that it had ended.

    Given actors of two daemons on a fake platform
    When actors maintain r1-w1 and an await of one step of each daemon is cancelled
    Then actors have rebooted r1-w1 once, empty, and it is in service again
    And actors have logged each step that was cancelled

  Scenario: An undrain of an earlier epoch arrives when the host is being rebooted
    The request that runs on the host would be cut off. A drain is taken back and wanted again, and
    the undrain in between was held up on its way; the worker was empty all the time, so nothing
    else would be sent. It is fenced because the worker must first have seen the drain's own epoch.

    Given actors of two daemons on a fake platform
    When actors drain r1-w1, undrain it with a late call, and maintain it
    Then actors have rebooted r1-w1 once, empty, and it is in service again

  Scenario Outline: A daemon with outdated views starts no step: <cause>
    A step that others have undone long ago would be taken. The daemon is cut off or wakes up while
    its views are old. It waits until both were read again.

    Given actors of two daemons on a fake platform
    When actors of a single daemon have a host to drain after "<cause>"
    Then actors of that daemon have made no calls until both views are fresh

    Examples:
      | cause            |
      | the log is down  |
      | a freeze         |

  Scenario Outline: A worker that <what>
    The operator must learn of it and the rest must go on. The worker never becomes empty, or never
    comes back. Its step is given up after a bounded time, with a numbered code.

    Given actors of two daemons on a fake platform
    When actors handle a worker that <what>
    Then actors report <code> for it and it ends in phase <phase>

    Examples:
      | what          | code | phase      |
      | never drains  | 4012 | in_service |
      | never returns | 4013 | set_aside  |

  Scenario Outline: A worker goes down while it is <phase>, and comes back
    The budget must count it out at once and in again later, in the same pool. What an operator
    wanted out stays out.

    Given actors of two daemons on a fake platform
    When actors see r1-w1 go down and come back while it is <phase>
    Then actors have marked it failed in between and <after> in pool batch at the end

    Examples:
      | phase      | after      |
      | in_service | in_service |
      | draining   | drained    |

  Scenario: Machines move between pools while jobs are being placed on them
    A job would start on a host that serves requests by then. A host is drained for another pool
    between the job's placing and its start. The start is not made, and the job goes elsewhere.

    Given actors of two daemons on a fake platform
    When actors move hosts from batch to the service while jobs are placed there
    Then actors have started every job on a host of batch, and each job has run once

  Scenario: The host list shows a host as leaving on short notice
    Requests would find too few executors once it is gone. The service has no margin when the
    notice comes. The replacement must be in service before the host is emptied; a planner that
    isn't told leaves it where it is until the platform takes it away.

    Given actors of two daemons on a fake platform
    When actors are told that r0-w0 is leaving while its service has no margin
    Then actors have brought its replacement into service before they emptied it

  Scenario: The host list of the platform stand-in shows r1-w1 as leaving
    Given actors in two daemon processes on the platform stand-in
    When actor processes read on the host list that r1-w1 is leaving
    Then actor processes have emptied it alone

  Scenario: A host returns from its reboot after its place in the pool was filled
    A sound host would be given up as one that never returned. Its service has got all the hosts
    that it may hold while it was away, so the fold turns its way back into service down, each time.
    It becomes a free host: drained in the same pool, of no wave, for the planner to use elsewhere.

    Given actors of two daemons on a fake platform
    When actors maintain r1-w0 and its place in the pool is filled meanwhile
    Then actors have kept r1-w0 as a free host and the wave has ended

  Scenario Outline: A worker that is <state> in pool "<pool>" is seen for the first time
    A short service would wait while a sound host stands unused: nobody has asked to keep it out, and
    still it was taken for a host that an operator has drained.

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
    Two daemons maintain a rack while answers of operations are lost or doubled, one daemon is
    frozen (SIGSTOP), later killed (SIGKILL) and started again. The platform's record shows each
    reboot once, and nothing cut off.

    Given actors in two daemon processes on the platform stand-in
    When actor processes maintain a rack with lost answers, a freeze and a kill
    Then actor processes have rebooted each host once, empty, and the wave has ended
