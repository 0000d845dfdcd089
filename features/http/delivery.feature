Feature: Delivery of the last response of a connection

  # Review case 6: the connection was closed behind its last response, and
  # reset when the caller, still reading, sent a further request.
  Scenario Outline: A slow caller gets its whole response before the close
    Given a caller that reads slowly and sends more meanwhile
    When its connection ends because <cause>
    Then it has read the whole response
    And the server has closed the connection within 3 s

    Examples:
      | cause                               |
      | the caller asked for it             |
      | the server drains                   |
      | the server drains after the request |
      | it is idle for too long             |
      | a further request is malformed      |
      | a further request is too large      |
      | there are too many connections      |

  # The refusal was lost with the reset that unread input causes.
  Scenario Outline: A caller that is refused may finish its upload
    Given a server that accepts bodies of 64 KiB
    When a caller sends <size> KiB in <form> before it reads
    Then it was able to send everything
    And it reads status 413 and the end of the connection

    Examples:
      | size | form    |
      | 80   | one body |
      | 700  | one body |
      | 700  | chunks  |

  # What a caller may hold back once its connection is to end.
  Scenario Outline: A connection that its caller does not close
    Given a server that accepts bodies of 64 KiB
    When a caller <behaviour> after its last response
    Then the server has closed the connection within <limit> s

    Examples:
      | behaviour                 | limit |
      | stays connected           | 3     |
      | reads nothing             | 7     |
      | sends requests without end | 3     |

  Scenario: Refused connections are closed at once when there are many
    Given a server for 32 connections
    When 200 callers stop within their requests
    Then the server never had more than 34 connections
