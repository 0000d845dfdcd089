Feature: Settings of a process

  Scenario: All faults are listed at once with their places
    Given settings with 4 faults
    Then 4 faults are found on lines 1, 3, 5 and 6

  Scenario: Settings that lack an entry say so
    Given settings without a peer address
    Then a fault names "peer_address"
