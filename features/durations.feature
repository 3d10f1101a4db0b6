Feature: Pools get machines for the work that comes, not for what is declared
  Names the pattern: short jobs in a rise whose declared durations are off, on average by the same factor.

  Scenario Outline: After <seen> tasks of <true> s that are declared as <declared> s, a rise counts as <cores> cores
    Guards against machines that are brought for work that is never done, or too few for what is.

    When a queue's owner has seen <seen> tasks of <true> s that were declared as <declared> s
    And 16 jobs of 4 tasks of a core, declared as <declared> s, came in the last 0.75 s
    Then the pool's arrivals count as <cores> cores

    Examples:
      | seen | true | declared | cores |
      | 0    | 1    | 1        | 64    |
      | 0    | 1    | 2        | 128   |
      | 1000 | 1    | 1        | 64    |
      | 1000 | 1    | 2        | 64    |
      | 1000 | 2    | 1        | 128   |
      | 1000 | 100  | 1        | 256   |

  Scenario: A queue whose work shifts is learned anew
    Guards against a correction that stands on work of long ago.

    When a queue's owner has seen 1000 tasks of 1 s that were declared as 2 s
    And the owner has then seen 1000 tasks of 2 s that were declared as 1 s
    And 16 jobs of 4 tasks of a core, declared as 1 s, came in the last 0.75 s
    Then the pool's arrivals count as 128 cores

  Scenario Outline: What runs <where> teaches <what>
    Guards against a sick executor, or work of unknown duration, that teaches that all tasks take long.

    When a task that was declared as 1 s ends after 3 s <where>
    Then the queue's owner has learned <what>

    Examples:
      | where                         | what    |
      | on a sound executor           | a lot   |
      | on an executor marked as slow | nothing |
      | as the rest of a longer run   | nothing |
