Feature: Many who ask for the same check share its runs
  A check with a call for each who asks costs the store's rate, and a connection each; shared, it has to show what holds
  after it was asked for.

  Scenario: Each who asks gets the result of a run that began later
    Guards against an answer from before the question, and against a call for each question.

    When 300 ask for a check at 3 moments, and a run takes 0.02 s
    Then each has the result of a run that began after it asked
    And there have been at most 6 runs, one at a time

  Scenario: One who leaves takes the run from nobody
    Guards against a caller's end that ends the answers of others.

    When two ask for a check, and the first is cancelled
    Then the second has its result

  Scenario: A run that fails fails for those who share it, and for nobody after
    Guards against an error that stays.

    When two ask for a check that fails, and a third asks later
    Then the first two are told of the error, and the third has its result

  Scenario: A run that never ends doesn't hold up the next
    Guards against questions that all wait for one lost answer.

    When one asks for a check that never ends, and another asks meanwhile
    Then the other has its result
