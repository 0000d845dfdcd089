Feature: Metrics of the gateway

  Scenario: Requests are counted by service, status and outcome
    Given a target with behaviour whole only
    When 5 requests are sent and the metrics are read
    Then the metrics count 5 answered requests and their latencies
