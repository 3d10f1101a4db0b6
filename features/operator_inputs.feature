Feature: nothing that is sent to the operators' port takes an entry host down
  The port is reached by people's tools, by scrapers and by whoever gets into the network. Each
  malformed request is refused by number; slow senders and floods of connections cost bounded
  memory; and the port goes on serving operators meanwhile.

  Scenario: requests that aren't valid HTTP are refused by number
    A proxy in front and the entry host could disagree on where such a request ends, and what one
    takes for a body the other takes for the next request. So the connection ends with the refusal.
    Given an operators' port
    Then the operators' port refuses these bytes, and closes the connection
      | bytes                                                                               | code |
      | GET /v1/status HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\nHost: a\r\n\r\nhello!  | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n             | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n             | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n     | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n     | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n     | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n  | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello                 | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\nhello                 | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\nhello                | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5 5\r\n\r\nhello                | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5_0\r\n\r\nhello                | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n             | 1111 |
      | POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 4194305\r\n\r\n                 | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost : a\r\n\r\n                                          | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\n folded: b\r\n\r\n                             | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\nNo colon here\r\n\r\n                          | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\n: empty\r\n\r\n                                | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\nX-A: b\x00c\r\n\r\n                            | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\nX-A: b\x7fc\r\n\r\n                            | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\nX\x01A: b\r\n\r\n                              | 1111 |
      | GET /v1/status HTTP/1.1\r\n\r\n                                                      | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                | 1111 |
      | GET /v1/status HTTP/1.1\r\nHost: a/b\r\n\r\n                                         | 1111 |
      | GET /v1/status\r\n\r\n                                                               | 1111 |
      | GET  /v1/status HTTP/1.1\r\nHost: a\r\n\r\n                                          | 1111 |
      | GET /v1/status HTTP/9.9\r\nHost: a\r\n\r\n                                           | 1111 |
      | GET /v1/sta tus HTTP/1.1\r\nHost: a\r\n\r\n                                          | 1111 |
      | PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n                                                     | 1111 |
      | G\xcbT /v1/status HTTP/1.1\r\nHost: a\r\n\r\n                                        | 1111 |
      | \x16\x03\x01\x00\x05hello\r\n\r\n                                                    | 1111 |
      | hello\r\n\r\n                                                                        | 1111 |
      | a head of 40000 bytes                                                               | 1112 |
      | a head without an end of 40000 bytes                                                | 1112 |

  Scenario: requests that make no sense are refused by number
    An operator's script has a mistake in it, or somebody tries names that aren't theirs to try.
    Given an operators' port
    Then the operators' port refuses these requests, and keeps the connection
      | request                                         | body                                             | code | place      |
      | GET /                                           | -                                                | 6003 | -          |
      | GET /v2/status                                  | -                                                | 6003 | -          |
      | GET /v1/../../etc/passwd                        | -                                                | 6003 | -          |
      | GET /v1/hosts/%00                               | -                                                | 3009 | -          |
      | GET /v1/hosts/%2e%2e%2f                         | -                                                | 3009 | -          |
      | GET /v1/hosts/%ff                               | -                                                | 1111 | -          |
      | GET /v1/hosts/nobody                            | -                                                | 3009 | nobody     |
      | GET /v1/jobs/nobody                             | -                                                | 4000 | nobody     |
      | GET /v1/waves/nobody                            | -                                                | 4010 | nobody     |
      | GET /v1/profiles/nobody                         | -                                                | 6003 | nobody     |
      | GET /v1/explain/weather/x                       | -                                                | 6003 | -          |
      | GET /v1/explain/code/99999                      | -                                                | 6003 | -          |
      | GET /v1/explain/request/x                       | -                                                | 6003 | -          |
      | GET /v1/timeline?since=yesterday                | -                                                | 1111 | since      |
      | GET /v1/timeline?since=nan                      | -                                                | 1111 | since      |
      | GET /v1/timeline?host=%ff                       | -                                                | 1111 | -          |
      | PUT /v1/status                                  | {}                                               | 1111 | -          |
      | PATCH /v1/jobs                                  | {}                                               | 1111 | -          |
      | TRACE /v1/status                                | -                                                | 1111 | -          |
      | BREW /v1/status                                 | -                                                | 1111 | -          |
      | POST /v1/status                                 | {}                                               | 1111 | -          |
      | DELETE /v1/hosts                                | -                                                | 1111 | -          |
      | POST /v1/changes                                | -                                                | 1111 | changes    |
      | POST /v1/changes                                | {                                                | 1111 | changes    |
      | POST /v1/changes                                | []                                               | 1111 | changes    |
      | POST /v1/changes                                | null                                             | 1111 | changes    |
      | POST /v1/changes                                | {}                                               | 1111 | changes    |
      | POST /v1/changes                                | {"id": "a"}                                      | 1111 | changes    |
      | POST /v1/changes                                | {"id": "a", "changes": []}                       | 1111 | changes    |
      | POST /v1/changes                                | {"id": 5, "changes": []}                         | 1111 | id         |
      | POST /v1/changes                                | {"id": "", "changes": [{"key": "team/t", "base": -1, "value": null}]} | 1111 | id |
      | POST /v1/changes                                | {"id": "a/b", "changes": [{"key": "team/t", "base": -1, "value": null}]} | 1111 | id |
      | POST /v1/changes                                | {"id": "a", "changes": [{}]}                     | 1111 | changes[0] |
      | POST /v1/changes                                | {"id": "a", "changes": [{"key": 5, "base": -1, "value": {}}]} | 1111 | key |
      | POST /v1/changes                                | {"id": "a", "changes": [{"key": "team/t", "base": 1e99, "value": {}}]} | 1111 | base |
      | POST /v1/changes                                | {"id": "a", "changes": [{"key": "team/t", "base": -1, "value": []}]} | 1111 | value |
      | POST /v1/changes                                | {"id": "a", "changes": [], "force": true}        | 1111 | changes    |
      | POST /v1/changes                                | {"id": "b1", "changes": [{"key": "team/t", "base": -1, "value": {}}]} | 3005 | - |
      | POST /v1/changes                                | {"id": "b2", "changes": [{"key": "moon/t", "base": -1, "value": {}}]} | 3005 | - |
      | POST /v1/changes                                | {"id": "b3", "changes": [{"key": "", "base": -1, "value": {}}]} | 3005 | - |
      | POST /v1/changes                                | {"id": "b4", "changes": [{"key": "service/s", "base": -1, "value": {"profile": "p", "team": "t", "path": "/s"}}]} | 3008 | - |
      | POST /v1/changes                                | nested 100000 times                              | 1111 | changes    |
      | POST /v1/changes                                | 300 KB of declarations                           | 3012 | -          |
      | POST /v1/jobs                                   | {"id": "j", "spec": {}}                          | 1111 | spec       |
      | POST /v1/jobs                                   | {"id": "j", "spec": {"team": "t", "urgency": "now", "cores": 1, "memory_gb": 1, "accelerators": 0, "run_s": 1, "idempotent": true}} | 1111 | urgency |
      | POST /v1/jobs                                   | {"id": "j", "spec": {"team": "t", "urgency": 1, "cores": -1, "memory_gb": 1, "accelerators": 0, "run_s": 1, "idempotent": true}} | 3012 | - |
      | POST /v1/jobs                                   | {"id": "k", "spec": {"team": "t", "urgency": 1, "cores": 1, "memory_gb": 1, "accelerators": 0, "run_s": 1, "idempotent": true}} | 3008 | - |
      | POST /v1/jobs/cancel                            | {"jobs": "j"}                                    | 1111 | jobs       |
      | POST /v1/jobs/cancel                            | 10001 jobs                                       | 1112 | jobs       |
      | DELETE /v1/jobs/nobody                          | -                                                | 4000 | nobody     |
      | POST /v1/hosts/nobody/drain                     | {}                                               | 3009 | nobody     |
      | POST /v1/hosts/nobody/drain                     | {"urgent": "yes"}                                | 1111 | urgent     |
      | POST /v1/hosts/nobody/explode                   | {}                                               | 6003 | -          |
      | POST /v1/waves                                  | {}                                               | 1111 | wave       |
      | POST /v1/waves                                  | {"wave": "w"}                                    | 1111 | hosts      |
      | POST /v1/waves                                  | {"wave": "w", "rack": "r", "hosts": ["h"]}       | 1111 | hosts      |
      | POST /v1/waves                                  | {"wave": "w", "rack": "r"}                       | 3009 | rack       |
      | POST /v1/waves                                  | {"wave": "w", "hosts": ["nobody"]}               | 3009 | nobody     |
      | POST /v1/waves/nobody/pause                     | {}                                               | 4010 | nobody     |

  Scenario: a page in an operator's browser can't make changes
    A page on another site posts a form, or a script, to the port that the operator's browser can
    reach. The browser sends a form without asking, but not with this content type. Or the page's
    name is made to point to the port once the page is loaded, so that it may send anything.
    Given an operators' port
    Then the operators' port refuses changes sent as forms, as text or without a type
    And the operators' port refuses all that is asked of a host with a name

  Scenario: slow senders and floods of connections don't keep operators out
    Somebody opens hundreds of connections and sends a byte now and then. Each one holds memory and
    a descriptor; without bounds the daemon runs out of both and requests of callers fail with it.
    Given an operators' port
    When the operators' port gets 260 connections that send a byte now and then
    Then the operators' port refuses those above its limit by number, with bounded memory
    And the operators' port closes the slow ones in time and serves operators again

  Scenario: bytes mutated at random never end in a fault of ours
    Given an operators' port
    Then the operators' port answers mutated requests with 2xx or a numbered 4xx, and goes on serving
