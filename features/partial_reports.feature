Feature: A report that doesn't list all ends isn't taken for a full account of its executor
  An executor lists the oldest 500 of the ends that nobody has acknowledged. What else has ended isn't in its report.

  Scenario Outline: A new owner starts no task again whose end is beyond the first 500, with <executors> executors
    An owner is killed while 1,600 tasks end on an executor. Its successor got the first 500 ends, took the report for a
    full account, and started tasks again that had ended as done.

    Given owners on a fake platform
    When the owner of a job of 1600 small tasks is killed as they end, with <executors> executors and the store <store>
    Then each task was started once, and the job is shown as completed
    And no promise was broken

    Examples:
      | executors | store |
      | 1         | quick |
      | 2         | quick |
      | 1         | slow  |

  Scenario Outline: After a report of 500 ends, <what follows>
    Guards against runs that are started again, stopped or blamed because their ends are yet to be listed.

    Given an executor that runs 3 tasks of its owner's and 700 of a former one's
    When it reports <reports>
    Then <outcome>

    Examples:
      | what follows                                             | reports                                                  | outcome                                               |
      | its account isn't full                                   | 500 ends                                                 | it isn't accounted for                                |
      | its account is full with the others                      | 500 ends, the other 200                                  | it is accounted for                                   |
      | its account is full once a run it listed then has ended  | 500 ends, 499 more and one of a run that it listed       | it is accounted for                                   |
      | its account is full once a run started later has ended   | 500 ends, 499 more and one of a run started since        | it is accounted for                                   |
      | ends of unknown runs leave its account open              | 500 ends, 500 more of unknown runs                       | it isn't accounted for                                |
      | a run that is gone isn't lost                            | 500 ends without a run of the owner's                    | that run isn't lost, nor at work, nor stopped         |
      | a run that is gone is lost once all ends are known       | 500 ends without a run of the owner's, the other 200     | that run is lost                                      |
      | a run that is gone ends as its end comes                 | 500 ends without a run of the owner's, that run's end    | that run has ended, and isn't lost                    |
      | a run that is gone isn't blamed for a crash              | 500 ends without a run of the owner's, and crashes       | the crash counts for the runs that it listed alone    |
      | a run that is gone and listed again is at work           | 500 ends without a run of the owner's, all runs again    | all runs of the owner's are running                   |
      | nothing is placed there                                  | 500 ends                                                 | no room of it is free                                 |
      | room is free once its account is full                    | 500 ends, the other 200                                  | room of it is free                                    |
      | a former owner's run that is gone takes up room          | no end and a stray, 500 ends without the stray           | the stray's room isn't free                           |
      | a former owner's run frees its room as its end is listed | no end and a stray, the stray's end and 499 more         | no stray's room is taken                              |
      | it isn't empty for the fleet's owner                     | 500 ends and no run                                      | its pool's view doesn't show it as empty              |
      | it is empty for the fleet's owner after the last end     | 500 ends and no run, the other 200                       | its pool's view shows it as empty                     |
