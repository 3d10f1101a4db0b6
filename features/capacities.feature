Feature: An executor is given no more work than its current capacity allows
  An executor publishes its capacity in its entry. The capacity shrinks, even to nothing, and grows
  while the executor runs. An executor that doesn't check its capacity starts everything it is sent.

  Scenario Outline: No executor is overloaded with the fault "<fault>" if executors <guards>
    Guards against starting tasks by an outdated capacity, and against losing jobs as capacity
    shrinks.

    When 24 jobs are submitted while executors <guards>, with the fault "<fault>" <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | fault                              | guards               | times |
      | capacities shrink                  | refuse what is large | 2     |
      | capacities shrink                  | start everything     | 2     |
      | capacities shrink unseen           | start everything     | 1     |
      | capacities shrink and owner killed | start everything     | 2     |
      | owner killed                       | start everything     | 2     |
      | all killed                         | start everything     | 2     |
      | store down                         | start everything     | 1     |
      | executors lose answers             | start everything     | 2     |
      | wave comes                         | start everything     | 1     |

  Scenario: A task that is being stopped uses capacity for as long as its executor lists it
    Guards against starting a task in the capacity of one that a former owner's cancelled job still
    uses while it stops slowly.

    When a job that fills its executors is cancelled, its owner is killed, and another job is submitted
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: The capacity is checked again before a queued start is sent
    Guards against a start that is decided before the capacity shrinks and sent afterwards.

    When starts are queued for an executor whose capacity then shrinks to nothing
    Then no start was sent to it before its capacity had grown again
    And all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A pool with work for <work> of its 4 executors lacks <missing> at capacities <capacities>
    Guards against counting an executor with a reduced capacity as a whole machine of its pool.

    When a pool has work for <work> executors, and its 4 have the shares <capacities> of their capacity
    Then the pool lacks <missing> machines

    Examples:
      | work | capacities        | missing |
      | 4    | 1,1,1,1           | 0       |
      | 4    | 1,1,1,0           | 1       |
      | 4    | 1,1,0,0           | 2       |
      | 4    | 0.5,0.5,0.5,0.5   | 4       |
      | 2    | 1,1,0,0           | 0       |
