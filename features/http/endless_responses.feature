Feature: Responses without end

  # A target may send bytes that never become a response, in a header section
  # or in a body, for as long as the connection is open.

  Scenario Outline: A header section or trailer without end is cut at once
    Given a target that sends <stream> without end
    When a non-idempotent request is sent to it
    Then the caller gets status 502 with body ""
    And the target's connection was closed within 1000 ms
    And the target had sent at most 16 MB
    And one log line names the limit <limit>

    Examples:
      | stream            | limit            |
      | blank lines       | header_too_large |
      | a status line     | header_too_large |
      | header fields     | header_too_large |
      | a header field    | header_too_large |
      | interim responses | too_many_interim |
      | other responses   | too_many_foreign |
      | a chunk extension | header_too_large |
      | trailer fields    | header_too_large |
      | a trailer field   | header_too_large |

  Scenario: A header name without end is malformed
    Given a target that sends a header name without end
    When a non-idempotent request is sent to it
    Then the caller gets status 502 with body ""
    And the target's connection was closed within 1000 ms
    And the target had sent at most 16 MB

  Scenario: A body that announces more than the largest size is cut at once
    Given a target that sends a body of known length without end
    When a non-idempotent request is sent to it
    Then the caller gets status 502 with body ""
    And the target's connection was closed within 1000 ms
    And the target had sent at most 16 MB
    And one log line names the limit body_too_large

  Scenario Outline: Bodies of unknown length are cut at the largest size
    Given a target that sends <stream> without end
    When a non-idempotent request is sent to it
    Then the caller gets status 502 with body ""
    And the target had sent at most 48 MB
    And one log line names the limit body_too_large

    Examples:
      | stream                 |
      | chunks                 |
      | a body up to its close |

  # Review case 1: parsing one such response took all of the host's time.
  Scenario Outline: Responses in chunks of one byte leave time for others
    Given a target that sends chunks of one byte without end
    And a timeout of 1200 ms for its requests
    When <count> non-idempotent requests are sent to it at once
    Then each of them was answered within 1700 ms
    And other requests were answered within 500 ms meanwhile
    And the memory of all bodies is released

    Examples:
      | count |
      | 1     |
      | 12    |

  Scenario Outline: Many endless bodies share the memory of one process
    Given a target that sends <stream> without end
    And a memory limit of 16 MB for bodies
    When 12 non-idempotent requests are sent to it at once
    Then the bodies held at most 48 MB at any time
    And other requests were answered within 500 ms meanwhile
    And the memory of all bodies is released

    Examples:
      | stream                 |
      | chunks                 |
      | a body up to its close |
