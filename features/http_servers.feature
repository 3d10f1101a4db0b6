Feature: What clients send is bounded, and a refusal is true and arrives
  A front reads strangers' requests. Each is bounded by the operator's limits, and all together by the machine's.

  Scenario Outline: <what> is told <status> with <code>
    Guards against requests beyond the limits that are taken, or end without an answer.

    When a caller sends illegal input to a front: <what>
    Then the refusal is <status> with <code>
    And nothing of it was handled, and its connection ends

    Examples:
      | what                                               | status | code   |
      | a head of 16,385 bytes                             | 431    | MG1117 |
      | a head of 100,000 bytes without an end             | 431    | MG1117 |
      | a head that isn't HTTP                             | 400    | MG1111 |
      | a head without a host                              | 400    | MG1111 |
      | a head with two hosts                              | 400    | MG1111 |
      | a head with two lengths                            | 400    | MG1111 |
      | a head with a length and chunks                    | 400    | MG1111 |
      | a length that is no number                         | 400    | MG1111 |
      | a length of 5,000 digits                           | 400    | MG1111 |
      | a body of 262,145 bytes, announced                 | 413    | MG1112 |
      | a body of 3 MB, announced and sent                 | 413    | MG1112 |
      | a body of 3 MB in chunks                           | 413    | MG1112 |
      | a chunk whose size is no number                    | 400    | MG1111 |
      | a chunk that is longer than it says                | 400    | MG1111 |
      | chunks with 20,000 bytes of extensions             | 400    | MG1111 |
      | chunks with 20,000 bytes of trailers               | 400    | MG1111 |
      | a part of a head and nothing more                  | 408    | MG1116 |
      | a part of a body and nothing more                  | 408    | MG1116 |
      | a part of a body in chunks and nothing more        | 408    | MG1116 |
      | a body a byte at a time for too long               | 408    | MG1116 |

  Scenario Outline: <what> is served
    Guards against bounds that clients within the operator's limits meet.

    When a caller sends legal input to a front: <what>
    Then its answers are <told>

    Examples:
      | what                                               | told                        |
      | a head of 16,384 bytes                             | 200 MG4020                  |
      | a body of 262,144 bytes                            | 400 MG4025                  |
      | a body of 262,144 bytes in chunks of a byte        | 400 MG4025                  |
      | a job in chunks with extensions and trailers       | 200 MG4020                  |
      | a job byte by byte                                 | 200 MG4020                  |
      | a job in chunks byte by byte                       | 200 MG4020                  |
      | a job after empty lines                            | 200 MG4020                  |
      | a job as form data                                 | 200 MG4020                  |
      | a job and the end of its side                      | 200 MG4020                  |
      | a job that waits for the word to go on             | 200 MG4020                  |
      | a job with the wish for another protocol           | 200 MG4020                  |
      | three jobs at once                                 | 200 MG4020 200 MG4020 200 MG4020 |
      | a job in chunks and two more at once               | 200 MG4020 200 MG4020 200 MG4020 |

  Scenario Outline: While others hold all <what>, a caller is told 503 with MG1115 and served later
    Guards against memory and descriptors that grow with the number of callers, and against callers that
    are shut out by others which send a part and stay.

    When others hold all <what> of a front, and a caller sends a job
    Then it is refused by 503 with MG1115, and told when to come back
    And it is served once the others have sent nothing for some time

    Examples:
      | what        |
      | bytes       |
      | requests    |
      | connections |

  Scenario: A request counts until its handling has ended, also after its caller has left
    Guards against a crowd that sends, leaves and comes again, whose requests are handled without a bound.

    When callers send as many jobs as a front handles at once, and leave
    Then another caller is told 503 with MG1115 until these have been handled

  Scenario: A caller that reads no answer holds its connection for a bounded time
    Guards against descriptors and answers that are held by callers which send and never read.

    When a caller asks a front again and again and reads no answer
    Then the front ends its connection
    And it has never kept more than an answer for it

  Scenario: Room for small bodies is kept beside large ones
    Guards against ordinary callers that are refused while large bodies fill the room.

    When large bodies hold the room of a front, and a caller sends a job
    Then its answers are 200 MG4020
