Feature: A task that crashes its executors is given up, and costs its neighbours little
  An executor that a task crashes closes its connections and is back some seconds later, as another
  incarnation that runs nothing and says nothing of what it ran.

  Scenario: A job whose task crashes each executor that starts it ends as failed
    Guards against a task without a count of its crashes, which takes down executor after executor.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors as they start it, meets the trouble "none"
    Then all jobs have ended as failed
    And no promise was broken

  Scenario Outline: A task that crashes its executors <when> ends its job under the trouble "<trouble>"
    Guards against a count of crashes that a takeover or an outage of the store loses.

    Given owners on a fake platform
    When a job of <width> tasks, one of which crashes its executors <when>, meets the trouble "<trouble>"
    Then all jobs have ended as failed
    And no promise was broken

    Examples:
      | when               | width | trouble                         |
      | as they start it   | 1     | none                            |
      | as they start it   | 6     | none                            |
      | late in its work   | 1     | none                            |
      | late in its work   | 6     | none                            |
      | as they start it   | 6     | owner killed                    |
      | as they start it   | 6     | all killed                      |
      | as they start it   | 6     | owner stopped                   |
      | as they start it   | 6     | store down                      |
      | as they start it   | 6     | partition away and owner killed |
      | as they start it   | 6     | owner cut from store            |
      | as they start it   | 6     | store loses answers             |
      | as they start it   | 6     | dealt anew                      |
      | as they start it   | 6     | orders held up                  |
      | late in its work   | 6     | owner killed                    |

  Scenario Outline: Sound jobs beside <each> that crash executors <when> end well: <trouble>
    Guards against neighbours that are blamed for a crash, and given up with the task that caused it.

    When <jobs> jobs come at one each <gap> s, <each> of them crashing executors <when>, and <trouble>
    Then all sound jobs have completed, all others have failed, and no promise was broken

    Examples:
      | jobs | gap  | each         | when             | trouble                         |
      | 60   | 0.1  | one in six   | as they start it | none                            |
      | 60   | 0.1  | one in six   | late in its work | none                            |
      | 60   | 0.1  | one in three | as they start it | none                            |
      | 60   | 0.1  | one in three | late in its work | none                            |
      | 120  | 0.08 | one in six   | as they start it | none                            |
      | 40   | 0.1  | one in six   | as they start it | owner killed                    |
      | 40   | 0.1  | one in six   | as they start it | all killed                      |
      | 40   | 0.1  | one in six   | as they start it | owner stopped                   |
      | 40   | 0.1  | one in six   | as they start it | store down                      |
      | 40   | 0.1  | one in six   | as they start it | store slow                      |
      | 40   | 0.1  | one in six   | as they start it | partition away and owner killed |
      | 40   | 0.1  | one in six   | as they start it | executor crashes                |
      | 40   | 0.1  | one in six   | as they start it | executor loses power            |
      | 40   | 0.1  | one in six   | as they start it | executor cut                    |
      | 40   | 0.1  | one in six   | as they start it | executors lose answers          |
      | 40   | 0.1  | one in six   | as they start it | orders held up                  |
      | 40   | 0.1  | one in six   | late in its work | owner killed                    |

  Scenario Outline: Jobs whose executors go down by themselves complete: <trouble>, <times> times in a row
    Guards against a sound job that is given up for a bad rack, a cut or a machine without power.

    Given owners on a fake platform
    When 8 jobs of two steps are handed in under the trouble "<trouble>", <times> times in a row
    Then all jobs have ended as completed
    And no promise was broken

    Examples:
      | trouble              | times |
      | executor crashes     | 6     |
      | executor loses power | 4     |
      | rack crashes         | 4     |
      | rack is cut reset    | 4     |
      | address reused       | 6     |
      | executor drains      | 4     |

  Scenario Outline: A crash counts as <stood> for a run that <was>, beside <beside>
    Guards against a task that is blamed for what another one did, and one that is never blamed.

    When an executor closes its connections under a run that <was>, beside <beside>
    Then the crash counts as <stood> for that run

    Examples:
      | was                      | beside                | stood          |
      | had just been started    | nothing               | ONLY_STARTED   |
      | had just been started    | runs at work          | ONLY_STARTED   |
      | had just been started    | others just started   | STARTED        |
      | was at work              | others just started   | BESIDE_STARTED |
      | was at work              | runs at work          | AT_WORK        |
      | was at work              | nothing               | ONLY_AT_WORK   |
      | got no answer to a start | runs at work          | ONLY_STARTED   |
      | was answered 1 s ago     | runs at work          | AT_WORK        |
      | was never sent           | nothing               | no crash       |
      | was never sent           | runs at work          | no crash       |
      | was at work              | a prime suspect       | BESIDE_STARTED |
      | is the prime suspect     | runs at work          | ONLY_AT_WORK   |

  Scenario Outline: After the crashes <crashes> a task <fate>
    Guards against a sound task that is given up, and one that is started too often.

    When executors have crashed under a task that stood <crashes>
    Then that task <fate>

    Examples:
      | crashes                                                     | fate                |
      | BESIDE_STARTED                                              | is started anywhere |
      | AT_WORK                                                     | is started anywhere |
      | BESIDE_STARTED,BESIDE_STARTED                               | is started anywhere |
      | STARTED                                                     | is started apart    |
      | ONLY_STARTED                                                | is started apart    |
      | STARTED,seen at work                                        | is started anywhere |
      | BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED                | runs alone          |
      | AT_WORK,AT_WORK                                             | runs alone          |
      | STARTED,STARTED                                             | runs alone          |
      | AT_WORK,AT_WORK,seen at work                                | runs alone          |
      | AT_WORK,AT_WORK,ONLY_AT_WORK                                | runs alone          |
      | STARTED,ONLY_STARTED                                        | is given up         |
      | STARTED,perhaps ONLY_STARTED                                | runs alone          |
      | perhaps ONLY_AT_WORK,perhaps ONLY_AT_WORK                   | runs alone          |
      | ONLY_STARTED,ONLY_STARTED                                   | is given up         |
      | ONLY_AT_WORK,ONLY_AT_WORK                                   | is given up         |
      | AT_WORK,AT_WORK,AT_WORK,AT_WORK                             | runs alone          |
      | AT_WORK,AT_WORK,AT_WORK,ONLY_AT_WORK                        | is given up         |
      | AT_WORK,AT_WORK,AT_WORK,AT_WORK,AT_WORK                     | is given up         |
      | BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED,BESIDE_STARTED | is given up |

  Scenario: A task isn't started again before its crash is on record
    Guards against a start that the next owner, after power is lost, wouldn't know to count.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors as they start it, meets no durable record
    Then the task was started once
    And no promise was broken

  Scenario: Each host tells why a job was given up, also after a takeover
    Guards against a caller who sees only "failed", or another reason from another host.

    Given owners on a fake platform
    When a job of 6 tasks, one of which crashes its executors as they start it, is asked for at each host
    Then each host says "2 executors crashed under task 0.0.0", before and after a takeover

  Scenario Outline: While tasks crash executors, sound jobs lose less work: <each>, <jobs> jobs
    Pattern: short jobs at a steady pace, some of which crash executors as these start them.
    Guards against jobs that are packed onto the executors that go down next.

    When <jobs> jobs come at one each <gap> s, <each> crashing executors, with and without spreading
    Then fewer runs of sound jobs were lost with spreading, and all sound jobs have completed

    Examples:
      | jobs | gap  | each          |
      | 60   | 0.1  | one in six    |
      | 120  | 0.08 | one in six    |
      | 60   | 0.1  | one in three  |
      | 120  | 0.05 | one in twelve |

  Scenario Outline: Tasks that last go on beside <each> that crash executors <when>
    Guards against a task that lasts and is given up for what is started beside it in its time.

    When <jobs> jobs come at one each 0.1 s, one in <each> crashing executors <when>, beside 3 that last
    Then the jobs that last are running, all sound jobs have completed, and no promise was broken

    Examples:
      | jobs | each | when             |
      | 60   | six  | as they start it |
      | 60   | six  | late in its work |
      | 60   | three | as they start it |
