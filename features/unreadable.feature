Feature: Bytes of another process that can't be read cost nothing but themselves
  However they can't be read: truncated, of another type, beyond what the interpreter can follow.

  Scenario Outline: A board follows its records on although <records> are <flaw>
    Guards against daemons that end together, again and again, at a record that all of them read.

    When a supervised board of <records> reads 12 times records of another writer that are <flaw>
    Then the board has never failed, and the other records are in force
    And each of those records is logged

    Examples:
      | records      | flaw                       |
      | executors    | nested too deeply          |
      | executors    | truncated and nested       |
      | executors    | not in UTF-8               |
      | executors    | with a port of 5000 digits |
      | executors    | with a number of 70 bits   |
      | executors    | unexpected by the decoder  |
      | executors    | unexpected by a subscriber |
      | the operator | nested too deeply          |
      | the operator | truncated and nested       |
      | the operator | not in UTF-8               |
      | the operator | unexpected by the decoder  |
      | the operator | unexpected by a subscriber |

  Scenario Outline: An executor whose entry becomes <flaw> gets no new work, and isn't gone
    Guards against new tasks for an executor of which nobody knows whether it drains.

    When the entry of a known executor is overwritten by one that is <flaw>
    Then the executor is known, and gets no new work

    Examples:
      | flaw                       |
      | nested too deeply          |
      | truncated and nested       |
      | with a port of 5000 digits |
      | with a number of 70 bits   |

  Scenario Outline: A sound entry under a name <flaw> makes no executor
    Guards against an owner that ends again and again as it records an executor, or sends it orders.

    When the list of executors has a sound entry under a name <flaw>
    Then it makes no executor, is logged, and the other entries are in force

    Examples:
      | flaw                         |
      | of 254 characters            |
      | of 201 characters            |
      | with a line break            |
      | with a null                  |
      | with a euro sign             |
      | with a space                 |
      | without characters           |

  Scenario: Each decoder has one error for all that can't be read
    Guards against errors that a decoder's callers don't expect.

    Then each decoder of the platform's bytes reports unreadable ones by its one error
    And each decoder of records of former owners leaves out unreadable ones
    And each decoder of other daemons' values reports unreadable ones by its one error

  Scenario: Only one module decodes
    Guards against a decoder that handles only the errors which its author thought of.

    Then no other module calls a decoder of the library

  Scenario Outline: A page of <rows> with a row that is nested too deeply has its other rows
    Guards against a list that nobody can read for one row of it.

    Then a page of <rows> with a row that is nested too deeply has its other rows

    Examples:
      | rows           |
      | newest records |
      | machines       |

  Scenario: Replies of the platform that can't be read have an outcome
    Guards against the end of a daemon's part, and of a shard's service, by one reply.

    Then each call of the platform has an outcome, whatever bytes it is answered with

  Scenario: Replies of the platform that aren't HTTP have an outcome
    Then a call has an outcome, whatever is sent back on its connection

  Scenario: A daemon answers a call of another one that can't be read, and goes on
    Then a call between daemons that can't be read is answered at once, and the next one is served
    And an answer of another daemon that can't be read counts as unknown

  Scenario: The log takes what explains an unreadable input
    Guards against a part that lives through an unreadable input, and ends as it logs it.

    Then a line with fields that JSON can't hold is written, and so is the next one

  Scenario: Lines of a log that can't be read are passed over
    Then a job's history is read from a log with lines that can't be read
