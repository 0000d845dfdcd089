Feature: Order of pipelined requests and their responses

  # Requests behind a slow one waited for its response before they were sent
  # to a target.
  Scenario Outline: Requests that may be handled at the same time
    Given pipelined requests <requests>
    When <complete> are complete
    Then <started> are started
    And <written> are written

    Examples:
      | requests           | complete | started | written |
      | GET GET GET        | none     | 1 2 3   | none    |
      | GET GET GET        | 2 3      | 1 2 3   | none    |
      | GET GET GET        | 2 1      | 1 2 3   | 1 2     |
      | POST GET           | none     | 1       | none    |
      | POST GET           | 1        | 1 2     | 1       |
      | GET POST GET       | none     | 1       | none    |
      | GET POST GET       | 1        | 1 2     | 1       |
      | GET POST GET       | 1 2      | 1 2 3   | 1 2     |
      | GET*9              | none     | 1 2 3 4 5 6 7 8 | none |

  Scenario: Requests behind one that ends the connection are not read
    Given pipelined requests GET GET-close GET
    When none are complete
    Then 1 2 are started

  # Review case 4: a stopping host closed the connection with the first
  # response, though it had read a further request.
  Scenario: Draining answers all requests that were read
    Given a server that echoes requests
    When the server drains while 3 pipelined requests are in progress
    Then all of them are answered in order
    And only the last response has "Connection: close"

  # Each response waited for the previous one to be computed.
  Scenario: A slow response does not delay the handling of others
    Given a server that echoes requests
    When 4 requests that wait for each other are pipelined
    Then all of them are answered in order
