@alone
Feature: A crowd of clients that don't behave ends no daemon, and ordinary callers still get answers
  The daemon is a process of its own, whose settings name a small machine. Its resident memory and what it has received
  and not yet read stay within that machine, and so do its open sockets.

  Scenario Outline: A crowd of <connections> sends <what>
    Guards against a process that ends for want of memory or descriptors, or hangs, by what strangers send at once.

    Given the platform's stand-in and a daemon on a machine of 128 MB and 1,000 descriptors
    When a crowd of <connections> sends <what>
    Then an ordinary job is accepted while they stay connected
    And an ordinary job is accepted after they have left
    And the daemon lives, and has stayed within its machine's memory and descriptors

    Examples:
      | connections | what                                                |
      | 400         | whole bodies of legal size                          |
      | 400         | bodies of legal size but for the last byte          |
      | 400         | bodies in pieces of 16 KB but for the last byte     |
      | 150         | bodies of 1 MB but for the last byte                |
      | 100         | bodies of 8 MB, announced                           |
      | 400         | chunks of 64 KB without the last one                |
      | 150         | chunks of 64 KB up to 1 MB without an end           |
      | 700         | 40,000 chunks of 2 bytes without the last one       |
      | 1,200       | one byte each                                       |
      | 100         | whole jobs of 3,800 steps                           |
      | 600         | 300 questions each and read no answer               |

  Scenario Outline: A crowd of <connections> sends the product's own interface <what>
    Guards against the same at the port for callers of the own interface, whose settings bound what it holds.

    Given a daemon of the own interface that may hold 16 MB of 600 connections, on a machine of 128 MB and 1,000 descriptors
    When a crowd of <connections> sends <what>
    Then an ordinary request is answered while they stay connected
    And an ordinary request is answered after they have left
    And the daemon lives, and has stayed within its machine's memory and descriptors

    Examples:
      | connections | what                                                |
      | 400         | whole bodies of legal size                          |
      | 400         | bodies of legal size but for the last byte          |
      | 400         | bodies in pieces of 16 KB but for the last byte     |
      | 150         | bodies of 1 MB but for the last byte                |
      | 100         | bodies of 8 MB, announced                           |
      | 400         | chunks of 64 KB without the last one                |
      | 150         | chunks of 64 KB up to 1 MB without an end           |
      | 700         | 40,000 chunks of 2 bytes without the last one       |
      | 1,200       | one byte each                                       |
      | 600         | 300 questions each and read no answer               |
