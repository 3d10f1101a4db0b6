Feature: Each request that was read whole gets exactly one answer, however its handling ends
  Callers can put a request again that was refused, or whose outcome nobody knows. One whose connection
  just ends after seconds of silence has used up its caller's time for nothing.

  Scenario: A caller is answered although the handling of its request ended without an answer
    A caller's request was read whole by a daemon that was told to stop. The caller saw nothing for 2.6 s, until
    the daemon had left and closed the connection; no line told of it. Another call on the channel to the owner had
    timed out and closed the channel; the cancellation of all calls on it ended the task that owed the answer.
    Proof: with a line for each such end, 37 of 37 on a day came within 50 ms of a channel's end on their host.

    When callers send requests to a front, and their handling ends without an answer
      | request            | handling          | status | code   |
      | new job            | fails by an error | 504    | MG4029 |
      | cancelling         | fails by an error | 504    | MG4029 |
      | question for a job | fails by an error | 503    | MG4027 |
      | count of a queue   | fails by an error | 503    | MG4027 |
      | new job            | is cancelled      | 504    | MG4029 |
      | cancelling         | is cancelled      | 504    | MG4029 |
      | question for a job | is cancelled      | 503    | MG4027 |
      | count of a queue   | is cancelled      | 503    | MG4027 |
    Then each caller is told as the table says
    And for each the front's log tells why, and its counter counts it
