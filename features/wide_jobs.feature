Feature: The progress of a wide job is stored, whatever it holds and however large it gets
  A job's progress grows with its tasks: which are done, their failed runs, checkpoints, crashes with their evidence.

  Scenario Outline: All of the progress of <width> tasks is found by the next owner, with <content> and records of <limit>
    One record held the progress of all tasks. Larger than the store takes, it was refused for good, and no progress of
    the job was stored any more.

    When a job of <width> tasks has stored progress with <content>, in records of <limit> bytes
    Then the next owner finds the same progress, and no record was refused

    Examples:
      | width | limit  | content                  |
      | 3     | 262144 | all kinds                |
      | 512   | 262144 | all kinds                |
      | 513   | 262144 | all kinds                |
      | 7500  | 262144 | checkpoints              |
      | 10000 | 262144 | ends                     |
      | 10000 | 262144 | failures                 |
      | 10000 | 262144 | crashes                  |
      | 10000 | 262144 | restarts                 |
      | 10000 | 262144 | all kinds                |
      | 20    | 1000   | all kinds                |
      | 1000  | 1000   | all kinds                |
      | 70    | 262144 | checkpoints of 5000 bytes |
      | 600   | 262144 | checkpoints of 5000 bytes |

  Scenario Outline: Owners of a wide job end at any moment of an append, seeds <first> to <last>
    Guards against a successor that takes a part of a progress for the whole, or old records for new ones: it would start
    tasks again that are done, or fail more often than they may.

    Then no owner from seed <first> to <last> lacks what a former one knew to be stored
    And no release that knows one record a job takes a part of a progress for the whole
    And nothing of the blocks is left once the job has ended

    Examples:
      | first | last |
      | 1     | 20   |
      | 21    | 40   |

  Scenario: A checkpoint larger than a record costs nothing but itself
    Guards against ends that aren't stored because a checkpoint of their job can't be.

    When a job of 100 tasks has stored progress with a checkpoint of 300000 bytes, in records of 262144 bytes
    Then the next owner finds all but that checkpoint, and one log line tells of it

  Scenario Outline: What a former release stored of <width> tasks is found, and moves to blocks with the next change
    Guards against progress that a roll-out loses.

    When a job of <width> tasks has progress in one record, and one more task ends
    Then the next owner finds the same progress, and no record was refused

    Examples:
      | width |
      | 100   |
      | 5000  |

  Scenario: An owner that dies while a progress moves to blocks loses none of it
    Guards against a record that says that all is in blocks before all of them are stored.

    Then an owner that dies after any append of that move leaves all of it to the next one

  Scenario: Progress that can't be read isn't overwritten
    Guards against a record of another release that is replaced by what this one knows: the part would look like the whole.

    When a wide job's own record can't be read, and a task of it ends
    Then the record is still there, and whoever can read it finds that end, too

  Scenario Outline: What an end costs doesn't grow with its job, with <content>
    Each end encoded and stored the progress of all tasks; a job of 10,000 kept its owner from renewing leases.

    When 50 tasks end in a job of 1000 and in one of 10000 tasks, with <content>
    Then the wider job's owner made no more calls, and stored no more bytes, by over a tenth

    Examples:
      | content     |
      | ends        |
      | checkpoints |

  Scenario: The jobs beside a wide one whose tasks fail are cancelled, and its ends are taken note of
    The wide job's progress outgrew a record. No cancel of its shard's jobs was answered any more, and no end acknowledged.

    When a job of 300 tasks with checkpoints fails some of them, in a store that takes records of 4000 bytes
    Then cancels of other jobs are answered, all ends are acknowledged, and no record was refused
    And its next owner runs it to its end, and no promise was broken
