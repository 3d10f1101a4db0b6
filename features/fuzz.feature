Feature: whatever faults come together, callers and operators are told the truth
  What the fuzz of the whole system (tools/fuzz.py) runs and what it has found. A run starts a
  platform, two executors processes and four daemons under load, carries out a schedule of faults
  and operators' actions that is drawn from a seed, heals everything and judges by the stand-ins'
  own record.

  Scenario Outline: the fuzz with seed <seed> breaks no promise
    The steps overlap: daemons are killed, frozen and replaced while executors fail, the log is down
    or loses answers, racks lose power, waves run and operators race.
    When the fuzz runs seed <seed> for <seconds> seconds at <rate> requests a second
    Then the fuzz finds every promise kept

    Examples:
      | seed | seconds | rate |
      | 1    | 6       | 60   |
      | 2    | 6       | 60   |

  Scenario: a connection that is reset between its handshake and the request
    The executor accepts and resets at once, and the loop sees it before the request is written.
    Nothing was sent, so the request runs at the other executor. The look at the closed connection
    failed instead, and the caller's own connection broke without an answer.
    When the fuzz lets a single write meet a reset before its first byte
    Then the fuzz's caller is told 1000 after 1 run
