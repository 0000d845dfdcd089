Feature: Times of a graceful shutdown

  Scenario Outline: Requests that were accepted can still be answered
    Given a grace period of <grace> s and routes that wait up to <timeout> s
    Then new connections are accepted for <accept> s
    And the last responses are written after <answer> s
    And the process stops after <stop> s

    Examples:
      | grace | timeout | accept | answer | stop |
      | 6     | 1.1     | 4.0    | 5.1    | 5.4  |
      | 10    | 6       | 3.4    | 9.1    | 9.4  |
      | 6     | 5       | 2.0    | 5.1    | 5.4  |
      | 1     | 5       | 0.4    | 0.1    | 0.4  |
      | 0.5   | 1       | 0.0    | 0.0    | 0.0  |

  Scenario: Without a configuration there are no requests to wait for
    Given a grace period of 6 s and no routes
    Then new connections are accepted for 4.0 s
