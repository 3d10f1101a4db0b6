Feature: Slots of executors hold as the sum over all entry hosts

  An executor runs 8 requests at once. Were entry hosts to send it more, the surplus would wait
  there, where it can't be shed or given another place. Entry hosts come, go, freeze and lose each
  other at any moment. Through all of it no executor may get a ninth request, and when all is well
  again none of its slots may stay lost.

  Scenario Outline: slots stay within the executors' limit whatever happens to the entry hosts
    Given slots are shared by <entries> entry hosts on a network that is <network>
    When slots are asked for while entry hosts <events>
    Then slots in use never exceeded 8 at any executor
    And slots all came back when the trouble was over

    Examples:
      | entries | network    | events                                    |
      | 8       | orderly    | are killed and replaced                   |
      | 8       | lossy      | are killed and replaced                   |
      | 5       | reordering | are killed, replaced, parted and frozen   |
      | 8       | lossy      | are killed, replaced, parted and frozen   |
      | 3       | reordering | are parted and frozen                     |
      | 6       | lossy      | are killed and replaced and lose the log  |
      | 5       | reordering | are killed, parted, frozen, lose the log  |

  Scenario Outline: slots are not used by a few that count others' earlier runs
    # An executor gets eleven requests. Its entry hosts have gone on as new runs, then two of five
    # lose the others and the log. Did they still have an earlier run noted as live, they would count
    # it, take themselves for a majority, and go on using what the other three have taken over.
    Given slots are shared by 5 entry hosts on a network that is orderly
    When slots are left to 2 entry hosts that <have> heard of the others' new runs
    Then slots are refused by those 2, which know no majority
    And slots' entry hosts counted once each, by their latest run

    Examples:
      | have     |
      | have     |
      | have not |

  Scenario Outline: slots that can't be had are refused at once and truthfully
    # A caller that is going to be refused anyway loses the time in which it could have gone elsewhere.
    # Its request stands in a queue, the queue's drain rate says that its turn comes too late, yet it
    # is told only at its deadline.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots are asked for at <load> times capacity with <patience> s of patience
    Then slots refused were refused within <within> s, with a spread time to come back
    And slots were given to the more urgent first

    Examples:
      | load | patience | within |
      | 1.5  | 1        | 1.0    |
      | 3    | 1        | 1.0    |
      | 3    | 0.3      | 0.3    |

  Scenario: slots of one service are not taken by another's overload
    # Five times its capacity comes for one service, and the callers of another wait although its
    # executors are idle, because both wait in one queue or one limit counts for both.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots of service s0 are asked for at 5 times capacity and of s1 at 0.5
    Then slots of service s1 were given as if it were alone

  Scenario: a caller that hangs up doesn't take a slot from the next one
    # It waits for a slot and hangs up; in the same moment another request ends. The one that waits has
    # been cancelled and still stands in the queue: handed the slot, it can't take it, the slot is lost
    # for good, and the request that had ended well is told as failed.
    Given slots are shared by 4 entry hosts on a network that is orderly
    When slots of service s0 are all taken, and the first of two that wait hangs up as one is released
    Then slots' next waiter has got it, and the released one failed nobody
