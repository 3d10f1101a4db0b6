Feature: peers' streams take renewed keys without a restart
  Certificates of entry hosts run out and are replaced while the daemons run. A daemon that went on
  with the old ones would lose its peers one after the other, as their streams are opened anew.

  Scenario: the authority, certificate and key of all entry hosts are replaced
    Each host's three files are replaced, one after the other. A stream that is opened between two
    of them must meet the old pair still; after the last one only the new authority counts.
    Given certificates for a peer's port
    Then certificates of the authority open a stream, and those of another one don't
    When certificates are renewed under a new authority, but for the key
    Then certificates of the old authority still open a stream
    When certificates' key is renewed too
    Then certificates of the new authority open a stream, and those of the old one don't
