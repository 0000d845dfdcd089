Feature: Measuring budget without coordination

  Scenario: Many processes under freezes, replacements and two texts
    Given a fleet of 20 processes that share a budget of 12 probes a second
    When they probe as fast as they may for 300 seconds, with freezes
    Then no window of 10 seconds holds more than 120 probes
    And no window of 10 seconds holds more than 30 probes of one target
    And at least half of the budget was used

  Scenario: More processes than the text allows shrink the share at once
    Given a budget of 12 probes a second for 20 processes
    Then 40 known processes leave 3 probes a window to each

  Scenario: Bytes limit the share as well
    Given a budget of 12 probes and 512 bytes a second for 5 processes
    Then each may send 2 probes a window

  Scenario: A probe whose permit is too old is not sent
    Given a process that freezes between the permit and the probe
    Then the target sees no probe
