Feature: Callers' edge

  Scenario Outline: Malformed requests
    Given a server that echoes requests
    When the server gets <bytes>
    Then it is answered <status> and the connection closes
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
    When the server gets <bytes>
    Then it is answered 200 with body "<body>"

    Examples:
      | bytes                  | body  |
      | a chunked body         | hello |
      | a body in small pieces | hello |
      | a body on request      | hello |
      | no body                |       |

  Scenario: Requests on one connection are answered in order
    Given a server that echoes requests
    When 3 requests are sent at once
    Then the answers come in the same order

  Scenario: A connection without a whole header section ends
    Given a server that echoes requests
    When half a header section is sent and nothing more
    Then the connection closes within 1000 ms

  Scenario: Closing waits for the request in progress
    Given a server that echoes requests
    When the server drains while a request is answered
    Then it is answered 200 with body "hello"
    And the answer announces the close

  Scenario: A defect of the handler is answered, not left open
    Given a server that echoes requests
    When its handler fails
    Then it is answered 500 with body ""
