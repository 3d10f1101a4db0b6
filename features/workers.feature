Feature: The polled view of workers and tasks
  All parts share one view, which is updated with the platform's changes.

  Scenario Outline: A view that meets "<event>"
    Requests must go to executors that exist. The platform answers with changes, is down, or has
    restarted and numbers its versions anew. In an outage the view is kept, and its age is known.

    Given a workers' view that has read two workers and a task
    When the workers' platform shows "<event>"
    Then the workers' view has <workers> with <tasks> and calls back for <changed>, <age> s old

    Examples:
      | event                      | workers | tasks | changed | age |
      | nothing new                | w1,w2   | t1    | none    | 0   |
      | a change of w2             | w1,w2   | t1    | w2      | 0   |
      | w2 gone                    | w1      | t1    | w2      | 0   |
      | t1 done                    | w1,w2   | none  | w1      | 0   |
      | an outage                  | w1,w2   | t1    | none    | 7   |
      | an outage of tasks alone   | w1,w2   | t1    | none    | 7   |
      | a restart without w2       | w1      | t1    | w2      | 0   |
      | a restart without t1       | w1,w2   | none  | w1      | 0   |
      | t1 done ten minutes ago    | w1,w2   | none  | w1      | 0   |
