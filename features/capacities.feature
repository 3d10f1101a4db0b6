Feature: An executor is given no more than its capacity of this moment
  An executor says in its entry how much it holds. That shrinks and grows while it runs, down to nothing;
  one that doesn't refuse what is too much starts whatever it is told to.

  Scenario Outline: No executor gets too much under the trouble "<trouble>", whether it <guards>
    Guards against starts by a capacity of a while ago, and against jobs that are lost as it shrinks.

    When 24 jobs come while executors <guards> and the trouble "<trouble>" comes, <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | trouble                            | guards               | times |
      | capacities shrink                  | refuse what is large | 2     |
      | capacities shrink                  | start everything     | 2     |
      | capacities shrink unseen           | start everything     | 1     |
      | capacities shrink and owner killed | start everything     | 2     |
      | owner killed                       | start everything     | 2     |
      | all killed                         | start everything     | 2     |
      | store down                         | start everything     | 1     |
      | executors lose answers             | start everything     | 2     |
      | wave comes                         | start everything     | 1     |

  Scenario: What is being stopped counts for as long as it is listed
    Guards against a start into the room of a task that another owner's job had, and that ends slowly.

    When a job of whole executors is cancelled, its owner killed, and another job is handed in
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: Starts that wait their turn are held against the capacity once more
    Guards against a start that was decided before its executor shrank, and sent after.

    When starts wait their turn at an executor whose capacity shrinks to nothing meanwhile
    Then nothing was sent to it before its capacity had grown again
    And all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A pool with work for <work> of its 4 executors lacks <missing>: <capacities>
    Guards against executors that have shrunk and count as whole machines of their pool.

    When a pool has work for <work> executors, and its 4 hold <capacities> of theirs
    Then the pool lacks <missing> machines

    Examples:
      | work | capacities        | missing |
      | 4    | 1,1,1,1           | 0       |
      | 4    | 1,1,1,0           | 1       |
      | 4    | 1,1,0,0           | 2       |
      | 4    | 0.5,0.5,0.5,0.5   | 4       |
      | 2    | 1,1,0,0           | 0       |
