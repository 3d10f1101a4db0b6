Feature: A task that crashes its executors is given up, and costs its neighbours little
  An executor that a task crashes closes its connections and is back some seconds later, as another
  incarnation that runs nothing and says nothing of what it ran.

  Scenario: A job whose task crashes each executor that starts it ends as failed
    Guards against a task without a count of its crashes, which takes down executor after executor.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors as they start it, meets the trouble "none"
    Then all jobs have ended as failed
    And no promise was broken
