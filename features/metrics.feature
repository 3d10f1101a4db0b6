Feature: metrics count what happened, in bounded memory
  Operators are paged on these numbers. They must be right, and a caller who makes up names mustn't
  be able to fill the daemon's memory with a series for each.

  Scenario: counts equal those of a naive count
    Then metrics show the sums of any amounts added under any attributes

  Scenario: made-up attributes don't fill the memory
    Each new set of attributes is a series that is never dropped and is sent with each scrape. Sets
    beyond a limit are counted as one, so that the total stays right.
    When metrics get 5000 different attributes
    Then metrics hold 2001 series, and their total is 5000

  Scenario Outline: <count> accounts have at most 20 labels of their own
    Guards against a series for each client account: a configuration may have hundreds.
    When <count> accounts submit 2 jobs each
    Then <named> accounts are counted by name, and <other> jobs as other

    Examples:
      | count | named | other |
      | 1     | 1     | 0     |
      | 20    | 20    | 0     |
      | 21    | 20    | 2     |
      | 300   | 20    | 560   |

  Scenario Outline: A submission answered with <reply> counts as <cause>
    Guards against an unsettled or unknown job that is counted as refused.
    When a job of account joiners is answered with <reply>
    Then the refusals by cause have <cause>

    Examples:
      | reply               | cause               |
      | job_accepted        | nothing             |
      | job_unsettled       | nothing             |
      | owner_unavailable   | owner_unavailable   |
      | store_unavailable   | store_unavailable   |
      | limit_never_holds   | limit_never_holds   |
      | credential_refused  | credential_refused  |

  Scenario Outline: A caller who was told to come back after 2 s and does <behaviour> is measured as <outcome>
    When a caller who was told to come back after 2 s does <behaviour>
    Then its return is measured as <outcome>

    Examples:
      | behaviour                         | outcome |
      | come back after 2.5 s             | 2.5 s   |
      | come back after 0.1 s             | 0.1 s   |
      | come back after 30 s              | nothing |
      | come back under another id        | nothing |
      | come back twice                   | 2 s     |
      | get refused again and come back   | 1 s     |

  Scenario: Refusals whose callers never come back are forgotten
    Guards against memory that grows with each refusal of a flood.
    When 5000 callers are refused within a second, and one more 20 s later
    Then at most 1000 refusals were remembered, and 1 at the end

  Scenario: The machines of a pool are shown by their latest count, and not by a former owner
    Guards against two daemons that show different sizes of a pool after a takeover.
    When the fleet's owner counts 43 of 93 machines of a pool, then 60 of 90
    Then metrics show 60 machines had and 90 wanted, and none 11 s later
