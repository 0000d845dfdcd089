Feature: Propagation of state across failure domains

  Scenario Outline: A change reaches all hosts and crosses domains once
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 8 s
    And a reader takes a change from the store
    Then all hosts have the change after 50 ms
    And it crossed failure domains at most <crossings> times

    Examples:
      | hosts | domains | crossings |
      | 13    | 3       | 8         |
      | 141   | 5       | 16        |

  Scenario Outline: Idle traffic between failure domains
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 8 s
    And they run on for 5 s
    Then at most <bytes> bytes per second crossed failure domains

    # Below a hundredth of the 25,000 bytes per second of each host.
    Examples:
      | hosts | domains | bytes |
      | 13    | 3       | 3250  |
      | 118   | 5       | 29500 |

  Scenario: A relay dies just before a change
    Given a fleet of 60 hosts in 5 domains
    When they have run for 8 s
    And the primary relays that are not readers die
    And a reader takes a change from the store
    Then all hosts have the change after 1300 ms

  Scenario Outline: Datagrams are lost
    Given a fleet of 60 hosts in 5 domains
    And a network that loses <loss> of 100 datagrams, seed <seed>
    When they have run for 8 s
    And a reader takes a change from the store
    Then all hosts have the change after 1300 ms

    Examples:
      | loss | seed |
      | 3    | 1    |
      | 3    | 2    |
      | 10   | 3    |

  Scenario: All hosts discover each other
    Given a fleet of 118 hosts in 5 domains
    When they have run for 8 s
    Then each host knows all others

  Scenario: A host restarts
    Given a fleet of 60 hosts in 5 domains
    When they have run for 8 s
    And a reader takes a change from the store
    And one of the hosts restarts
    And they run on for 2 s
    Then each host knows all others
    And the new process fetched nothing from other failure domains

  # A ready host is to get connections within 3 s, so the hosts of its domain
  # must name it by then. Its incarnation is a time of day, which may step.
  Scenario Outline: A host restarts after its time of day has stepped
    Given a fleet of 60 hosts in 5 domains
    When they have run for 8 s
    And one of the hosts is down for 6 s
    And it starts again with incarnation <incarnation>
    And they run on for 3 s
    Then each host of its domain knows the new process as alive

    Examples:
      | incarnation |
      | 0           |
      | 9           |

  Scenario: Hosts of five domains that start together agree
    Given a fleet of 311 hosts in 5 domains
    When they have run for 12 s
    Then each host knows all others

  Scenario: A failure domain is lost
    Given a fleet of 60 hosts in 5 domains
    When they have run for 8 s
    And all hosts of a failure domain die
    And they run on for 12 s
    Then each host knows all others

  # News of limits on many targets at once must not flood the relays.
  # Control may cost a host 25,000 bytes a second.
  Scenario Outline: Limits of targets spread within the budget of control
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 16 s
    And <targets> targets state limits and respond <rate> times a second
    Then no host sends more than 25000 bytes in any second of the next 8 s

    Examples:
      | hosts | domains | targets | rate |
      | 13    | 3       | 13      | 200  |
      | 311   | 5       | 10      | 60   |
      | 311   | 5       | 60      | 100  |

  # Limits are to be kept from 3 s on, on large sites from 4 s on.
  Scenario Outline: All hosts learn of the limits of targets
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 16 s
    And <targets> targets state limits and respond <rate> times a second
    Then each host knows all limits after <known> s

    Examples:
      | hosts | domains | targets | rate | known |
      | 13    | 3       | 2       | 100  | 3     |
      | 13    | 3       | 13      | 200  | 3     |
      | 311   | 5       | 1       | 60   | 4     |
      | 311   | 5       | 10      | 60   | 4     |

  # Each of them is heard by one host alone, and serves for `drain` on, which
  # is longer on large sites.
  Scenario Outline: All hosts learn of targets that leave
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 16 s
    And <targets> targets say within 1 s to a host that they leave
    Then each host knows that each of them leaves <drain> s after it was said

    Examples:
      | hosts | domains | targets | drain |
      | 13    | 3       | 1       | 2     |
      | 13    | 3       | 4       | 2     |
      | 94    | 3       | 4       | 2.5   |
      | 311   | 5       | 1       | 3     |
      | 311   | 5       | 4       | 3     |

  # A failure domain that is emptied must not flood the relays.
  # Control may cost a host 25,000 bytes a second.
  Scenario Outline: Targets that leave are reported within the budget of control
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 16 s
    And <targets> targets say within 1 s to a host that they leave
    Then no host sends more than 25000 bytes in any second of the next 8 s

    Examples:
      | hosts | domains | targets |
      | 13    | 3       | 13      |
      | 94    | 3       | 20      |
      | 311   | 5       | 60      |

  # A new process sent to targets whose limits all others knew.
  Scenario Outline: A new process learns of limits at once
    Given a fleet of <hosts> hosts in <domains> domains
    When they have run for 8 s
    And 4 targets state limits and respond 50 times a second
    And one of the hosts restarts
    And they run on for 1 s
    Then the new process knows all limits

    Examples:
      | hosts | domains |
      | 13    | 3       |
      | 60    | 5       |
