Feature: Entry hosts share state by gossip

  Scenario Outline: A configuration reaches all hosts and its version never decreases
    Given <count> entry hosts that lose <loss> percent of messages
    When one of them accepts a configuration
    Then the new configuration is active on all hosts within <seconds> seconds

    Examples:
      | count | loss | seconds |
      | 3     | 0    | 5       |
      | 16    | 0    | 5       |
      | 16    | 20   | 5       |
      | 64    | 10   | 15      |

  Scenario Outline: Partition, freeze and replacement together
    Given 16 entry hosts that lose 10 percent of messages with seed <seed>
    When they are partitioned for a minute while both sides get newer texts
    And one host is frozen and one is replaced meanwhile
    Then all hosts end with the newest text and no version decreased
    And all hosts see all others as alive within 60 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: All hosts detect a dead host
    Given 16 entry hosts that lose 0 percent of messages
    When one host is killed
    Then all others see it as dead within 15 seconds

  Scenario: A replacement with a lower incarnation is accepted
    Given 16 entry hosts that lose 0 percent of messages
    When one host is replaced by a process with a lower incarnation
    Then all others see the new process as alive within 15 seconds

  Scenario: All hosts learn of a leaving target
    Given 16 entry hosts that lose 20 percent of messages
    When one host learns that a target is leaving
    Then all hosts know it within 5 seconds

  Scenario: All hosts avoid a target that one host finds listed as leaving
    Given 16 entry hosts that lose 20 percent of messages
    When one host finds a target listed as leaving
    Then no host sends it new work after 5 seconds
    And all send it new work 15 seconds after it is listed as live

  Scenario: A probe result is shared with other hosts
    Given 16 entry hosts that lose 0 percent of messages
    When one host probes a target
    Then at least 4 other hosts know its load within 2 seconds

  Scenario Outline: Bytes per second do not grow with the fleet
    Given <count> entry hosts that lose 0 percent of messages
    When nothing happens for 30 seconds after they discovered each other
    Then each host sends at most 25000 bytes per second

    Examples:
      | count |
      | 4     |
      | 16    |
      | 64    |

  Scenario: Corrupt messages change nothing
    Given 2 entry hosts that lose 0 percent of messages
    When 2000 messages with randomly changed bytes arrive
    Then no error is raised and the text in force is the same
