@fleet
Feature: Slow, oversized and malformed callers

  Scenario Outline: A malformed request does not affect the host or the targets
    When a caller sends <bad request>
    Then it gets status <status> or a closed connection
    And no target ran anything for it
    And the host still responds

    Examples:
      | bad request                         | status |
      | a header that is too large          | 413 |
      | a body that is too large            | 413 |
      | garbage                             | 400 |
      | both lengths                        | 400 |
      | two different lengths               | 400 |
      | a length that is no number          | 400 |
      | a length after a space              | 400 |
      | a length on two lines               | 400 |
      | an unknown coding                   | 400 |
      | half a body and leaves              | 400 |
      | half a header and waits             | 408 |
      | a deadline that is no number        | 400 |
      | a call depth above the limit        | 508 |
      | an unknown service                  | 404 |
      | a chunked body that is cut          | 400 |

  Scenario: Slow callers do not block other callers
    When 20 callers send their header one byte a second
    Then other callers still get responses within a second

  Scenario: The path and the body reach the target unchanged
    When a call with an encoded path and a query is sent
    Then the target saw the same path and query

  Scenario: Refusals are structured documents
    When a call to an unknown service is sent
    Then the refusal names outcome, reason and request identity

  Scenario: Status, explanation, report and metrics are served
    Then the command line shows status, explanation and report
    And the metrics are in the Prometheus format
