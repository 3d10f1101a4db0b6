Feature: When a pool is full, client accounts share it by their weights
  Names the pattern: one account floods a pool with jobs while small accounts send a few.

  Scenario Outline: A small account's job waits as long beside a flood of <flood> jobs as beside one of 20
    Guards against a small account whose jobs wait behind those of a large one that floods the pool.

    When a pool is flooded by <flood> jobs of a large account, and a small account sends one
    Then the small account's job is started among the first <place> of those that wait

    Examples:
      | flood | place |
      | 20    | 2     |
      | 200   | 2     |
      | 2000  | 2     |

  Scenario Outline: Of the first 30 starts, an account of weight <weight> beside one of weight 1 gets <starts>
    Guards against weights that don't count.

    When two accounts of weights <weight> and 1 flood a pool with 100 equal jobs each
    Then of the first 30 jobs started <starts> are those of the first account

    Examples:
      | weight | starts |
      | 1      | 15     |
      | 2      | 20     |
      | 5      | 25     |

  Scenario: What an account has running counts for its turn
    Guards against an account that holds the whole pool and goes first again.

    When a large account has jobs at work in a full pool, and both accounts send one
    Then the small account's job is started first

  Scenario: An account's own newest job goes first
    Guards against jobs that are all started just too late, as before there were accounts.

    When one account sends 10 jobs into a full pool
    Then its jobs are started from the newest to the oldest
