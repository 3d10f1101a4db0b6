Feature: the command line does what it says and refuses the rest by number
  Operators and their scripts act on its output and exit status. Every refusal is one line with a
  numbered code, the place and what to do, and the exit status of the code.

  Scenario: a new user follows the examples of the help
    Given commands' entry hosts
    When commands publish the declarations of a small town and wait for them
    Then commands print what is in force, as text and as JSON
    And commands submit a job once, however often it is sent, and cancel it
    And commands show the time line as text, as JSON and as one page that needs nothing else
    And commands print help with an example for each of them, and completions for each shell

  Scenario: an operator who loses a race sees what changed
    Two operators edit the same declarations. The second one's apply is turned down, and shows the
    fields that the first one changed, so that neither undoes the other's work unknowingly.
    Given commands' entry hosts
    When commands publish the declarations of a small town and wait for them
    And commands publish a change made on versions that are no longer in force
    Then commands end with MG3000 and print the field that someone else changed

  Scenario: colours and tables are for terminals alone
    A script cuts the output into columns; an escape sequence in it would break the script, and a
    table drawn for eyes would too. On a terminal people get both.
    Given commands' entry hosts
    Then commands print colours on a terminal, and none into a pipe or a file

  Scenario: an entry host is gone
    The first entry host named is stopped, as any of them may be at any time; the next one serves.
    With all of them gone the operator is told so, by address.
    Given commands' entry hosts
    When commands' first entry host stops
    Then commands still work through the second one
    And commands without any entry host end with MG6001 and status 60

  Scenario: waiting ends in time when an entry host doesn't follow
    One entry host is cut off from the log and its peers. A wait without a limit would hang the
    operator's script; a wait that ended as if all were well would be untrue.
    Given commands' entry hosts
    When commands publish with a wait of 1 second while one entry host is cut off from the log
    Then commands end with MG6002 naming that entry host, and the change stays accepted

  Scenario Outline: waiting counts every entry host that there is (<which>)
    An entry host has just started: the one that is asked doesn't know it as a member yet. A wait
    that counted only the members known there would end too early, and say "everywhere".
    Given commands' entry hosts
    When commands publish with a wait of 1 second through one that doesn't know <which> yet
    Then commands end with MG6002 naming that entry host, and the change stays accepted

    Examples:
      | which                                   |
      | an entry host that is named beside it   |
      | an entry host on the platform's list    |

  Scenario Outline: the command line <words> is refused
    When commands are called with <words>
    Then commands end with <code> and one line that says <detail>

    Examples:
      | words                                              | code   | detail                  |
      | frobnicate                                         | MG6000 | No such command         |
      | --frobnicate                                       | MG6000 | No such option          |
      | --output yaml status                               | MG6000 | 'yaml' is not one of    |
      | --output                                           | MG6000 | requires an argument    |
      | --entry localhost status                           | MG6000 | is not IP:PORT          |
      | --entry 1.2.3.4:0 status                           | MG6000 | is not IP:PORT          |
      | --entry 1.2.3.4:65536 status                       | MG6000 | is not IP:PORT          |
      | --entry 1.2.3.4:1:2x status                        | MG6000 | is not IP:PORT          |
      | --entry user@1.2.3.4:80 status                     | MG6000 | is not IP:PORT          |
      | --entry 1.2.3.4/x:80 status                        | MG6000 | is not IP:PORT          |
      | --entry :80 status                                 | MG6000 | is not IP:PORT          |
      | --entry example.com:80 status                      | MG6000 | is not IP:PORT          |
      | --entry ::1:80 status                              | MG6000 | is not IP:PORT          |
      | --entry [::1:80 status                             | MG6000 | is not IP:PORT          |
      | --entry 1.2.3:80 status                            | MG6000 | is not IP:PORT          |
      | --call-timeout 0 status                            | MG6000 | not in the range        |
      | --call-timeout NaN status                          | MG6000 | not a finite number     |
      | --call-timeout soon status                         | MG6000 | not a valid number      |
      | --tls-key k status                                 | MG6000 | go together             |
      | --tls-key k --tls-certificate c --tls-authority a status | MG2006 | No such file      |
      | status extra                                       | MG6000 | unexpected extra        |
      | status --frobnicate                                | MG6000 | No such option          |
      | apply                                              | MG6000 | Missing argument        |
      | apply a b                                          | MG6000 | unexpected extra        |
      | apply /nowhere                                     | MG2000 | no such directory       |
      | apply /dev/null                                    | MG2000 | no such directory       |
      | apply . --timeout -1                               | MG6000 | not in the range        |
      | apply . --wait --timeout nan                       | MG6000 | not a finite number     |
      | apply . --timeout long                             | MG6000 | not a valid number      |
      | diff /nowhere                                      | MG2000 | no such directory       |
      | diff                                               | MG6000 | Missing argument        |
      | config                                             | MG6000 | -                       |
      | config check                                       | MG6000 | Missing argument        |
      | config check /nowhere/file                         | MG2000 | No such file            |
      | config check /dev/zero                             | MG2000 | not a plain file        |
      | config frobnicate                                  | MG6000 | No such command         |
      | jobs frobnicate                                    | MG6000 | No such command         |
      | jobs submit                                        | MG6000 | Missing argument        |
      | jobs submit /nowhere                               | MG2000 | No such file            |
      | jobs submit /dev/zero                              | MG2000 | not a plain file        |
      | jobs status                                        | MG6000 | Missing argument        |
      | jobs cancel                                        | MG6000 | Missing argument        |
      | drain                                              | MG6000 | Missing argument        |
      | drain w1 --undrain --urgent                        | MG6000 | exclude each other      |
      | drain w1 w2                                        | MG6000 | unexpected extra        |
      | wave start                                         | MG6000 | give one of             |
      | wave start --rack r --data-center d                | MG6000 | give one of             |
      | wave start --rack                                  | MG6000 | requires an argument    |
      | wave pause                                         | MG6000 | Missing argument        |
      | wave stop w                                        | MG6000 | No such command         |
      | timeline --since yesterday                         | MG6000 | neither a span          |
      | timeline --since -5m                               | MG6000 | neither a span          |
      | timeline --since 10x                               | MG6000 | neither a span          |
      | timeline --since 5                                 | MG6000 | neither a span          |
      | timeline --since 2026-13-01                        | MG6000 | neither a span          |
      | timeline --output pdf                              | MG6000 | 'pdf' is not one of     |
      | explain                                            | MG6000 | Missing argument        |
      | explain code                                       | MG6000 | Missing argument        |
      | explain weather today                              | MG6000 | 'weather' is not one of |
      | explain code 999999                                | MG6003 | no result code          |
      | explain code MG                                    | MG6003 | no result code          |
      | completion tcsh                                    | MG6000 | 'tcsh' is not one of    |
      | status                                             | MG6001 | --entry                 |
      | hosts                                              | MG6001 | --entry                 |
      | timeline                                           | MG6001 | --entry                 |
      | jobs cancel j                                      | MG6001 | --entry                 |
      | drain w1                                           | MG6001 | --entry                 |

  Scenario Outline: declarations with <change> are refused
    Given commands' declarations of a small town with <change>
    Then commands refuse the declarations as <code> with <detail>

    Examples:
      | change                                                        | code   | detail              |
      | profiles.calm = 5                                             | MG3005 | calm                |
      | profiles.calm = null                                          | MG3005 | calm                |
      | profiles.calm.urgency = 10                                    | MG3005 | <= 9                |
      | profiles.calm.urgency = "high"                                | MG3005 | Expected `int`      |
      | profiles.calm.urgency = -1                                    | MG3005 | >= 0                |
      | profiles.calm.urgencyy = 1                                    | MG3005 | urgencyy            |
      | profiles.calm.room = {}                                       | MG3005 | max_hosts           |
      | profiles.calm.room.max_hosts = -1                             | MG3005 | >= 0                |
      | profiles.calm.room.max_hosts = 1.5                            | MG3005 | Expected `int`      |
      | profiles.calm.room.max_hosts = 1000000                        | MG3005 | <= 100000           |
      | profiles.calm.room.max_gb = 3                                 | MG3005 | max_gb              |
      | profiles.calm.availability.min_hosts = 50                     | MG3005 | room.max_hosts      |
      | profiles.calm.availability.min_hosts = "50%"                  | MG3005 | Expected `int`      |
      | profiles.calm.availability.survive = "planet"                 | MG3005 | planet              |
      | profiles.calm.availability.survive = null                     | MG3005 | survive             |
      | profiles.calm.disruption.steps = "stop"                       | MG3005 | Expected `array`    |
      | profiles.calm.disruption.steps = ["explode"]                  | MG3005 | explode             |
      | profiles.calm.disruption.drain_s = "10m"                      | MG3005 | Expected `float`    |
      | profiles.calm.disruption.drain_s = -1                         | MG3005 | >= 0                |
      | profiles.calm.disruption.drain_s = NaN                        | MG3005 | drain_s             |
      | profiles.calm.disruption.warning_s = Infinity                 | MG3005 | warning_s           |
      | profiles.calm.disruption.idempotent = "no"                    | MG3005 | Expected `bool`     |
      | profiles.calm.limits = {}                                     | MG3005 | limits              |
      | profiles.calm.limits = {timeout_s: 0, max_wait_s: 1, max_body_bytes: 1, idempotent_methods: []} | MG3005 | timeout_s |
      | profiles.calm.limits = {timeout_s: 1, max_wait_s: 1, max_body_bytes: 0, idempotent_methods: []} | MG3005 | max_body_bytes |
      | profiles.calm.limits = {timeout_s: 1, max_wait_s: 1, max_body_bytes: 1, idempotent_methods: ["get"]} | MG3005 | idempotent_methods |
      | profiles["a b"] = {}                                          | MG3005 | is no name          |
      | profiles[""] = {}                                             | MG3005 | is no name          |
      | services.lost = {}                                            | MG3005 | missing required    |
      | services.deposits.profile = "none"                            | MG3008 | profile/none        |
      | services.deposits.team = "none"                               | MG3008 | team/none           |
      | services.deposits.path = "deposits"                           | MG3005 | path                |
      | services.deposits.path = "/a b"                               | MG3005 | path                |
      | services.deposits.path = 5                                    | MG3005 | Expected `str`      |
      | services.deposits.port = 80                                   | MG3005 | port                |
      | services.listings.path = "/deposits"                          | MG3005 | has the path        |
      | pools.front.service = "none"                                  | MG3008 | service/none        |
      | pools.front.min_hosts = 9                                     | MG3005 | max_hosts           |
      | pools.front.max_hosts = null                                  | MG3005 | Expected `int`      |
      | pools.front.hosts = ["w1"]                                    | MG3005 | hosts               |
      | pools = []                                                    | MG3005 | a map by name       |
      | teams.ledger.max_jobs = -1                                    | MG3005 | >= 0                |
      | teams.ledger.max_cores = "all"                                | MG3005 | Expected `float`    |
      | teams.ledger.max_memory_mb = 1                                | MG3005 | max_memory_mb       |
      | policies.fleet.maintain_every_s = 0                           | MG3005 | > 0                 |
      | policies.fleet.reboot_s = 1e99                                | MG3005 | <= 604800           |
      | policies.fleet.buffer_weight = -1                             | MG3005 | >= 0                |
      | policies.fleet.spare_hosts = true                             | MG3005 | Expected `int`      |
      | worlds = {}                                                   | MG3005 | no kind worlds      |
      | teams = 7                                                     | MG3005 | a map by name       |

  Scenario: declarations mutated at random are valid or refused by number
    Given commands' declarations of a small town with nothing changed
    Then commands find mutated declarations valid, or refuse them as MG2001, MG3005 or MG3008
