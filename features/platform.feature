Feature: mustardgap runs on the users' platform through its adapter
  The daemons run as processes of their own against a stand-in that speaks the platform's protocol.

  Scenario: Names of the platform's wire stay in its adapter
    Then no module outside the adapter names anything of the wire

  Scenario: A job is handed in, runs and is shown as completed, through any daemon
    Given the platform's stand-in and 2 daemons on it
    When a job is handed in through daemon 1
    Then the answer is 200 with code MG4020
    And daemon 2 shows the job as completed
    And each of its tasks has run once on the platform

  Scenario Outline: <what> is answered <status>, and nothing is stored
    Callers send what isn't a job, or ask for what isn't there. They get a numbered answer at once;
    nothing of it runs, and the daemon goes on.

    Given the platform's stand-in and 1 daemons on it
    When callers send <what>
    Then the answer is <status> with code <code>
    And nothing has run on the platform

    Examples:
      | what                              | status | code   |
      | a body that isn't JSON            | 400    | MG4025 |
      | a job without steps               | 400    | MG4025 |
      | a job with a step of no tasks     | 400    | MG4025 |
      | a job whose steps depend in rings | 400    | MG4025 |
      | a job with a payload too long     | 400    | MG4025 |
      | a job that is nested too deeply   | 400    | MG4025 |
      | a job with a number of 70 bits    | 400    | MG4025 |
      | a job larger than a record        | 400    | MG4025 |
      | a job that is repeated too often  | 400    | MG4025 |
      | a job under a bad id              | 400    | MG4025 |
      | a job for an unknown queue        | 404    | MG4024 |
      | a question for an unknown job     | 410    | MG4023 |
      | a cancelling of an unknown job    | 410    | MG4023 |

  Scenario: The owner is killed while a job runs
    The caller's job was accepted. The process that owns it gets SIGKILL while its tasks run. Another
    process takes the shard over, finds the runs on their executors and ends the job.

    Given the platform's stand-in and 3 daemons on it
    When a job is handed in through daemon 1
    And the daemon that owns it is killed
    Then some daemon shows the job as completed
    And each of its tasks has run once on the platform

  Scenario: A daemon is told to stop while a job runs
    The operator stops the owner's process. It hands its shards over, serves what still comes, and ends
    with status 0 before the platform would kill it.

    Given the platform's stand-in and 2 daemons on it
    When a job is handed in through daemon 1
    And daemon 1 is told to stop
    Then daemon 1 has ended with status 0
    And daemon 2 shows the job as completed
    And each of its tasks has run once on the platform

  Scenario Outline: A daemon that gets <name> while it starts <outcome>
    The settings file changes, or the operator stops the daemon, in the half second in which it only loads
    its libraries. Ended by the signal, it would be missing until it is restarted, or counted as crashed.

    Given the platform's stand-in and 0 daemons on it
    When daemon 1 starts and gets <name> while it loads its libraries
    Then it <outcome>

    Examples:
      | name    | outcome            |
      | SIGHUP  | serves             |
      | SIGTERM | ends with status 0 |

  Scenario: A daemon that gets SIGTERM in a destructor while it starts ends with status 0
    Guards against a stop that is lost: what a signal's handler raises in a destructor is ignored.

    When a daemon gets SIGTERM in a destructor while it loads its libraries
    Then it has ended with status 0, and has run nothing

  Scenario Outline: A daemon that ends while it gets <name> again and again has status 0
    Guards against a planned stop that looks like a crash, as a signal comes after the loop's end.

    Given the platform's stand-in and 1 daemons on it
    When daemon 1 is told to stop, and gets <name> each millisecond until it has ended
    Then it ends with status 0

    Examples:
      | name    |
      | SIGHUP  |
      | SIGTERM |

  Scenario Outline: A settings file that <flaw>
    Given the platform's stand-in and 0 daemons on it
    When a daemon starts with a settings file that <flaw>
    Then it <outcome>

    Examples:
      | flaw                         | outcome              |
      | has fields nobody knows      | serves               |
      | isn't JSON                   | ends with status 20  |
      | lacks the store's address    | ends with status 20  |
      | isn't there                  | ends with status 20  |

  Scenario: Jobs are accepted while the store is slow
    Each answer of the store takes 0.3 s, many times the usual. Callers wait a little longer; nobody is
    refused for it, as the daemons wait as long as answers take now.

    Given the platform's stand-in and 2 daemons on it
    When a job is handed in through daemon 1
    And the store takes 0.3 s to answer
    Then each of 8 more jobs is accepted at the first try

  Scenario: Metrics and logs tell what happened to a job
    Given the platform's stand-in and 1 daemons on it
    When a job is handed in through daemon 1
    Then daemon 1 shows the job as completed
    And its log tells of the job: submit.answered, job.accepted, run.start, run.end, job.ended
    And its metrics count the calls
    And the command line tells the job's story from the log, with its start, its ends and its owner
