Feature: Mechanisms of the policy can be left out, to measure what each is worth
  Production runs with all. An experiment names those that it leaves out in a file of its own.

  Scenario Outline: A file of experiments that <has> is <outcome>
    A name that is spelled wrong would leave everything in, and the experiment would measure nothing.

    When a file of experiments <has>
    Then reading it is <outcome>

    Examples:
      | has                                        | outcome                |
      | leaves out lending and foresight           | without both           |
      | says nothing                               | without none           |
      | isn't named at all                         | without none           |
      | leaves out what doesn't exist              | MG2002: lendin         |
      | has a key that doesn't exist               | MG2002: without        |
      | isn't JSON                                 | MG2001: policy         |
      | isn't there                                | MG2000: policy         |

  Scenario Outline: Without <mechanism> the risen pool has <gets> machines
    Given an experiment without <mechanism>
    And pools quotes, cuts and stairs of 10 machines each, and 4 on standby
    When the demand of quotes is 33 machines for 6 s, while cuts and stairs have work for 1
    Then the pool quotes has <gets> machines

    Examples:
      | mechanism    | gets |
      | nothing      | 21   |
      | lending      | 14   |
      | growth_bound | 24   |
      | first_size   | 21   |
