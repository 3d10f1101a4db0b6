Feature: the pages say what the code does
  People run the system by its pages when things fail. A page that has fallen behind sends them to a
  setting, a command or a metric that isn't there, at the worst moment.

  Scenario: all pages are current and true
    Then the documents have no problems

  Scenario Outline: a page that isn't true is found (<flaw>)
    Given a copy of the documents
    When the documents get the flaw: <flaw>
    Then the documents have a problem that says <detail>

    Examples:
      | flaw                                                  | detail                          |
      | docs/SETTINGS.md says "`8080`" for 8081               | SETTINGS.md isn't current       |
      | docs/RESULT-CODES.md lacks its last line              | RESULT-CODES.md isn't current   |
      | docs/METRICS.md is missing                            | METRICS.md isn't current        |
      | docs/OPERATORS.md names `mustardgap explode`          | mustardgap explode              |
      | docs/OPERATORS.md names `mustardgap apply --force`    | mustardgap apply --force        |
      | docs/OPERATORS.md names `callers.colour`              | the setting `callers.colour`    |
      | docs/OPERATORS.md names `mustardgap.request.colours`  | mustardgap.request.colours      |
      | docs/CALLERS.md names MG9998                          | MG9998                          |
      | docs/CALLERS.md names [a page](NOWHERE.md)            | links to NOWHERE.md             |
      | the metrics are used nowhere                          | mustardgap.requests is used nowhere |
