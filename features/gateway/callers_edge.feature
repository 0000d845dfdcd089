Feature: HTTP server for callers

  Scenario Outline: Malformed requests
    Given a server that echoes requests
    When the server receives <bytes>
    Then it responds with <status> and the connection closes
    And <count> requests were handled

    Examples:
      | bytes                | status | count |
      | no HTTP              | 400    | 0     |
      | two lengths          | 400    | 0     |
      | length and chunks    | 400    | 0     |
      | a signed length      | 400    | 0     |
      | two hosts            | 400    | 0     |
      | a long header        | 431    | 0     |
      | a long body          | 413    | 0     |
      | a spaced header name | 400    | 0     |

  Scenario Outline: Well-formed requests
    Given a server that echoes requests
    When the server receives <bytes>
    Then it responds with 200 with body "<body>"

    Examples:
      | bytes                  | body  |
      | a chunked body         | hello |
      | a body in small pieces | hello |
      | a body on request      | hello |
      | no body                |       |

  Scenario: Pipelined requests are answered in order
    Given a server that echoes requests
    When 3 requests are pipelined
    Then the responses come in the same order

  Scenario: A connection with an incomplete header section times out
    Given a server that echoes requests
    When an incomplete header section is sent
    Then the connection closes within 1000 ms

  Scenario: Draining waits for the request in progress
    Given a server that echoes requests
    When the server drains while a request is in progress
    Then it responds with 200 with body "hello"
    And the response has the field "Connection: close"

  Scenario: An exception in the handler is answered with status 500
    Given a server that echoes requests
    When the handler raises an exception
    Then it responds with 500 with body ""

  Scenario Outline: Requests without end are cut at the header limit
    Given a server that echoes requests
    When a caller sends <stream> without end
    Then the connection closes within 1000 ms
    And it had sent at most 8 MB
    And 0 requests were handled

    Examples:
      | stream            |
      | blank lines       |
      | a request target  |
      | header fields     |
      | a header field    |
      | a chunk extension |
      | trailer fields    |
      | a trailer field   |

  Scenario: A caller that does not read its response is cut off
    Given a server that echoes requests
    When a caller sends a body of 8 MB and does not read the response
    Then the memory of the response is released within 12 s
    And the server has no open connection

  Scenario: A caller that reads slowly gets its whole response
    Given a server that echoes requests
    When a caller sends a body of 8 MB and reads the response over 7 s
    Then it has read the whole body

  # A body that stopped before its end kept its memory for ever.
  Scenario Outline: A body that does not arrive in time
    Given a server that echoes requests
    When a caller that waits <wait> ms stops within its body
    Then it responds with 408 and the connection closes
    And 0 requests were handled

    Examples:
      | wait  |
      | 300   |
      # The body has stalled for the idle timeout before the caller gives up.
      | 60000 |

  # The whole body was read first.
  Scenario: A body whose announced length is over the limit
    Given a server that echoes requests
    When a caller asks to send a body of 5000 bytes
    Then it responds with 413 and the connection closes
    And 0 requests were handled
