Feature: the same Idempotency-Key runs once, through whichever entry host
  The platform's log is all that entry hosts share. The results are checked against what the
  executors themselves recorded as run under a key.

  Scenario Outline: the same key through two entry hosts at once, while log appends are <fault>
    Both hosts claim the key at about the same time. The first claim on the log runs; the other host
    reads that claim and reports that the key is in use. A retry gets the answer of the one run from
    both, whatever happened to the appends of the claims.

    Given keys with two entry hosts
    When keys' log has appends that are <fault>
    And keys are sent 4 times at once through both entry hosts
    Then keys have run once
    And keys sent again through either host are replayed

    Examples:
      | fault      |
      | successful |
      | lost once  |
      | doubled    |
      | slow 0.3   |

  Scenario Outline: a request whose log appends are <fault> is refused and not run
    The claim can't be confirmed to be on the log, so nothing may run. The caller is told so at
    once, or after a bounded wait if the failure takes time to detect, and may retry the same key.

    Given keys with two entry hosts
    When keys' log has appends that are <fault>
    And keys are sent once
    Then keys are refused with 1107 and have not run
    When keys' log works again
    Then keys sent again run once

    Examples:
      | fault         |
      | down          |
      | silent        |
      | slow 1.5      |
      | lost, unread  |
      | doubled, down |

  Scenario: once the log is known to be down, requests are refused without a wait
    Given keys with two entry hosts
    When keys' log has appends that are silent
    And keys are sent until one is refused because of it
    Then keys sent then are refused without a wait

  Scenario Outline: a key runs at most once if its claimant is <failure>
    An entry host fails after it has claimed the key, while the executor runs the request. Another
    host reports the key as in use while the first could still answer, then that the request may
    have run.

    Given keys with two entry hosts, the first in a process of its own
    When keys' claimant is <failure> while its request runs
    Then keys sent through the other host are in use, then unknown
    And keys have run once

    Examples:
      | failure |
      | killed  |
      | frozen  |

  Scenario: a claimant that freezes before it sends a request doesn't send it when it resumes
    Its claim is on the log and the request times out while the process is stopped. The caller is
    gone when it resumes; running the request then could duplicate what was done meanwhile.

    Given keys with two entry hosts, the first in a process of its own
    When keys' claimant is frozen between its claim and its request
    Then keys have not run
    And keys sent again run once

  Scenario Outline: a key whose first request had <outcome> is answered <code> when it is sent again
    Given keys with two entry hosts
    When keys are sent with <outcome>
    Then keys sent again through either host are answered <code>

    Examples:
      | outcome                           | code |
      | a small answer                    | 1001 |
      | an answer too large to keep       | 1002 |
      | an answer passed on               | 1002 |
      | an error of the executor          | 1001 |
      | a lost answer                     | 1204 |
      | a refusal by the executors        | 1000 |
      | a caller that hung up             | 1001 |
      | an end that the log refused       | 1001 |
      | another body                      | 1109 |
      | a forgotten key                   | 1000 |

  Scenario: a key whose request ended while the log was down isn't reported as unknown
    An entry host has claimed the key and answered its caller, but can't append that to the log. The
    same request arrives through another host after the claim's time; the records there are old.
    It must be told to retry later, which gets the answer. A reply that the request may have run
    would make the caller check by hand.

    Given keys with two entry hosts
    When keys' claimant answers while the log is down, and the claim's time passes
    Then keys sent through the other host are refused with 1107
    And keys are replayed once the log works again

  Scenario: an entry host that starts later knows the keys of its predecessors
    Given keys with two entry hosts
    When keys are sent with a small answer
    And keys' entry hosts are replaced
    Then keys sent again through either host are answered 1001

  Scenario: however claims interleave, a key is executed at most once
    Three hosts append claims, releases and ends to a log that loses answers and delays, doubles and
    refuses appends; hosts stop at any point. In many drawn interleavings, no key is executed twice,
    nor does the log keep a claim that won't be run as one that may have run.

    When keys' claims interleave as drawn
    Then keys were executed at most once, and some were refused and some replayed
