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

  Scenario: A job at a slow owner is answered although another call to the owner times out and the daemon leaves
    The incident, as users saw it: a daemon was told to stop; a job was sent to it that waited for its owner, on another host;
    2.6 s later the connection ended without a byte. A small question to the same owner had timed out beside it, closed
    the channel that both used, and so ended the job's handling. Proof: by the code of then the caller gets nothing here.

    When a caller's job waits for its owner, another call to that owner times out, and the front is stopped
    Then the caller is told 200 with MG4020, and its connection ends
    And no line tells of handling without an answer

  Scenario Outline: A request under way when its daemon leaves is told <status> when its handling <ends>
    The daemon is told to stop while a request waits for a slow owner. Its connection ended after 1 s, and at the
    process's end its handling was cancelled; the caller learned nothing. Now the answer is delivered if it comes
    while there is time, and else the caller is told that nobody knows: it can put the job again elsewhere.

    When a front is stopped while a caller waits for its new job, and the handling <ends>
    Then the caller is told <status> with <code>, and its connection ends

    Examples:
      | ends                        | status | code   |
      | gives its answer            | 200    | MG4020 |
      | goes on for ever            | 504    | MG4029 |
      | takes no notice of its end  | 504    | MG4029 |

  Scenario: A front that stops reads no request that it may not answer
    A kept connection is idle when the daemon stops, while another caller still waits. The idle one's next request was
    read, and cut off as the process ended. Now its connection is closed first: the request goes to another daemon.

    When a front is stopped while a caller waits, and another one sends a job on its idle connection
    Then the job on the idle connection hasn't been read, and that connection ends
    And the caller is told 200 with MG4020, and its connection ends

  Scenario Outline: A daemon with a grace of <grace> s stops reading requests after <stop> s and ends after <end> s
    Killed at the end of its grace, a daemon would cut off whatever it still answers.

    Then a daemon with a grace of <grace> s stops reading after <stop> s and ends after <end> s

    Examples:
      | grace | stop | end |
      | 6     | 3.6  | 5.4 |
      | 30    | 3.6  | 5.4 |
      | 3     | 1.8  | 2.7 |
      | 1     | 0.6  | 0.9 |

  Scenario Outline: A HEAD request <for_what> is told <status>
    A monitor asks for the head of an answer alone. Sent along with its body, it was more than HTTP allows: the
    connection was closed without a byte, and it counted as a caller who had left.

    When a caller sends a front a HEAD request <for_what>
    Then the caller is told <status> without a body

    Examples:
      | for_what            | status |
      | for no queue        | 404    |
      | under a bad id      | 400    |
      | of the metrics page | 200    |

  Scenario: A request that has just arrived when the front stops is answered
    A job comes on an idle connection. Its bytes have been taken from the socket, and are looked at in the event
    loop's next turn; in between the front stops. It closed the connection as an idle one, and handled the job
    for nobody.

    When a front is stopped just as it has taken a job from an idle connection's socket
    Then the caller is told 200 with MG4020, and its connection ends

  Scenario: A front that stops reads no request behind the one that it answers
    A caller sends the next request before it has the answer to the first. The answer to the first ended the
    connection, but the next one was read by then, and handled for nobody.

    When a front is stopped while a caller waits that has sent its next job already
    Then the caller is told 200 with MG4020, and its connection ends
    And only the first of its jobs has been handled

  Scenario Outline: A daemon answers callers until its time to leave although giving its shards up <ends>
    The daemon is told to stop, and gives its shards up before it turns to its callers. Where that failed, or was
    cancelled under it, the front stopped at once: callers were told that nobody knows, and the balancer's next
    connections were refused. Where it went on for ever, the daemon was killed with requests open.

    When a daemon is told to stop while a caller waits, and giving its shards up <ends>
    Then the caller is told 200 with MG4020, and its connection stays for the next request
    And one who asks 1 s after the signal is told 200 with MG4020
    And the daemon has ended within its grace

    Examples:
      | ends              |
      | succeeds          |
      | fails by an error |
      | is cancelled      |
      | goes on for ever  |

  Scenario: A caller is answered although the error that ended its request's handling has no text
    The line about the handling was written before the answer was given. Where the line failed, the request was no
    longer known, and its caller got nothing.

    When a caller sends a front a new job, whose handling fails by an error without a text
    Then the caller is told 504 with MG4029 on its open connection

  Scenario Outline: One who asks <asks> s after its daemon was told to stop, of what takes <takes> s, is told <status>
    The balancer sends connections to a daemon for some seconds after it was told to stop. Its front must go on reading
    until then, say with each answer that the connection ends, and leave what is under way its time within the grace.

    When a caller asks <asks> s after its daemon was told to stop, of what takes <takes> s
    Then the caller is told <status> with <code>, and its connection ends
    And the daemon has ended within its grace

    Examples:
      | asks | takes | status | code   |
      | 3.0  | 1.5   | 200    | MG4020 |
      | 3.0  | 60    | 504    | MG4029 |

  Scenario: An answer that can't be written ends its connection, and a line tells of it
    A header of an answer isn't HTTP. Whatever failed in writing counted as a caller who had left: the caller saw
    an open and silent connection, and nothing told of it.

    When a front's answer can't be written
    Then its caller's connection ends, and the front's log tells of the answer that wasn't written
