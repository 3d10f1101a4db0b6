Feature: peers' streams use renewed certificates without a restart
  Certificates of entry hosts expire and are replaced while the daemons run. A daemon that kept
  using the old ones would lose its peers one after the other, as their streams are reopened.

  Scenario: the authority, certificate and key of all entry hosts are replaced
    Each host's three files are replaced one after the other. A stream that is opened between two
    of the replacements must still use the old files; after the last one only the new authority is
    valid.
    Given certificates for a peer's port
    Then certificates of the authority open a stream, and those of another authority don't
    When certificates are renewed under a new authority, except for the key
    Then certificates of the old authority still open a stream
    When certificates' key is renewed too
    Then certificates of the new authority open a stream, and those of the old authority don't
