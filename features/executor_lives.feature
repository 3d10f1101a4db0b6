Feature: An executor that restarts under the same id is recognised by when it started
  It runs and knows nothing from before, and its clock and its end numbers begin anew. Its id, its address and its machine
  are the same, so only the stated start tells it from the former incarnation.

  Scenario Outline: An executor restarts while jobs run, and its new incarnation is seen first in <seen>
    Guards against waiting for runs of the former incarnation, and against hiding the ends of the new one behind the
    numbers of the former: their tasks ran twice, or their jobs didn't end.

    Given owners on a fake platform whose executors state when they started
    When an executor that runs tasks restarts, <times> times, and <seen> shows it first
    Then each restart was recognised once, and no lease was waited for
    And all jobs have ended as completed
    And no promise was broken
    And no end was hidden

    Examples:
      | seen     | times |
      | an entry | 1     |
      | a report | 1     |
      | an entry | 3     |
      | a report | 3     |

  Scenario: A report of the former incarnation arrives after the new one's entry
    Its end numbers are higher than the new incarnation's. If they counted, the next ends would be taken for known ones.

    Given owners on a fake platform whose executors state when they started
    When an executor restarts, and 3 polls of it are answered by reports of the former incarnation
    Then no run of the late reports was adopted or stopped
    And no end was hidden
    And all jobs have ended as completed
    And no promise was broken

  Scenario: An executor restarts after its machine's wall clock was set back
    Its start looks older than that of the former incarnation. Guards against an executor that is never used again.

    Given owners on a fake platform whose executors state when they started
    When an executor restarts, with a start that is 100 s before the former one
    Then the executor that started again is used
    And all jobs have ended as completed
    And no promise was broken

  Scenario Outline: The owner dies, and its successor finds the record of an older incarnation, newer in <seen>
    Guards against tasks that wait until the leases of an incarnation have lapsed that has surely ended.

    Given owners on a fake platform whose executors state when they started
    When the owner dies while an executor restarts that runs tasks, and <seen> shows it first
    Then each restart was recognised once, and no lease was waited for
    And all jobs have ended as completed
    And no promise was broken

    Examples:
      | seen     |
      | an entry |
      | a report |

  Scenario: The owner stands still while an executor restarts
    The acknowledgement that the owner was about to send would reach the new incarnation. It would hide that many ends
    there, and completed tasks would be started again.

    Given owners on a fake platform whose executors state when they started
    When the owner stands still for 1.35 s while an executor with acknowledged ends restarts
    Then no poll acknowledged an end to the new incarnation that it hadn't reported
    And all jobs have ended as completed
    And no promise was broken

  Scenario: An acknowledgement for the former incarnation has reached the new one all the same
    Ends may stay hidden there, so nothing is started on it.

    Given owners on a fake platform whose executors state when they started
    When the owner stands still for 1.35 s while an executor restarts, and acknowledges as if it hadn't
    Then nothing was started on the new incarnation once it was recognised
    And all jobs have ended as completed
    And no promise was broken

  Scenario: A lease that was granted by the former incarnation's clock reaches the new one, which is then cut off
    The new incarnation's clock has just begun, so its lease lasts for longer than its owner has asked for. Its tasks would
    run twice if they were started elsewhere when the lease has lapsed by the owner's reckoning.

    Given owners on a fake platform whose executors state when they started
    When the owner stands still for 1.35 s while an executor restarts, which is cut off once it runs long tasks
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: A start that was meant for the former incarnation reaches the new one
    If all runs of the former incarnation were given up at once, this one would run twice.

    Given owners on a fake platform whose executors state when they started
    When an executor restarts while a start is on its way to it
    Then all jobs have ended as completed
    And no promise was broken

  Scenario: A start that was meant for the former incarnation reaches the new one, and the owner dies
    Guards against starting the task again before the new incarnation has told its next owner what runs there.

    Given owners on a fake platform whose executors state when they started
    When an executor restarts while a start is on its way to it, and the owner dies
    Then all jobs have ended as completed
    And no promise was broken

  Scenario Outline: A task's crashes count where ids are reused after <seconds> s and the owner <fate> each time
    Guards against a crash that is retracted because the new incarnation answers, to an owner that has dropped the former
    one, or that has taken over since.

    Given owners on a fake platform whose executors state when they started
    When a job's only task crashes its executors, which start again <seconds> s later, and the owner <fate> each time
    Then all jobs have ended as failed
    And no promise was broken

    Examples:
      | seconds | fate    |
      | 3       | goes on |
      | 12      | goes on |
      | 3       | dies    |

  Scenario: An executor restarts under the id that the fleet's owner has told its pool of as ended
    Guards against an executor that is never used again, as its id is on the list of removed ones.

    Given owners on a fake platform whose executors state when they started
    When the only executor is ordered away and starts again, while its id is still named as ended
    Then the executor that started again is used
    And all jobs have ended as completed
    And no promise was broken

  Scenario: A new owner is told that an executor has ended whose new incarnation it hasn't heard yet
    Guards against tasks that are started elsewhere while the new incarnation runs them under the former owner's lease.

    Given owners on a fake platform whose executors state when they started
    When the owner dies, and its successor is told that each listed executor has ended
    Then the successor drops none of them
    And all jobs have ended as completed
    And no promise was broken

  Scenario Outline: The fleet's owner finds an ended executor listed again, where starts are <stated>
    Guards against pools that drop a new incarnation, as they are told for 20 s that its id has ended. Where starts aren't
    stated, ids aren't reused, and a list that is late may still have an executor that has ended.

    Given owners on a fake platform whose executors state when they started
    When the fleet's owner has marked an executor as ended that is listed, where starts are <stated>
    Then pools are <told> that it has ended

    Examples:
      | stated     | told           |
      | stated     | no longer told |
      | not stated | told           |

  Scenario Outline: A task that crashes its executors <when> fails its job with the fault "<fault>", though ids are reused
    Guards against taking the answer of a new incarnation for one of the crashed, which retracts the crash: the task would
    be started on one executor after the other.

    Given owners on a fake platform whose executors state when they started
    When a job of 6 tasks, one of which crashes its executors <when>, runs with the fault "<fault>"
    Then all jobs have ended as failed
    And no promise was broken

    Examples:
      | when            | fault        |
      | at the start    | none         |
      | late in the run | none         |
      | at the start    | owner killed |
      | at the start    | all killed   |
      | at the start    | store down   |

  Scenario Outline: Jobs complete with the fault "<fault>" where executors state when they started
    Guards against faults of polls and starts that are held back until an incarnation is confirmed.

    Given owners on a fake platform whose executors state when they started
    When 8 jobs of two steps are submitted, with the fault "<fault>" <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | fault                         | times |
      | none                          | 1     |
      | owner killed                  | 2     |
      | owner frozen                  | 2     |
      | store slow                    | 1     |
      | executor crashes              | 2     |
      | executor loses power          | 2     |
      | executor cut and owner killed | 1     |
      | orders held up                | 2     |
      | executors lose answers        | 1     |
      | executor drains               | 2     |
      | wave comes                    | 1     |

  Scenario Outline: A stated start of <stated> beside a known one of <known> is <result>
    Guards against telling incarnations apart where executors don't state when they started.

    Then a stated start of <stated> beside a known one of <known> is <result>

    Examples:
      | known | stated | result |
      | none  | none   | same   |
      | none  | 7      | same   |
      | 7     | none   | same   |
      | 7     | 7      | same   |
      | 7     | 8      | newer  |
      | 8     | 7      | older  |

  Scenario Outline: The record of an executor that <states> its start
    Guards against records that an older daemon can't read, although they say nothing that is new to it.

    Then the record of an executor that <states> its start has <count> fields, and is read as it was

    Examples:
      | states       | count |
      | doesn't state | 11   |
      | states       | 12    |

  Scenario Outline: An answer of an executor with a start of <born> is <result>
    Guards against a start that is mistaken for another one, or for none.

    Then an answer of an executor with a start of <born> is <result>

    Examples:
      | born             | result                     |
      | 1700000000123    | read with 1700000000123    |
      | none             | read with None             |
      | "soon"           | invalid                    |
      | -1               | invalid                    |
      | 1700000000000.5  | invalid                    |
      | 9007199254740992 | invalid                    |

  Scenario: A lease that was granted by the clock of a former incarnation
    Its end isn't known, so it counts as the longest that the platform grants.

    Then an unknown lease of 10 s lapses over 10 s after the first answer
