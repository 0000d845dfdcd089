Feature: Settings of a process

  Scenario: All faults are reported at once with their lines
    Given settings with 4 faults
    Then 4 faults are reported on lines 1, 3, 5 and 6

  Scenario: A missing required key is reported
    Given settings without a peer address
    Then a fault names "peer_address"
