Feature: the same Idempotency-Key runs once, through whichever entry host
  Entry hosts hold nothing in common but the platform's log. The executors' own record of what ran
  under a key is the oracle.

  Scenario Outline: the same key through two entry hosts at once, while the log's appends are <fault>
    Both hosts claim the key at about the same time. The first claim on the log runs; the other host
    reads it and says so. Asked again, both give the answer of the one run, whatever became of the
    claims on their way to the log.

    Given keys with two entry hosts
    When keys' log has its appends <fault>
    And keys are sent 4 times at once through both entry hosts
    Then keys have run once
    And keys asked again through either are replayed

    Examples:
      | fault     |
      | well      |
      | lost once |
      | doubled   |
      | slow 0.3  |

  Scenario Outline: a log whose appends are <fault> gives a true refusal and no run
    The claim can't be shown to stand on the log, so nothing may run. The caller is told so at once,
    or after a bounded wait where it takes one to find out, and may come back with the same key.

    Given keys with two entry hosts
    When keys' log has its appends <fault>
    And keys are sent once
    Then keys are refused with 1107 and have not run
    When keys' log is well again
    Then keys asked again run once

    Examples:
      | fault         |
      | down          |
      | silent        |
      | slow 1.5      |
      | lost, unread  |
      | doubled, down |

  Scenario: once the log is known to be down a refusal doesn't wait for it
    Given keys with two entry hosts
    When keys' log has its appends silent
    And keys are sent until one was refused for it
    Then keys sent then are refused without a wait

  Scenario Outline: a claimant that is <fate> leaves a key that runs at most once
    An entry host has claimed the key and its executor runs the request when the host is lost.
    Another host says that the key is in use while the first could still answer, then that the
    request may have run.

    Given keys with two entry hosts, the first in a process of its own
    When keys' claimant is <fate> while its request runs
    Then keys asked through the other host are in use, then unknown
    And keys have run once

    Examples:
      | fate   |
      | killed |
      | frozen |

  Scenario: a claimant that freezes before it sends acts on nothing when it wakes
    Its claim stands on the log, its request's time passes while it is stopped, then it runs again.
    The caller has gone long ago; running the request now could double what was done meanwhile.

    Given keys with two entry hosts, the first in a process of its own
    When keys' claimant is frozen between its claim and its request
    Then keys have not run
    And keys asked again run once

  Scenario Outline: a key whose first request <fate> is answered <code> when it is sent again
    Given keys with two entry hosts
    When keys are sent with <fate>
    Then keys asked again through either are answered <code>

    Examples:
      | fate                              | code |
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

  Scenario: a key whose request ended while the log was down isn't called unknown
    An entry host has claimed the key and answered its caller, and can't put that on the log. The same
    request comes through another host, after the claim's time: what that host has read is old. It was
    told that it may have run and should be looked up, where coming back later gives the answer.

    Given keys with two entry hosts
    When keys' claimant answers while the log is down, and the claim's time passes
    Then keys asked through the other host are refused with 1107
    And keys are replayed once the log is back

  Scenario: an entry host that starts later knows the keys of the ones before it
    Given keys with two entry hosts
    When keys are sent with a small answer
    And keys' entry hosts are replaced
    Then keys asked again through either are answered 1001

  Scenario: however claims meet, a key is executed at most once
    Claims, releases and ends of three hosts go to a log that loses answers, delays, doubles and
    refuses appends, and hosts stop at any point. Drawn over many interleavings, no key is executed
    twice, and a claim that nobody will run is never left to look as if it ran.

    When keys' claims interleave as drawn
    Then keys were executed at most once, and some were refused and some replayed
