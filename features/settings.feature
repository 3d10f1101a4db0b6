Feature: a daemon's settings are checked before anything starts
  A setting that is misspelt, in the wrong unit or at odds with another shows itself hours later, as
  a lease that lapses or a port that is taken. Each is refused at start, in one line with a numbered
  code, the file and the key, and never with a traceback.

  Scenario: settings that are right are loaded
    Given settings' example file with comments
    Then settings are loaded and the command line says that they are valid

  Scenario Outline: settings with <key> = <value> are refused
    Given settings with <key> = <value>
    Then settings are refused as MG2002 at <place> with <detail>

    Examples:
      | key                         | value                                                 | place                         | detail                                |
      | host                        | 5                                                     | host                          | Expected `str`                        |
      | host                        | ""                                                    | host                          | regex                                 |
      | host                        | "a b"                                                 | host                          | regex                                 |
      | host                        | "../../etc"                                           | host                          | regex                                 |
      | host                        | "a\\u0000"                                            | host                          | regex                                 |
      | host                        | null                                                  | host                          | Expected `str`                        |
      | host                        | ["a"]                                                 | host                          | Expected `str`                        |
      | data_center                 | true                                                  | data_center                   | Expected `str`                        |
      | data_center                 | "-d"                                                  | data_center                   | regex                                 |
      | address                     | "localhost"                                           | address                       | regex                                 |
      | address                     | "999.1.1.1"                                           | address                       | no IP number                          |
      | address                     | "::g"                                                 | address                       | regex                                 |
      | address                     | "1.2.3"                                               | address                       | no IP number                          |
      | adress                      | "127.0.0.1"                                           | -                             | did you mean address?                 |
      | platform                    | "127.0.0.1:1"                                         | platform                      | Expected `object`                     |
      | platform                    | {}                                                    | platform                      | missing required field `address`      |
      | platform.address            | "127.0.0.1"                                           | platform.address              | regex                                 |
      | platform.address            | "127.0.0.1:99999"                                     | platform.address              | is not IP:PORT                        |
      | platform.address            | "127.0.0.1:0"                                         | platform.address              | is not IP:PORT                        |
      | platform.address            | "::1:80"                                              | platform.address              | is not IP:PORT                        |
      | platform.address            | "http://127.0.0.1:1"                                  | platform.address              | regex                                 |
      | platform.stream             | "a/b"                                                 | platform.stream               | regex                                 |
      | platform.claims_stream      | "mustardgap"                                          | platform.claims_stream        | the same as platform.stream           |
      | platform.timeout_s          | 0                                                     | platform.timeout_s            | > 0.0                                 |
      | platform.timeout_s          | -1                                                    | platform.timeout_s            | > 0.0                                 |
      | platform.timeout_s          | "2s"                                                  | platform.timeout_s            | Expected `float`                      |
      | platform.timeout_s          | NaN                                                   | platform.timeout_s            | not a finite number                   |
      | platform.timeout_s          | Infinity                                              | platform.timeout_s            | not a finite number                   |
      | platform.timeout_s          | 5000                                                  | platform.timeout_s            | <= 600.0                              |
      | platform.timeout_s          | 30                                                    | platform.stale_after_s        | isn't more than platform.timeout_s    |
      | platform.timeout_ms         | 2000                                                  | platform                      | did you mean timeout_s, in seconds?   |
      | platform.timeout            | 2                                                     | platform                      | did you mean timeout_s, in seconds?   |
      | platform.poll_s             | null                                                  | platform.poll_s               | Expected `float`                      |
      | platform.appends_per_s      | 0                                                     | platform.appends_per_s        | >= 1                                  |
      | platform.appends_per_s      | 1.5                                                   | platform.appends_per_s        | Expected `int`                        |
      | platform.checkpoint_records | 1000000000                                            | platform.checkpoint_records   | <= 1000000                            |
      | callers.port                | 70000                                                 | callers.port                  | <= 65535                              |
      | callers.port                | -1                                                    | callers.port                  | >= 0                                  |
      | callers.port                | "8080"                                                | callers.port                  | Expected `int`                        |
      | callers.port                | true                                                  | callers.port                  | Expected `int`                        |
      | callers.port                | 8081                                                  | operators.port                | is callers.port already               |
      | callers.max_connections     | 0                                                     | callers.max_connections       | >= 1                                  |
      | callers.max_connections     | 99999999999999999999                                  | callers.max_connections       | -                                     |
      | callers.max_body_bytes      | 8000000000000                                         | callers.max_body_bytes        | <= 1073741824                         |
      | callers.max_body_mb         | 8                                                     | callers                       | unknown key max_body_mb               |
      | callers.max_body_bytes      | 1000                                                  | callers.buffered_answer_bytes | is more than callers.max_body_bytes   |
      | callers.header_timeout_s    | 5000                                                  | callers.header_timeout_s      | <= 600.0                              |
      | callers.default_timeout_s   | 200                                                   | callers.default_timeout_s     | is more than callers.max_timeout_s    |
      | callers.default_timeout_s   | {}                                                    | callers.default_timeout_s     | Expected `float`                      |
      | callers.max_timeout_s       | 0.4                                                   | callers.default_timeout_s     | is more than callers.max_timeout_s    |
      | callers.tls                 | {}                                                    | callers                       | unknown key tls                       |
      | callers                     | []                                                    | callers                       | Expected `object`                     |
      | operators.port              | 8082                                                  | peers.port                    | is operators.port already             |
      | operators.tls               | true                                                  | operators.tls                 | Expected `object                      |
      | operators.tls               | {}                                                    | operators.tls                 | missing required field                |
      | operators.tls               | {certificate: "a", key: "b"}                          | operators.tls                 | missing required field `authority`    |
      | operators.tls               | {certificate: "", key: "b", authority: "c"}           | operators.tls.certificate     | length >= 1                           |
      | operators.tls               | {certificate: "a", key: "b", authority: "c", ca: "d"} | operators.tls                 | unknown key ca                        |
      | operators.password          | "x"                                                   | operators                     | unknown key password                  |
      | peers.seeds                 | "127.0.0.1:1"                                         | peers.seeds                   | Expected `array`                      |
      | peers.seeds                 | ["127.0.0.1"]                                         | peers.seeds[0]                | regex                                 |
      | peers.seeds                 | ["127.0.0.1:1", "1.2.3:9"]                            | peers.seeds[1]                | is not IP:PORT                        |
      | peers.seeds                 | [1]                                                   | peers.seeds[0]                | Expected `str`                        |
      | peers.suspect_s             | 20                                                    | peers.suspect_s               | isn't less than peers.dead_s          |
      | peers.fanout                | 0                                                     | peers.fanout                  | >= 1                                  |
      | peers.gossip_s              | 0.0                                                   | peers.gossip_s                | > 0.0                                 |
      | peers.gossip_ms             | 500                                                   | peers                         | did you mean gossip_s, in seconds?    |
      | peers.max_queued            | "many"                                                | peers.max_queued              | Expected `int`                        |
      | requests.sharing            | "random"                                              | requests.sharing              | regex                                 |
      | requests.sharing            | 1                                                     | requests.sharing              | Expected `str`                        |
      | requests.retry_ratio        | 1.5                                                   | requests.retry_ratio          | <= 1.0                                |
      | requests.retry_ratio        | "10%"                                                 | requests.retry_ratio          | Expected `float`                      |
      | requests.retry_ratio        | -0.1                                                  | requests.retry_ratio          | >= 0.0                                |
      | requests.max_tries          | 0                                                     | requests.max_tries            | >= 1                                  |
      | requests.max_tries          | 11                                                    | requests.max_tries            | <= 10                                 |
      | requests.key_ttl_s          | 60                                                    | requests.key_ttl_s            | is less than callers.max_timeout_s    |
      | requests.connect_timeout_s  | 120                                                   | requests.connect_timeout_s    | isn't less than callers.max_timeout_s |
      | requests.retries            | 3                                                     | requests                      | unknown key retries                   |
      | capacity.lease_s            | 1                                                     | capacity.lease_s              | is less than platform.timeout_s       |
      | capacity.act_s              | 5                                                     | capacity.act_s                | is more than capacity.takeover_s      |
      | capacity.max_attempts       | 21                                                    | capacity.max_attempts         | <= 20                                 |
      | capacity.plan_s             | [2]                                                   | capacity.plan_s               | Expected `float`                      |
      | capacity.plan_seconds       | 2                                                     | capacity                      | did you mean plan_s, in seconds?      |
      | timeline_size               | 0                                                     | timeline_size                 | >= 1                                  |
      | timeline_size               | "10k"                                                 | timeline_size                 | Expected `int`                        |
      | stop_timeout_s              | 1e400                                                 | stop_timeout_s                | not a finite number                   |
      | stop_timeout_s              | -Infinity                                             | stop_timeout_s                | not a finite number                   |
      | verbosity                   | 4                                                     | verbosity                     | <= 3                                  |
      | verbosity                   | "debug"                                               | verbosity                     | Expected `int`                        |
      | __proto__                   | {}                                                    | -                             | unknown key __proto__                 |
      | requests                    | null                                                  | requests                      | Expected `object`                     |

  Scenario Outline: a settings file that holds <text> is refused
    Given a settings file that holds <text>
    Then settings are refused as <code> at the file

    Examples:
      | text                      | code   |
      | nothing                   | MG2001 |
      | {                         | MG2001 |
      | []                        | MG2002 |
      | "text"                    | MG2002 |
      | null                      | MG2002 |
      | 17                        | MG2002 |
      | {}                        | MG2002 |
      | {host: "a", host: "b"}    | MG2001 |
      | {host: 'a}                | MG2001 |
      | {host: "a" address: "b"}  | MG2001 |
      | host: a                   | MG2001 |
      | {host: 0x}                | MG2001 |
      | {host: "a"} and more      | MG2001 |
      | // only a comment         | MG2001 |
      | /* not closed             | MG2001 |
      | 1000 open brackets        | MG2001 |
      | 20000 open brackets       | MG2001 |
      | bytes that aren't UTF-8   | MG2000 |
      | 5 MB of spaces            | MG2000 |
      | {host: "\ud800"}           | MG2001 |
      | a device in its place     | MG2000 |
      | no file in its place      | MG2000 |

  Scenario: settings mutated at random are either loaded or refused by number
    Given settings' example file with comments
    Then settings mutated at random are loaded, or refused as MG2000, MG2001 or MG2002 at the file
