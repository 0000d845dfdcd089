Feature: Metrics of the gateway

  Scenario: Requests are counted by service, status and outcome
    Given a target that answers whole and no other
    When 5 requests are sent and the metrics are read
    Then the metrics tell of 5 answered requests and their latencies
