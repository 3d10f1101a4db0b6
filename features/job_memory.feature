Feature: An owner accepts no more jobs than its memory holds
  Small bodies may ask for large jobs: what a job takes of its owner's memory depends on its steps and tasks.

  Scenario Outline: With <small> of small and <large> of large jobs on 160 MB, a job of <tasks> tasks is <outcome>
    Guards against an owner that ends for want of memory by jobs that are each within the limits, and against
    ordinary jobs that are refused because large ones fill the room.

    Given an owner on a machine of 160 MB that holds small jobs of <small> and large ones of <large>
    When a job of <tasks> tasks in <steps> steps is submitted
    Then the owner's memory is <outcome>

    Examples:
      | small     | large      | tasks | steps | outcome |
      | 0         | 0          | 10000 | 1     | taken   |
      | 6,250,000 | 0          | 83000 | 3800  | taken   |
      | 0         | 6,700,000  | 10000 | 1     | taken   |
      | 0         | 6,800,000  | 10000 | 1     | refused |
      | 0         | 99,000,000 | 50    | 2     | taken   |
      | 6,180,000 | 99,000,000 | 50    | 2     | taken   |
      | 6,200,000 | 0          | 50    | 2     | refused |

  Scenario: Jobs that are accepted at once count before their owner's are summed up again
    Guards against a crowd of large jobs that is accepted whole within one interval, and against refused ones that count.

    Given an owner on a machine of 160 MB that holds small jobs of 0 and large ones of 0
    When 50 jobs of 6000 tasks are submitted at once
    Then 2 of them are accepted
    When 200 jobs of 50 tasks are submitted at once
    Then 103 of them are accepted

  Scenario: Jobs that have ended leave their room to new ones
    Guards against accepted work of a minute ago that keeps an owner from accepting more. Ended jobs are known for
    minutes; none of their tasks is needed any more.

    When 200 jobs of 50 tasks come one a second to an owner on a machine of 160 MB, each ended before the next
    Then 200 of them are accepted

  Scenario Outline: An owner <which> counts an ended job by its steps alone, and answers for it as before
    Guards against a successor that gets the ended jobs of others and has no room for new ones, and against tasks of
    ended jobs that are asked for once they are forgotten.

    Given owners on a fake platform
    When 6 jobs of two steps have <ended>, and 12 s pass, with their owner <which>
    Then the owner counts 800 bytes for each of them, and says of each that it is <state>
    And no promise was broken

    Examples:
      | which                   | ended                | state     |
      | that saw it end         | been completed       | completed |
      | that took over later    | been completed       | completed |
      | that saw it end         | been cancelled early | canceled  |
      | that took over later    | been cancelled early | canceled  |
      | that took over at once  | been cancelled early | canceled  |
