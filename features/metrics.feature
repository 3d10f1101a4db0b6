Feature: metrics count what happened, in bounded memory
  Operators are woken by these numbers. They must be right, and a caller who makes up names mustn't
  be able to fill the daemon's memory with a series for each.

  Scenario: counts are those of a naive count
    Then metrics show the sums of any amounts added under any attributes

  Scenario: made-up attributes don't fill the memory
    Each new set of attributes is a series that is kept for good and sent with each scrape. Past a
    limit they are counted together, so that the total stays right.
    When metrics get 5000 different attributes
    Then metrics hold 2001 series, and their total is 5000
