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
