Feature: Entry hosts act together

  Scenario Outline: A configuration reaches all hosts and never goes back
    Given <count> entry hosts that lose <loss> percent of messages
    When a configuration is accepted by one of them
    Then it is in force everywhere within <seconds> seconds

    Examples:
      | count | loss | seconds |
      | 3     | 0    | 5       |
      | 16    | 0    | 5       |
      | 16    | 20   | 5       |
      | 64    | 10   | 15      |

  Scenario Outline: Partition, freeze and replacement together
    Given 16 entry hosts that lose 10 percent of messages with seed <seed>
    When they are parted for a minute while both sides get newer texts
    And one host is frozen and one replaced meanwhile
    Then all hosts end with the newest text and no host went back
    And all hosts believe all others alive within 60 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A dead host is noticed by all
    Given 16 entry hosts that lose 0 percent of messages
    When one host is killed
    Then all others believe it dead within 15 seconds

  Scenario: A replaced host with a lower incarnation is believed
    Given 16 entry hosts that lose 0 percent of messages
    When one host is replaced by a process with a lower incarnation
    Then all others know the new process within 15 seconds

  Scenario: A leaving target is known to all
    Given 16 entry hosts that lose 20 percent of messages
    When one host learns that a target is leaving
    Then all hosts know it within 5 seconds

  Scenario: A target that one host finds listed as leaving is known to all
    Given 16 entry hosts that lose 20 percent of messages
    When one host reads in the list that a target is leaving
    Then no host gives it new work after 5 seconds
    And all give it new work 15 seconds after the list calls it live

  Scenario: One probe informs all
    Given 16 entry hosts that lose 0 percent of messages
    When one host probes a target
    Then at least 4 other hosts know its load within 2 seconds

  Scenario Outline: Bytes a second do not grow with the fleet
    Given <count> entry hosts that lose 0 percent of messages
    When nothing happens for 30 seconds after they met
    Then each host spends at most 25000 bytes a second

    Examples:
      | count |
      | 4     |
      | 16    |
      | 64    |

  Scenario: A message of damaged or foreign fields changes nothing
    Given 2 entry hosts that lose 0 percent of messages
    When 2000 messages of random fields and bytes arrive
    Then no error is raised and the text in force is the same
