Feature: executors fail under load, and callers are told the truth
  As in system.feature, with faults of the executors. Reads are run again elsewhere; a write that may
  have run isn't, and its caller is told so.

  Background:
    Given the system runs 3 daemons
    And the system is under load

  Scenario: an executors process is killed after a run and before its answer
    Half of the executors vanish in the moment when one has run a request and not yet answered. A
    single write in flight there is told as "may have run", reads are answered by the other half.
    When the system's executors x2 are killed after a run
    And the system's executors x2 are started again
    And the system goes on for 2 seconds
    And the system's load ends
    Then the system's callers are told only answered, refused, unknown
    And the system keeps every promise
    And the system's requests told as unknown were writes

  Scenario Outline: an executor <flaw>
    <why>
    When the system's executor w0 has the fault <fault>
    And the system goes on for 4 seconds
    And the system's executor w0 is well again
    And the system's load ends
    Then the system's callers are told only <told>
    And the system keeps every promise

    Examples:
      | flaw                            | fault                     | told                       | why                                                             |
      | goes silent on open connections | silent                    | answered, refused, unknown | Requests there get nothing; reads run elsewhere after a while.  |
      | cuts its answers short          | short at_byte=150         | answered, refused, unknown | A part is never passed on as the whole; writes may have run.    |
      | answers with another's id       | wrong_id                  | answered, refused, unknown | The answer is another's, so it is dropped; writes may have run. |
      | resets before it reads          | reset_before_reading      | answered, refused, unknown | A write whose bytes went out may have run, as far as we know.   |
      | resets after it ran             | reset_after_running       | answered, refused, unknown | The run is on record without an answer; no write is run again.  |
      | refuses what it hasn't run      | refusing                  | answered, refused          | What wasn't run may be sent elsewhere, writes too.              |
      | answers after its time          | late seconds=3            | answered, refused, unknown | The late answer finds no connection; writes may have run.       |

  Scenario: an executor that leaves gets no new work
    It says so in its answers before the platform's list does. Every entry host that hears of it
    tells its peers; after three seconds nobody sends work there, and nothing in flight is cut off.
    When the system's executor w0 leaves
    And the system goes on for 5 seconds
    And the system's load ends
    Then the system's callers are told only answered
    And the system keeps every promise
    And the system's keyed requests all end answered
    And the system's executor w0 got no work 3 seconds after it began to leave
