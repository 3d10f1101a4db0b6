Feature: A job that was cancelled before it was known to be accepted doesn't run
  A caller cancels a job whose acceptance is open: its record isn't known to be stored, or its submission is on its way.

  Scenario Outline: A job is cancelled <when>, with the fault "<fault>"
    Guards against a job that runs on for nobody, as its cancelling was answered by "no such job".

    When a job is submitted and cancelled <when>, with the fault "<fault>"
    Then the cancelling was answered in time, and each time that nobody knows is told so
    And nothing of the job is started later than 3 s after its cancelling was answered
    And no daemon shows the job as going on, or says 410 and then shows it
    And no promise was broken

    Examples:
      | when                                          | fault                 |
      | at once                                       | none                  |
      | at once                                       | owner killed          |
      | at once                                       | owner stopped         |
      | at once                                       | dealt anew            |
      | at once                                       | store loses answers   |
      | 0.005 s later                                 | none                  |
      | 0.005 s later                                 | owner killed          |
      | 0.05 s before                                 | none                  |
      | 0.05 s before                                 | owner killed          |
      | 0.05 s before                                 | owner stopped         |
      | 0.05 s before                                 | all killed            |
      | 1 s before                                    | all killed            |
      | while the answers of its record are lost      | none                  |
      | while the answers of its record are lost      | owner killed          |
      | while the answers of its record are lost      | owner stopped         |
      | while the answers of its record are lost      | owner frozen          |
      | while the answers of its record are lost      | owner cut from store  |
      | while the answers of its record are lost      | dealt anew            |
      | while the answers of its record are lost      | all killed            |
      | while the answers of its record are lost      | partition away        |
      | three times while the answers of its record are lost | owner killed   |
      | three times while the answers of its record are lost | none           |
      | after it was accepted, its submission repeated | none                 |
      | after it was accepted, its submission repeated | owner killed         |

  Scenario Outline: A job that is cancelled <when> stays cancelled at the next owner
    Guards against an owner that finds the record which nobody settled, and starts the job.

    When a job is cancelled <when>, the cancelling is answered, and its owner is killed
    Then the next owner shows the job as <shown>, and starts nothing of it
    And its submission is answered with <code>

    Examples:
      | when                             | shown    | code   |
      | before it is submitted           | 410      | MG4035 |
      | while its record is being stored | canceled | MG4020 |

  Scenario: A question that is asked while a job is accepted doesn't say that there is none
    When a job is accepted while a question for it waits for the store
    Then the question is answered with the job's state

  Scenario: A cancelling that the store doesn't take is refused or said to be unknown
    When a job that isn't known is cancelled while the store is down
    Then its cancelling isn't answered by 2xx or 410

  Scenario: What was cancelled early is forgotten once its id isn't kept any more
    When a job that isn't known is cancelled, and 200 s pass
    Then the store has no record of its cancelling
