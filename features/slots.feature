Feature: All entry hosts together stay within each executor's slots

  An executor runs 8 requests at once. Any further request would wait at the executor, where it can
  be neither shed nor moved. Entry hosts start, stop, freeze and get disconnected from each other at
  any time. Meanwhile no executor may get a ninth request, and after recovery no slot may be lost.

  Scenario Outline: slots stay within the executors' limit whatever happens to the entry hosts
    Given slots are shared by <entries> entry hosts on a network that is <network>
    When slots are requested while entry hosts <events>
    Then slots in use never exceeded 8 at any executor
    And slots were all returned after the faults ended

    Examples:
      | entries | network    | events                                        |
      | 8       | orderly    | are killed and replaced                       |
      | 8       | lossy      | are killed and replaced                       |
      | 5       | reordering | are killed, replaced, partitioned and frozen  |
      | 8       | lossy      | are killed, replaced, partitioned and frozen  |
      | 3       | reordering | are partitioned and frozen                    |
      | 6       | lossy      | are killed and replaced and lose the log      |
      | 5       | reordering | are killed, partitioned, frozen, lose the log |

  Scenario Outline: slots are not used by a minority that counts other hosts' earlier runs
    # Entry hosts have restarted as new runs; then two of five lose the others and the log. If they
    # still counted earlier runs as live, they would take themselves for a majority and go on using
    # slots that the other three have taken over: an executor would get eleven requests.
    Given slots are shared by 5 entry hosts on a network that is orderly
    When the network isolates 2 entry hosts that <have> heard of the others' new runs
    Then slots are refused by those 2, which reach no majority
    And entry hosts were counted once each, by their latest run

    Examples:
      | have     |
      | have     |
      | have not |

  Scenario Outline: slot requests that can't be served are refused early with a retry time
    # By the drain rate a queued request's turn comes too late, but it is refused only at its
    # deadline. Its caller has then lost the time in which another host could have served it.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots are requested at <load> times capacity with a maximum wait of <max_wait> s
    Then slots were refused within <within> s, with jittered retry times
    And slots were granted to more urgent requests first

    Examples:
      | load | max_wait | within |
      | 1.5  | 1        | 1.0    |
      | 3    | 1        | 1.0    |
      | 3    | 0.3      | 0.3    |

  Scenario Outline: slot requests wait for executors that stall for less than the maximum wait
    # Guards against refusing requests at once because a stall of executors is taken for a slow drain.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots are requested at <load> times capacity with a maximum wait of 2 s, and none is released for <stall> s
    Then slots were refused to nobody

    Examples:
      | load | stall |
      | 0.3  | 1.0   |
      | 0.3  | 1.6   |
      | 0.6  | 0.6   |
      | 0.6  | 1.0   |
      | 0.6  | 1.4   |

  Scenario: slots of one service are not taken by another's overload
    # One service gets five times its capacity. With a shared queue or a shared limit, callers of
    # another service would wait although its executors are idle.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots of service s0 are requested at 5 times capacity and of s1 at 0.5
    Then slots of service s1 were granted as if it were alone

  Scenario: a caller that disconnects doesn't take a slot from the next one
    # A waiter is cancelled in the loop iteration in which another request releases its slot. It is
    # still queued but can't accept the slot: the slot would be lost for good, and the request that
    # released it would be reported as failed although it had succeeded.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots of s0 are all taken, and the first of two waiters is cancelled as one is released
    Then the released slot went to the next waiter, and the release raised no error
