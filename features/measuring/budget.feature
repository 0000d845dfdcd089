Feature: Measuring budget without coordination

  Scenario: Many processes keep the budget through freezes and reloaded texts
    Given a fleet of 20 processes that share a budget of 12 probes a second
    When they probe as fast as permitted for 300 seconds, with freezes
    Then no window of 10 seconds holds more than 120 probes
    And no window of 10 seconds holds more than 30 probes of one target
    And at least half of the budget was used

  Scenario: More processes than the text expects reduce the share at once
    Given a budget of 12 probes a second for 20 processes
    Then with 40 known processes each may send 3 probes a window

  Scenario: The byte budget limits the share as well
    Given a budget of 12 probes and 512 bytes a second for 5 processes
    Then each may send 2 probes a window

  Scenario: A probe is not sent after its permit has expired
    Given a process that freezes between the permit and the probe
    Then the target sees no probe
