Feature: A job stays one job when its path goes to another service
  A job lies in the shard of the service that it was accepted for. A later version of the configuration may send
  its path to a service whose jobs lie in another shard.

  Scenario Outline: <change>, and <trouble>
    Guards against a job that is said not to exist, or accepted twice, once its path belongs to another service.

    When a job is accepted, "<change>", and "<trouble>"
    Then the job is known at every daemon, and is accepted in one shard only
    And new jobs of the path are accepted in the shard of its newest service
    And each daemon counts the jobs of the path that wait

    Examples:
      | change                                               | trouble                               |
      | nothing changes                                      | nothing else happens                  |
      | its route is replaced by one to another service      | nothing else happens                  |
      | its route is replaced by one to another service      | all daemons are killed                |
      | its route is replaced by one to another service      | all daemons are stopped               |
      | its route is replaced by one to another service      | the owners are killed                 |
      | its route is replaced by one to another service      | the former owner is killed            |
      | its route is replaced by one to another service      | the new owner is killed               |
      | its route is replaced by one to another service      | the store loses answers               |
      | its route is replaced by one to another service      | the list of paths is away for a while |
      | its route goes to another service under its own name | nothing else happens                  |
      | its route goes to another service under its own name | all daemons are killed                |
      | its route gets another name                          | all daemons are killed                |
      | its route is dropped and comes back elsewhere        | nothing else happens                  |
      | its route is dropped and comes back elsewhere        | all daemons are killed                |
      | its route is dropped and comes back as it was        | all daemons are killed                |
      | its route goes elsewhere and comes back              | nothing else happens                  |
      | its route goes elsewhere and comes back              | all daemons are killed                |
      | its route goes elsewhere and comes back at once      | nothing else happens                  |
      | its route goes to a third service after a second one | nothing else happens                  |
      | its route goes to a third service after a second one | all daemons are killed                |
      | its route and another one exchange their services    | nothing else happens                  |
      | its route and another one exchange their services    | all daemons are killed                |
      | a route of another service nests in its route        | all daemons are killed                |
      | its route is replaced among client accounts          | all daemons are killed                |

  Scenario Outline: A job is submitted while its route is replaced: <lag>
    Guards against two acceptances by daemons that have different versions, or of a submission under way.

    When jobs are submitted through all daemons around the moment at which their route is replaced, and <lag>
    Then each job that was accepted is known at every daemon, and is accepted in one shard only

    Examples:
      | lag                                          |
      | all daemons learn of it at once              |
      | one daemon learns of it 1.5 s later          |
      | two daemons learn of it 1.5 s later          |
      | one daemon learns of it 1.5 s later, and the store loses answers |
      | one daemon learns of it 1.5 s later, and an owner is killed |

  Scenario: A job isn't said to be unknown, nor accepted as new, while its former owner can't be asked
    Guards against an answer that is taken from what the new owner alone can see.

    When a job is accepted, its route is replaced, and the former shard has no owner
    Then every daemon answers its submission, a question for it and its cancelling by 503
    And a job of another path is accepted at once

  Scenario: An owner that learns of a version while it looks for a job doesn't say that there is none
    Guards against an "unknown" that was found by an older version than it is said to be.

    When a job is accepted, its route is replaced, and the new owner learns of that while it is asked for the job
    Then the question is never answered by 410, and in the end by the job's state

  Scenario: A job whose path has gone to another service can be cancelled
    When a job is accepted, its route is replaced, and it is cancelled through another daemon
    Then the job is shown as canceled at every daemon

  Scenario: Where no route has changed its service, calls cost what they did
    Guards against a price that all callers pay for routes that hardly ever move.

    Then accepting a job takes 1 call of the store and 0 between shards
    And a question for a known job takes 0 calls of the store and 0 between shards
    And a question for an unknown job takes 1 call of the store and 0 between shards
    And cancelling an unknown job takes 1 call of the store and 0 between shards
    And a version that changes no route's service takes 0 calls of the list of paths

  Scenario: A former holder that has no jobs of a path any more isn't asked again
    Guards against a price that callers of a path that has moved pay for ever.

    When a route without jobs is replaced, and 5 jobs are submitted
    Then one of them cost a call between shards
