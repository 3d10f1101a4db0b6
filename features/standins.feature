Feature: Stand-ins
  The stand-ins speak docs/PLATFORM.md over sockets, and cause each fault for real.

  Each table is a list of calls, made in order; "answer" is the part of the answer that is checked.
  A list that is not empty may hold more. UNTIL reads until the answer is so. Status 0 is a connection that closes without an answer,
  -1 one that stays silent.

  Scenario: Standins keep a log with offsets
    Given a standins platform with {"log": {"retention_records": 3}}
    Then standins calls are answered so
      | method | path                       | body                                 | status | answer                                                                     |
      | GET    | /log/a                     |                                      | 200    | {"records": [], "next": 0, "oldest": 0, "end": 0}                          |
      | POST   | /log/a                     | {"records": [{"n": 0}, {"n": 1}]}    | 200    | {"first": 0, "end": 2}                                                     |
      | GET    | /log/a?from=1              |                                      | 200    | {"records": [{"offset": 1, "value": {"n": 1}}], "next": 2}                 |
      | GET    | /log/a?from=0&limit=1      |                                      | 200    | {"records": [{"offset": 0, "value": {"n": 0}}], "next": 1, "end": 2}       |
      | GET    | /log/a?from=2&wait=0.1     |                                      | 200    | {"records": [], "next": 2, "end": 2}                                       |
      | GET    | /log/b                     |                                      | 200    | {"end": 0}                                                                 |
      | POST   | /log/a                     | {"records": []}                      | 400    | {}                                                                         |
      | POST   | /log/a                     | {"records": [{"n": 2}, 3]}           | 400    | {}                                                                         |
      | POST   | /log/a                     | {"record": 3}                        | 400    | {}                                                                         |
      | GET    | /log/a?limit=0             |                                      | 400    | {}                                                                         |
      | GET    | /log/a?from=x              |                                      | 400    | {}                                                                         |
      | POST   | /log/a                     | {"records": [{"n": 2}, {"n": 3}]}    | 200    | {"first": 2, "end": 4}                                                     |
      | GET    | /log/a?from=0              |                                      | 410    | {"oldest": 1, "end": 4}                                                    |
      | GET    | /log/a?from=1              |                                      | 200    | {"next": 4, "oldest": 1}                                                   |
      | POST   | /control/faults            | {"fault": "expired", "on": "b"}      | 200    | {"faults": []}                                                             |
      | GET    | /log/a?from=1              |                                      | 200    | {"next": 4, "oldest": 1}                                                   |
      | POST   | /control/faults            | {"fault": "expired"}                 | 200    | {"faults": []}                                                             |
      | GET    | /log/a?from=3              |                                      | 410    | {"oldest": 4, "end": 4}                                                    |
      | POST   | /control/faults            | {"fault": "retention", "seconds": 0} | 200    | {}                                                                         |
      | POST   | /log/a                     | {"records": [{"n": 4}]}              | 200    | {"first": 4}                                                               |
      | UNTIL  | /log/a?from=4              |                                      | 410    | {"oldest": 5}                                                              |
      | GET    | /control/truth             |                                      | 200    | {"log": {"appends": 3, "streams": {"a": {"oldest": 5, "end": 5}}}}         |

  Scenario: Standins streams agree with a naive list
    Then standins streams agree with a naive list for any appends, expiries and reads

  Scenario: Standins wake a reader that waits and cap appends
    Given a standins platform with {"log": {"appends_per_s": 5}}
    When a standins reader waits for offset 0 while a record is appended
    Then the standins reader got {"records": [{"offset": 0, "value": {"n": 1}}], "next": 1}
    And of 20 standins appends at once some are refused and the log ends after the others

  Scenario: Standins faults strike the platform's calls
    The caller of an append sees 503, silence or a cut connection; only the record of truth says
    whether it had an effect, as with a platform whose answer is lost after the change was made.
    Given a standins platform with {}
    Then standins calls are answered so
      | method | path                          | body                                                              | status | answer            |
      | POST   | /control/faults               | {"fault": "down", "on": "/log/*"}                                 | 200    | {}                |
      | POST   | /log/a                        | {"records": [{}]}                                                 | 503    | {}                |
      | GET    | /log/a                        |                                                                   | 503    | {}                |
      | GET    | /hosts                        |                                                                   | 200    | {}                |
      | DELETE | /control/faults?fault=down    |                                                                   | 200    | {"cleared": 1}    |
      | GET    | /log/a                        |                                                                   | 200    | {"end": 0}        |
      | POST   | /control/faults               | {"fault": "silent", "on": "/log/a", "method": "POST", "count": 1} | 200    | {}                |
      | POST   | /log/a                        | {"records": [{}]}                                                 | 0      | {}                |
      | GET    | /log/a                        |                                                                   | 200    | {"end": 0}        |
      | POST   | /control/faults               | {"fault": "silent", "on": "/log/a"}                               | 200    | {}                |
      | GET    | /log/a                        |                                                                   | -1     | {}                |
      | DELETE | /control/faults               |                                                                   | 200    | {"cleared": 1}    |
      | POST   | /control/faults               | {"fault": "lost", "count": 1}                                     | 200    | {}                |
      | POST   | /log/a                        | {"records": [{}]}                                                 | 0      | {}                |
      | GET    | /log/a                        |                                                                   | 200    | {"end": 1}        |
      | POST   | /control/faults               | {"fault": "doubled", "method": "POST", "count": 1}                | 200    | {}                |
      | POST   | /log/a                        | {"records": [{}]}                                                 | 200    | {"end": 3}        |
      | POST   | /control/faults               | {"fault": "slow", "on": "/log/*", "seconds": 30}                  | 200    | {}                |
      | GET    | /log/a                        |                                                                   | -1     | {}                |
      | POST   | /control/faults               | {"fault": "nonsense"}                                             | 400    | {}                |
      | POST   | /control/faults               | {"fault": "down", "port": 1, "when": 2}                           | 400    | {}                |

  Scenario: Standins cut off the one daemon that calls by a port
    Given a standins platform with {}
    When the standins platform is down for those who call by its second port
    Then standins calls by its ports see 200 and 503

  Scenario: Standins host list lags and drops the silent
    Given a standins platform with {"hosts": {"lag_s": 0.2, "expire_s": 1.0}}
    Then standins calls are answered so
      | method | path            | body                                                                                                         | status | answer                                                |
      | PUT    | /hosts/e1       | {"host": "e1", "role": "entry", "state": "live", "address": "127.0.0.1:1", "data_center": "d"}              | 200    | {}                                                    |
      | GET    | /hosts          |                                                                                                              | 200    | {"hosts": []}                                         |
      | UNTIL  | /hosts          |                                                                                                              | 200    | {"hosts": [{"host": "e1", "state": "live"}]}          |
      | POST   | /control/faults | {"fault": "host_leaving", "on": "e1"}                                                                        | 200    | {}                                                    |
      | UNTIL  | /hosts          |                                                                                                              | 200    | {"hosts": [{"host": "e1", "state": "leaving"}]}       |
      | UNTIL  | /hosts          |                                                                                                              | 200    | {"hosts": []}                                         |
      | POST   | /control/faults | {"fault": "host_leaving", "on": "r1-w1"}                                                                     | 200    | {}                                                    |
      | UNTIL  | /hosts          |                                                                                                              | 200    | {"hosts": [{"host": "r1-w1", "role": "worker"}]}      |
      | POST   | /control/faults | {"fault": "lag", "seconds": 3600}                                                                            | 200    | {}                                                    |
      | DELETE | /hosts/r1-w1    |                                                                                                              | 200    | {}                                                    |
      | GET    | /hosts          |                                                                                                              | 200    | {"hosts": [{"host": "r1-w1"}]}                        |

  Scenario: Standins fence operations on workers and run each once
    An operation whose answer was lost is sent again, by the same daemon or a second one. It must
    not happen twice, and one with an older epoch must not undo a newer one.
    Given a standins platform with {"workers": {"reboot_s": 0.05}}
    Then standins calls are answered so
      | method | path                      | body                                                                  | status | answer                                                                          |
      | GET    | /workers?since=0          |                                                                       | 200    | {"version": 4, "workers": [{"worker": "r1-w1", "pool": "a", "epoch": 0}, {}, {}, {"worker": "r2-w2"}], "gone": []} |
      | POST   | /workers/r1-w1/operations | {"operation": "o0", "kind": "reboot", "epoch": 1}                     | 200    | {"operation": "o0", "result": "accepted"}                                       |
      | POST   | /workers/r1-w1/operations | {"operation": "o0", "kind": "reboot", "epoch": 1}                     | 200    | {"result": "repeated"}                                                          |
      | POST   | /control/faults           | {"fault": "doubled", "on": "/workers/*", "count": 1}                  | 200    | {}                                                                              |
      | POST   | /workers/r2-w2/operations | {"operation": "o20", "kind": "undrain", "epoch": 1}                   | 200    | {"result": "repeated"}                                                          |
      | UNTIL  | /operations/o0            |                                                                       | 200    | {"worker": "r1-w1", "kind": "reboot", "epoch": 1, "state": "done"}              |
      | GET    | /workers?since=4          |                                                                       | 200    | {"workers": [{"worker": "r1-w1", "state": "up", "boot": 2}]}                    |
      | POST   | /workers/r1-w1/operations | {"operation": "o1", "kind": "assign", "epoch": 2, "pool": "b"}        | 409    | {}                                                                              |
      | POST   | /workers/r1-w1/operations | {"operation": "o2", "kind": "drain", "epoch": 5}                      | 200    | {"result": "accepted"}                                                          |
      | UNTIL  | /operations/o2            |                                                                       | 200    | {"state": "done"}                                                               |
      | POST   | /workers/r1-w1/operations | {"operation": "o3", "kind": "undrain", "epoch": 4}                    | 409    | {"error": "stale epoch 4, r1-w1 has seen 5"}                                    |
      | GET    | /operations/o3            |                                                                       | 404    | {}                                                                              |
      | POST   | /workers/r1-w1/operations | {"operation": "o4", "kind": "assign", "epoch": 6, "pool": "b"}        | 200    | {"result": "accepted"}                                                          |
      | UNTIL  | /workers?since=0          |                                                                       | 200    | {"workers": [{"worker": "r1-w1", "pool": "b", "state": "up", "epoch": 6}]} |
      | POST   | /workers/r1-w2/operations | {"operation": "o5", "kind": "explode", "epoch": 1}                    | 400    | {}                                                                              |
      | POST   | /workers/none/operations  | {"operation": "o6", "kind": "drain", "epoch": 1}                      | 404    | {}                                                                              |
      | POST   | /control/faults           | {"fault": "never_drains", "on": "r1"}                                 | 200    | {}                                                                              |
      | POST   | /workers/r1-w2/operations | {"operation": "o7", "kind": "drain", "epoch": 1}                      | 200    | {}                                                                              |
      | GET    | /operations/o7            |                                                                       | 200    | {"state": "running"}                                                            |
      | POST   | /workers/r1-w2/operations | {"operation": "o8", "kind": "undrain", "epoch": 2}                    | 200    | {}                                                                              |
      | UNTIL  | /operations/o7            |                                                                       | 200    | {"state": "failed"}                                                             |
      | POST   | /control/faults           | {"fault": "never_returns", "on": "r1-w2"}                             | 200    | {}                                                                              |
      | POST   | /workers/r1-w2/operations | {"operation": "o9", "kind": "reboot", "epoch": 3}                     | 200    | {}                                                                              |
      | POST   | /workers/r1-w2/operations | {"operation": "o10", "kind": "drain", "epoch": 4}                     | 409    | {}                                                                              |
      | DELETE | /control/faults           |                                                                       | 200    | {"cleared": 2}                                                                  |
      | UNTIL  | /operations/o9            |                                                                       | 200    | {"state": "done"}                                                               |
      | POST   | /control/faults           | {"fault": "power_off", "on": "r1"}                                    | 200    | {}                                                                              |
      | POST   | /workers/r1-w2/operations | {"operation": "o11", "kind": "reboot", "epoch": 5}                    | 409    | {}                                                                              |
      | DELETE | /control/faults           |                                                                       | 200    | {}                                                                              |
      | POST   | /control/faults           | {"fault": "worker_removed", "on": "r2-w1"}                            | 200    | {}                                                                              |
      | GET    | /workers?since=4          |                                                                       | 200    | {"gone": ["r2-w1"]}                                                             |
      | GET    | /control/truth            |                                                                       | 200    | {"operations": {"o0": {"asked": 2, "executed": 1}, "o20": {"asked": 2, "executed": 1}, "o3": {"asked": 1, "executed": 0}}} |

  Scenario: Standins lose a whole rack and find it again
    Power fails in a rack. The platform shows its workers as up for a while, then as down, and their
    tasks as running until the workers are back, for nobody there can say otherwise; the record of
    truth has both ended from the moment it happened.
    Given a standins platform with {"workers": {"detect_s": 0.3, "usage_every_s": 0.05}}
    Then standins calls are answered so
      | method | path                 | body                                                                                                         | status | answer                                                                                    |
      | POST   | /workers/r1-w1/tasks | {"task": "t1", "job": "j", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60} | 200    | {}                                                                                        |
      | POST   | /control/faults      | {"fault": "power_off", "on": "r1"}                                                                           | 200    | {}                                                                                        |
      | GET    | /control/truth       |                                                                                                              | 200    | {"workers": {"r1-w1": [{"state": "up"}, {"state": "down"}], "r2-w1": [{"state": "up"}]}, "jobs": {"j": {"runs": [{"outcome": "lost"}]}}, "cuts": [{"worker": "r1-w1", "kind": "tasks"}]} |
      | GET    | /workers             |                                                                                                              | 200    | {"workers": [{"worker": "r1-w1", "state": "up"}]}                                         |
      | UNTIL  | /workers             |                                                                                                              | 200    | {"workers": [{"worker": "r1-w1", "state": "down"}, {"worker": "r1-w2", "state": "down"}]} |
      | GET    | /tasks               |                                                                                                              | 200    | {"tasks": [{"task": "t1", "state": "running"}]}                                           |
      | POST   | /tasks/renew         | {"tasks": [{"task": "t1", "epoch": 1}], "lease_s": 60}                                                       | 200    | {"lapsed": ["t1"]}                                                                        |
      | POST   | /control/faults      | {"fault": "power_off", "on": "r1-w1"}                                                                        | 200    | {}                                                                                        |
      | DELETE | /control/faults?on=r1 |                                                                                                             | 200    | {}                                                                                        |
      | UNTIL  | /workers             |                                                                                                              | 200    | {"workers": [{"worker": "r1-w1", "state": "down"}, {"worker": "r1-w2", "state": "up"}]}   |
      | POST   | /workers/r1-w1/tasks | {"task": "t2", "job": "j", "attempt": 2, "epoch": 2, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60} | 409    | {}                                                                                        |
      | DELETE | /control/faults      |                                                                                                              | 200    | {}                                                                                        |
      | UNTIL  | /workers             |                                                                                                              | 200    | {"workers": [{"worker": "r1-w1", "state": "up", "boot": 2}]}                              |
      | UNTIL  | /tasks               |                                                                                                              | 200    | {"tasks": [{"task": "t1", "state": "failed", "detail": "worker restarted"}]}              |
      | POST   | /control/workers     | {"worker": {"worker": "r1-w1"}, "rack": "r1", "data_center": "d"}                                            | 409    | {}                                                                                        |
      | POST   | /control/workers     | {"worker": {"worker": "r1-w3", "cores": 8}, "rack": "r1", "data_center": "d"}                                | 200    | {}                                                                                        |
      | GET    | /workers             |                                                                                                              | 200    | {"workers": [{"worker": "r1-w3", "rack": "r1", "cores": 8}]}                              |

  Scenario: Standins run tasks under leases
    Given a standins platform with {"workers": {"usage_every_s": 0.05, "reboot_s": 0.05}}
    Then standins calls are answered so
      | method | path                      | body                                                                                                                     | status | answer                                                                        |
      | POST   | /workers/r1-w1/tasks      | {"task": "t1", "job": "j1", "attempt": 1, "epoch": 3, "lease_s": 60, "cores": 30, "memory_gb": 1, "run_s": 900, "payload": {"real_run_s": 0.05, "real_cores": 2}} | 200 | {"task": "t1", "result": "accepted"}                 |
      | POST   | /workers/r1-w1/tasks      | {"task": "t1", "job": "j1", "attempt": 1, "epoch": 3, "lease_s": 60, "cores": 30, "memory_gb": 1, "run_s": 900}         | 200    | {"result": "repeated"}                                                        |
      | POST   | /workers/r1-w2/tasks      | {"task": "t2", "job": "j1", "attempt": 2, "epoch": 2, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 9}            | 409    | {"error": "stale epoch 2 of job j1"}                                          |
      | POST   | /workers/r2-w2/tasks      | {"task": "tb", "job": "jb", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 30, "memory_gb": 1, "run_s": 900}         | 200    | {"result": "accepted"}                                                        |
      | POST   | /workers/r2-w2/tasks      | {"task": "t3", "job": "j3", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 3, "memory_gb": 1, "run_s": 9}            | 409    | {}                                                                            |
      | UNTIL  | /tasks?since=0            |                                                                                                                          | 200    | {"tasks": [{"task": "t1", "job": "j1", "epoch": 3, "state": "done", "usage": {"memory_gb": 1.0, "cores": 2.0}}]} |
      | POST   | /workers/r1-w1/tasks      | {"task": "t4", "job": "j4", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 0.01, "payload": {"fails": true}} | 200 | {}                                                         |
      | UNTIL  | /tasks                    |                                                                                                                          | 200    | {"tasks": [{"task": "t4", "state": "failed"}]}                            |
      | POST   | /workers/r1-w1/tasks      | {"task": "t5", "job": "j5", "attempt": 1, "epoch": 1, "lease_s": 0.1, "cores": 1, "memory_gb": 1, "run_s": 60}          | 200    | {}                                                                            |
      | UNTIL  | /tasks                    |                                                                                                                          | 200    | {"tasks": [{"task": "t5", "state": "lapsed"}]}                        |
      | POST   | /tasks/t5/operations      | {"operation": "x1", "epoch": 1, "step": "renew", "lease_s": 60}                                                          | 409    | {}                                                                            |
      | POST   | /workers/r1-w1/tasks      | {"task": "t6", "job": "j6", "attempt": 1, "epoch": 2, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60}           | 200    | {}                                                                            |
      | POST   | /tasks/renew              | {"tasks": [{"task": "t6", "epoch": 2}, {"task": "t5", "epoch": 1}, {"task": "t9", "epoch": 1}], "lease_s": 60}           | 200    | {"lapsed": ["t5", "t9"]}                                                      |
      | POST   | /tasks/t6/operations      | {"operation": "x2", "epoch": 1, "step": "stop"}                                                                          | 409    | {"error": "stale epoch 1 of job j6"}                                          |
      | POST   | /tasks/t6/operations      | {"operation": "x3", "epoch": 2, "step": "throttle"}                                                                      | 200    | {"result": "accepted"}                                                        |
      | POST   | /tasks/t6/operations      | {"operation": "x3", "epoch": 2, "step": "throttle"}                                                                      | 200    | {"result": "repeated"}                                                        |
      | UNTIL  | /tasks                    |                                                                                                                          | 200    | {"tasks": [{"task": "t6", "state": "throttled", "usage": {"cores": 0.5}}]} |
      | POST   | /tasks/t6/operations      | {"operation": "x4", "epoch": 2, "step": "checkpoint"}                                                                    | 200    | {}                                                                            |
      | POST   | /tasks/t6/operations      | {"operation": "x5", "epoch": 2, "step": "resume"}                                                                        | 409    | {}                                                                            |
      | POST   | /tasks/t0/operations      | {"operation": "x6", "epoch": 2, "step": "stop"}                                                                          | 404    | {}                                                                            |
      | POST   | /workers/r1-w2/tasks      | {"task": "t7", "job": "j6", "attempt": 2, "epoch": 3, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60}           | 200    | {}                                                                            |
      | POST   | /workers/r1-w2/operations | {"operation": "o1", "kind": "drain", "epoch": 1}                                                                         | 200    | {}                                                                            |
      | POST   | /workers/r1-w2/tasks      | {"task": "t8", "job": "j8", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60}           | 409    | {}                                                                            |
      | GET    | /operations/o1            |                                                                                                                          | 200    | {"state": "running"}                                                          |
      | POST   | /tasks/t7/operations      | {"operation": "x7", "epoch": 3, "step": "stop"}                                                                          | 200    | {}                                                                            |
      | UNTIL  | /operations/o1            |                                                                                                                          | 200    | {"state": "done"}                                                             |
      | POST   | /control/faults           | {"fault": "fails_tasks", "on": "r2-w1"}                                                                                  | 200    | {}                                                                            |
      | POST   | /workers/r2-w1/tasks      | {"task": "ta", "job": "ja", "attempt": 1, "epoch": 1, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60}           | 200    | {}                                                                            |
      | UNTIL  | /control/truth            |                                                                                                                          | 200    | {"jobs": {"ja": {"runs": [{"outcome": "failed"}]}, "j6": {"overlapping": 0, "runs": [{"worker": "r1-w1", "outcome": "checkpointed"}, {"worker": "r1-w2", "outcome": "stopped"}]}}} |

  Scenario: Standins let a paused worker's task go on beside its successor
    The worker's host is frozen, so it can't stop its task when the lease runs out. A second run is
    started elsewhere. When the first worker wakes it goes on for a moment, and the record of truth
    shows two runs at a time: this is the harm that users of the platform have to prevent.
    Given a standins platform with {}
    Then standins calls are answered so
      | method | path                 | body                                                                                                          | status | answer                                                                           |
      | POST   | /workers/r1-w1/tasks | {"task": "t1", "job": "j", "attempt": 1, "epoch": 1, "lease_s": 0.3, "cores": 1, "memory_gb": 1, "run_s": 60} | 200    | {}                                                                               |
      | POST   | /control/faults      | {"fault": "paused", "on": "r1-w1"}                                                                            | 200    | {}                                                                               |
      | POST   | /tasks/renew         | {"tasks": [{"task": "t1", "epoch": 1}], "lease_s": 60}                                                        | 200    | {"lapsed": ["t1"]}                                                               |
      | POST   | /workers/r2-w1/tasks | {"task": "t2", "job": "j", "attempt": 2, "epoch": 2, "lease_s": 60, "cores": 1, "memory_gb": 1, "run_s": 60}  | 200    | {}                                                                               |
      | UNTIL  | /log/a?wait=0.4      |                                                                                                               | 200    | {}                                                                               |
      | GET    | /tasks               |                                                                                                               | 200    | {"tasks": [{"task": "t1", "state": "running"}, {"task": "t2", "state": "running"}]} |
      | DELETE | /control/faults      |                                                                                                               | 200    | {}                                                                               |
      | UNTIL  | /tasks               |                                                                                                               | 200    | {"tasks": [{"task": "t2"}, {"task": "t1", "state": "lapsed"}]}                   |
      | GET    | /control/truth       |                                                                                                               | 200    | {"jobs": {"j": {"overlapping": 1}}}                                              |

  Scenario Outline: Standins executors cause <fault> for real
    Given a standins executors process with {}
    And the standins fault <fault>
    When a standins request is sent
    Then the standins caller sees <seen> and the request was run <runs> times

    Examples:
      | fault                                              | seen       | runs |
      | {}                                                 | whole      | 1    |
      | {"fault": "slow", "seconds": 0.05, "factor": 2}    | whole      | 1    |
      | {"fault": "failing", "on": "x"}                    | 500        | 1    |
      | {"fault": "refusing"}                              | not run    | 0    |
      | {"fault": "late", "seconds": 30}                   | silence    | 1    |
      | {"fault": "short", "at_byte": 7}                   | cut        | 1    |
      | {"fault": "short", "at_byte": 200}                 | cut        | 1    |
      | {"fault": "short", "at_byte": 70000}               | cut        | 1    |
      | {"fault": "wrong_id"}                              | wrong id   | 1    |
      | {"fault": "reset_before_reading"}                  | cut        | 0    |
      | {"fault": "reset_after_reading"}                   | cut        | 0    |
      | {"fault": "reset_after_running", "count": 1}       | cut        | 1    |
      | {"fault": "kill_after_run"}                        | cut        | 1    |
      | {"fault": "silent"}                                | whole      | 1    |

  Scenario: Standins executors keep their limits and drain
    Given a standins executors process with {"slots": 2, "connections": 5, "drain_quiet_s": 0.2}
    When 5 standins requests that run 0.2 seconds are sent while the executor begins to leave
    Then all standins answers are whole and the executor ran 2 at most at a time
    And the standins executor no longer listens, and does again when told to start

  Scenario: Standins executors pass over a start that arrives after the drain that took it back
    The platform starts an executor and drains its worker at once. The two calls go by connections
    of their own, so the start may arrive last; done then, the executor would serve for good.
    Given a standins executors process with {"drain_quiet_s": 0.05}
    When the standins executor is told to drain with order 2 and to start with order 1
    Then the standins executor is drained, and up when told to start with order 3

  Scenario: Standins connections go silent while new ones work
    Given a standins executors process with {}
    When a standins connection has been used and goes silent
    Then a standins request on it gets no answer and isn't run, and one on a new connection is whole

  Scenario: Standins double an answer that meets the next request
    Given a standins executors process with {}
    And the standins fault {"fault": "doubled", "count": 1}
    When the standins requests r1 and r2 are sent on one connection
    Then the standins answers on it carry the request ids r1 r1 r2

  Scenario: Standins executors follow the platform
    Executors are drained, moved to another pool's service, and cut off by a reboot as the platform
    says; the platform's record counts what a reboot cut off.
    Given a standins platform with {"workers": {"reboot_s": 0.05}}
    And a standins executors process of that platform
    Then standins calls are answered so
      | method | path                      | body                                                           | status | answer                                                                   |
      | UNTIL  | /workers?since=0          |                                                                | 200    | {"workers": [{"executors": [{"service": "x"}]}]} |
      | POST   | /workers/r1-w1/operations | {"operation": "o1", "kind": "drain", "epoch": 1}               | 200    | {}                                                                       |
      | UNTIL  | /workers?since=0          |                                                                | 200    | {"workers": [{"worker": "r1-w1", "state": "drained", "executors": []}]} |
      | POST   | /workers/r1-w1/operations | {"operation": "o2", "kind": "assign", "epoch": 2, "pool": "b"} | 200    | {}                                                                       |
      | UNTIL  | /workers?since=0          |                                                                | 200    | {"workers": [{"worker": "r1-w1", "executors": [{"service": "y"}]}]} |
    When a standins request runs on r2-w1 while it is drained twice
    Then the standins worker was drained only once the request was answered whole
    When a standins request runs on r1-w1 while it is rebooted
    Then standins calls are answered so
      | method | path           | body | status | answer                                                                  |
      | UNTIL  | /control/truth |      | 200    | {"cuts": [{"worker": "r1-w1", "kind": "requests", "count": 1}]}         |

  Scenario: a standins platform that is held up carries out its orders all the same
    Executors weren't started, for good, as the platform's process waited for a processor while it
    looked up the address: the time to connect was over when it ran again, and no order is repeated.

    When a standins platform is held up for 2.5 seconds as it orders an executor to be cut
    Then the standins executors process has carried that out

  Scenario Outline: Standins refuse <settings> with one line
    When the standins <module> is started with <settings>
    Then it ends with exit status <status> and one standins line with <text>

    Examples:
      | module    | settings                            | status | text                                    |
      | platforms | {"fleet": {"data_centers": 3}}      | 20     | MG2002 settings_invalid                 |
      | platforms | {"fleet": "nowhere.json"}           | 20     | MG2000 settings_unreadable              |
      | executors | {"slots": 0}                        | 20     | executors.json:slots                    |
      | executors | {"slot": 8}                         | 20     | unknown field `slot`                    |
      | executors | {"executors"                        | 20     | MG2001 settings_syntax                  |
      | executors | {}                                  | 21     | MG2003                                  |

  Scenario Outline: Standins fleet <fleet> is as its users say
    Then standins fleet <fleet> has <centers> data centers and <executors> executors of each of 5 services, spread over racks of 4 workers of <cores> cores and <memory> GB

    Examples:
      | fleet      | centers | executors | cores | memory |
      | thekkady   | 3       | 6         | 32    | 64     |
      | federation | 4       | 8         | 64    | 256    |
