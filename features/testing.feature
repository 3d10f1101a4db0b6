Feature: the test runner's verdict can be trusted
  A broken build that passes costs more than a test that fails, so every way in which a feature can
  end without a verdict of its own is counted as a failure. Each row makes a folder of features,
  runs the runner on it in a process of its own and looks at its last line and exit status.

  Scenario Outline: the runner says <last line> for <features>
    Given a testing folder with the features <features>
    And a testing list of known failures <known>
    When the testing runner runs
    Then the testing runner's last line is <last line> and its exit status <status>
    And the testing runner prints <printed>

    Examples:
      | features          | known                                | last line          | status | printed                          |
      | green             | none                                 | 2 passed, 0 failed | 0      | green.feature: 2 passed          |
      | green,red         | none                                 | 3 passed, 1 failed | 1      | FAILED red: it fails             |
      | green,crash       | none                                 | 3 passed, 1 failed | 1      | (the whole feature) (exit status |
      | green,hook        | none                                 | 2 passed, 1 failed | 1      | FAILED hook                      |
      | green,empty       | none                                 | 2 passed, 1 failed | 1      | it ran no scenario               |
      | green,syntax      | none                                 | 2 passed, 1 failed | 1      | FAILED syntax                    |
      | green,undefined   | none                                 | 2 passed, 1 failed | 1      | FAILED undefined                 |
      | empty             | none                                 | 0 passed, 1 failed | 1      | it ran no scenario               |
      | green,red         | red: it fails / slow / 7             | 3 passed, 0 failed | 0      | KNOWN RED red: it fails: slow (7 |
      | green,red,crash   | red: it fails / slow / 7             | 4 passed, 1 failed | 1      | FAILED crash                     |
      | green             | green: it passes / slow / 7          | 2 passed, 0 failed | 0      | KNOWN RED, BUT PASSED green      |
      | green             | other: it passes / slow / 7          | 2 passed, 0 failed | 0      | KNOWN RED, NOT RUN other         |
      | green             | green: it passes                     | 0 passed, 1 failed | 1      | not 'feature: scenario           |
      | green             | a: b / c / d;a: c / c / d;a: d / c / d;a: e / c / d;a: f / c / d;a: g / c / d;a: h / c / d;a: i / c / d;a: j / c / d;a: k / c / d;a: l / c / d;a: m / c / d;a: n / c / d | 0 passed, 1 failed | 1 | more than 12 |
