Feature: The occurrences of a scheduled job run once though the owner of their queue changes
  Starts aren't stored: a new owner learns from the executors what the former one has started. Of an
  occurrence without stored progress it knows only when it is due.

  Scenario Outline: The runs of a scheduled job go on with the fault "<fault>", <times> times in a row
    Guards against stopping the runs of occurrences without stored progress, and starting them anew.

    Given owners on a fake platform
    When 2 occurrences of a job are at work and a third comes due, with the fault "<fault>" <times> times in a row
    Then each of its 9 tasks was started once
    And all jobs have ended as completed
    And no promise was broken

    Examples:
      | fault                | times |
      | none                 | 1     |
      | owner stopped        | 1     |
      | owner stopped        | 3     |
      | owner killed         | 1     |
      | owner killed         | 2     |
      | owner frozen         | 1     |
      | owner part fails     | 1     |
      | owner cut from store | 1     |
      | dealt anew           | 2     |

  Scenario Outline: No occurrence runs twice at once with the fault "<fault>", <times> times in a row
    Guards against starting an occurrence anew before all executors that may run it have reported.

    Given owners on a fake platform
    When 2 occurrences of a job are at work and a third comes due, with the fault "<fault>" <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | fault                           | times |
      | all killed                      | 2     |
      | executor cut and owner killed   | 1     |
      | entry lapses and owner killed   | 1     |
      | partition away and owner killed | 1     |
      | partitions in turn              | 1     |

  Scenario: A second takeover happens before the executors have reported to the first new owner
    Guards against an owner that leaves what it was still waiting for to be started anew.

    Given owners on a fake platform
    When 2 occurrences of a job are at work, and its owner stops twice while no executor answers
    Then each of its 9 tasks was started once
    And all jobs have ended as completed
    And no promise was broken

  Scenario Outline: An occurrence whose tasks end while there is no owner isn't run again: <ending>
    Guards against starting a task whose end the new owner hasn't been told of.

    Given owners on a fake platform
    When an occurrence of a job has <ending> when its owner's successor begins
    Then each of its 3 tasks was started once
    And all jobs have ended as completed
    And no promise was broken

    Examples:
      | ending                        |
      | ended everywhere              |
      | ended at an executor cut off  |

  Scenario: An occurrence comes due while its former owner and an executor are cut off together
    Guards against starting an occurrence that came due after the takeover, and that the former owner
    starts as well where only it has a path.

    Given owners on a fake platform
    When an occurrence of a job comes due while its owner and an executor are cut off from all others
    Then the former owner has started tasks of the occurrence
    And all jobs have ended as completed
    And no promise was broken
