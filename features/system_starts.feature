Feature: a daemon that can't start says why in one line
  Whoever starts daemons sees the exit status, and whoever looks at the output sees one line with
  the numbered code and the place to mend. A traceback would tell neither.

  Scenario Outline: a start with <flaw> ends with <code>
    When the system's daemon is started with <flaw>
    Then the system's start ends with status <status> and one line with <code> and <place>

    Examples:
      | flaw                             | code   | status | place             |
      | no settings file                 | MG2000 | 20     | absent.json       |
      | a settings file that is no JSON  | MG2001 | 20     | settings.json     |
      | an unknown key                   | MG2002 | 20     | settings.json     |
      | a mistyped port                  | MG2002 | 20     | callers.port      |
      | a negative time                  | MG2002 | 20     | peers.gossip_s    |
      | no platform address              | MG2002 | 20     | platform          |
      | a callers' port in use           | MG2003 | 21     | callers           |
      | an operators' port in use        | MG2003 | 21     | operators         |
      | a peers' port in use             | MG2003 | 21     | peers             |
      | a platform that can't be reached | MG2004 | 22     | platform          |
      | a platform that stays silent     | MG2004 | 22     | platform          |
      | a certificate that is no file    | MG2006 | 20     | certificate       |
