Feature: the operators' interface tells the truth and withstands bad input
  Operators see the system only through this port. What it says must be true while entry hosts and
  the log fail, and nothing sent to it, by mistake or on purpose, may take the daemon down.

  Scenario: the time line keeps cause before effect although clocks are seconds apart
    An operator reads the merged time line to find out why something happened. Entry hosts write to
    the log and fold what the others wrote, with clocks that are up to 9 seconds apart. By their own
    clocks effects would come before their causes, and the operator would blame the wrong change.
    Given operators' entry hosts with clocks off by 0, 5 and -4 seconds
    When operators publish changes through entry hosts in any order
    Then operators see each change asked for before it is folded anywhere, in the merged time line

  Scenario Outline: a change whose answer is lost takes effect once (<fault>)
    The tool sends a change; the entry host, or the log, does it and the answer is lost. The tool
    can't know, and sends the same change through the next entry host. Done twice it would be told
    that someone else had changed the declarations, or a job would be submitted twice.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When operators' <fault> loses the answer and <request> is sent
    Then operators are told that it is accepted, and it stands on the log once

    Examples:
      | fault              | request      |
      | log                | a change     |
      | log                | a job        |
      | log                | a cancel     |
      | log                | a drain      |
      | log                | a wave       |
      | log                | a pause      |
      | first entry host   | a change     |
      | first entry host   | a job        |
      | first entry host   | a cancel     |
      | first entry host   | a drain      |
      | first entry host   | an undrain   |
      | first entry host   | a wave       |
      | first entry host   | a pause      |

  Scenario: two operators race
    Both start from the same version. One change is folded first; the other names a version that is
    no longer in force. Taking both would silently undo the first operator's change.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When operators race each other with different values of one declaration
    Then one operator wins, and the others are told what changed

  Scenario: a drain that a budget doesn't allow is refused with the budget's name
    The operator wants to take out the last host that a service's budget asks for, and has to know
    which service stands against it, and that the host goes on.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When operators drain the only host of a service that must keep one
    Then operators are told MG3002 with the service, and the host stays in service

  Scenario: the log is down
    Nothing can be accepted. The operator is told so at once enough to act on, and that nothing was
    written; what is in force can still be read.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When the operators' log goes down and a change is sent
    Then operators are told MG5000 and can still read what is in force

  Scenario: only holders of a certificate that the authority signed are served
    The port starts drains and stops jobs, so whoever reaches it on the network must not be enough.
    Somebody without a certificate, or with one of another authority, gets no answer to a request.
    Nor does the tool send anything to a host that can't show one, as a host in the middle can't.
    Given an operators' port with mutual TLS
    Then operators with a certificate of the authority are served
    And operators without one, or with one of another authority, are refused before any answer
    And operators refuse an entry host with a certificate of another authority

  Scenario Outline: a port that answers <answered> and then <leaves> has operators told <code>
    Under TLS 1.3 the tool's handshake is over before the entry host has looked at the certificate.
    One that refuses it closes then, and its alert can get lost, so the tool sees only an end. Asked
    for a change, it can't tell that from a host that read the change and died. So it first gets an
    answer to a harmless request; until then it has sent nothing that could take effect.
    Given an operators' port that answers <answered> requests and then <leaves>
    When operators send a change to it
    Then operators are told <code> and it read <methods>

    Examples:
      | answered | leaves           | code   | methods      |
      | 0        | closes           | MG6001 | nothing      |
      | 0        | resets           | MG6001 | nothing      |
      | 0        | reads and closes | MG6001 | GET          |
      | 1        | reads and closes | MG5001 | GET and POST |
      | 1        | reads and resets | MG5001 | GET and POST |

  Scenario Outline: an operator's process that is held up while it connects: <call>
    The tool is stopped for longer than a connection may take, or waits that long for a processor.
    As it runs on, its time-outs come before the connections that were there all along. A wait then
    said of hosts that had a change that it isn't in force there, and a change that nobody was sent
    was said to be possibly in force.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When operators' process is held up while it connects for <call>
    Then operators are told <told>

    Examples:
      | call     | told                   |
      | a change | that it is accepted    |
      | a wait   | that all hosts have it |

  Scenario: certificates are replaced without a restart
    Certificates run out and are replaced on a running host. A certificate and its key are two files,
    so a reader may meet one new and one old: it must go on with the old pair until both fit.
    Given an operators' port with mutual TLS
    When operators replace the authority, and the certificate but not yet its key
    Then operators with a certificate of the authority are served
    When operators replace the key too
    Then operators with a certificate of the new authority are served, and those of the old refused

  Scenario Outline: an operator's <request> whose handling <ends> is answered
    The operator's request has been read whole. What its handler waits for together with others fails or
    is cancelled, or the entry host stops meanwhile. The operator waited in vain, or saw the connection
    end, and couldn't tell whether the change takes effect. It is told MG5001 if it may, something else
    only if nothing was written.
    Given operators' entry hosts with clocks off by 0, 0 and 0 seconds
    When operators send one <request> whose handling <ends>
    Then operators are told <code> by the entry host, and requests ended early are counted as <how>

    Examples:
      | request         | ends         | code   | how       |
      | change          | fails        | MG5001 | failed    |
      | change          | is cancelled | MG5001 | cancelled |
      | change          | is cut off   | MG5001 | cut       |
      | question        | fails        | MG9999 | failed    |
      | question        | is cancelled | MG9999 | cancelled |
      | question        | is cut off   | MG1105 | cut       |
