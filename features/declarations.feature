Feature: Declarations are checked before they are published
  A declaration that is misspelt, in the wrong unit or impossible to satisfy would show only when a
  drain is refused or a service lacks hosts. Each is refused with a numbered code, file and key.

  Scenario Outline: the declarations of <user> fit their fleet
    Given the declarations of <user>
    Then the declarations are accepted on the fleet <fleet> and a second comparison is empty

    Examples:
      | user       | fleet      |
      | kochi      | thekkady   |
      | federation | federation |

  Scenario Outline: the declaration <key> = <value> is refused
    Given the declarations of kochi with <key> = <value>
    Then the declarations are refused as MG<code> at <place> with <detail>

    Examples:
      | key                                       | value                   | code | place                                     | detail                          |
      | profiles.swift.urgency                    | "high"                  | 3005 | profile/swift.urgency                     | Expected `int`, got `str`       |
      | profiles.swift.urgency                    | 10                      | 3005 | profile/swift.urgency                     | <= 9                            |
      | profiles.swift.disruption.drain_ms        | 1000                    | 3005 | profile/swift.disruption                  | did you mean drain_s, in seconds |
      | profiles.swift.disruption.drain_s         | "2m"                    | 3005 | profile/swift.disruption.drain_s          | Expected `float`, got `str`     |
      | profiles.swift.disruption.drain_s         | -1                      | 3005 | profile/swift.disruption.drain_s          | >= 0                            |
      | profiles.swift.disruption.drain_s         | NaN                     | 3005 | profile/swift.disruption.drain_s          | >= 0                            |
      | profiles.swift.disruption.steps           | ["pause"]               | 3005 | profile/swift.disruption.steps[0]         | 'pause'                         |
      | profiles.swift.disruption.idempotent      | 1                       | 3005 | profile/swift.disruption.idempotent       | Expected `bool`                 |
      | profiles.swift.availability.survive       | "planet"                | 3005 | profile/swift.availability.survive        | 'planet'                        |
      | profiles.swift.availability.min_hosts     | 4.5                     | 3005 | profile/swift.availability.min_hosts      | Expected `int`                  |
      | profiles.swift.availability.min_hosts     | 10                      | 3005 | profile/swift                             | more than room.max_hosts        |
      | profiles.swift.room                       | null                    | 3005 | profile/swift.room                        | got `null`                      |
      | profiles.swift.availabilty                | {}                      | 3005 | profile/swift                             | did you mean availability       |
      | services.office.profile                   | "gentel"                | 3008 | service/office                            | profile/gentel isn't declared   |
      | services.office.team                      | "nobody"                | 3008 | service/office                            | team/nobody isn't declared      |
      | services.office.path                      | "office"                | 3005 | service/office.path                       | regex                           |
      | services.office.path                      | "/listings"             | 3005 | service/office                            | has the path /listings already  |
      | pools.office.service                      | "offices"               | 3008 | pool/office                               | service/offices isn't declared  |
      | pools.office.min_hosts                    | 7                       | 3005 | pool/office                               | more than max_hosts             |
      | pools.office                              | []                      | 3005 | pool/office                               | Expected `object`               |
      | teams.matching.max_cores                  | Infinity                | 3005 | team/matching.max_cores                   | <= 1000000000                   |
      | policies.default.maintain_every_s         | "4 weeks"               | 3005 | policy/default.maintain_every_s           | Expected `float`                |
      | policies.default.buffer_weight            | true                    | 3005 | policy/default.buffer_weight              | got `bool`                      |
      | hosts.one                                 | {}                      | 3005 | hosts                                     | no kind hosts                   |

  Scenario Outline: a declaration that the hosts can't satisfy is refused with budget and shortage
    An operator publishes a profile that the running hosts can't satisfy. Accepted, it would stop
    every drain and wave of the service for good without an error.
    Given the declarations of kochi
    And the declarations in force on the fleet thekkady
    When the declarations change <key> to <value>
    Then the declarations are rejected as MG<code> with <detail>

    Examples:
      | key                                   | value | code | detail                                                                                                            |
      | profile/swift.availability.min_hosts  | 9     | 3006 | service/seeker-matching, availability of profile/swift with rack lost in its room: needs 11 hosts, 9 there, 2 short |
      | profile/exact.availability.min_hosts  | 7     | 3006 | in its room: needs 11 hosts, 8 there, 3 short                                                                     |
      | pool/agreements.max_hosts             | 4     | 3006 | service/agreements, availability of profile/exact with data_center lost in its pools: needs 5 hosts, 4 there, 1 short |
      | pool/batch.min_hosts                  | 4     | none | -                                                                                                                 |
      | pool/office.service                   | ""    | 3010 | pool office holds 6 hosts, move them out first                                                                    |

  Scenario: an existing shortage may be reduced
    Racks fail and the services together lack hosts. The operator lowers a profile's requirement,
    which reduces the shortage in part; refusing that would keep it at its worst. Raising one is
    refused.
    Given the declarations of kochi
    And the declarations in force on the fleet thekkady
    When 22 hosts of the fleet fail and the declarations change profile/swift.availability.min_hosts to 3
    Then the declarations are accepted
    When the declarations change profile/swift.availability.min_hosts to 4
    Then the declarations are rejected as MG3006 with all services and pools together

  Scenario: arbitrary content of files and records is accepted or refused with a code
    Whatever a file or a record on the log contains, reading it must end in a value or a numbered
    error; an exception in the fold would stop every daemon at the same offset for good.
    Then declaration files may contain arbitrary values
    And folded records may contain arbitrary values
