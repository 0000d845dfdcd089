Feature: Request limits of targets over the whole fleet

  A target in need states how many requests a second it accepts from all
  hosts together.  Real forwarders and heartbeats run in simulated time;
  requests and health checks both count.

  # A target with a limit gets more than it stated, summed over all hosts.
  Scenario Outline: The hosts of a fleet keep the limit of a target together
    Given <hosts> hosts that send <rate> requests a second to 12 targets
    When a target states a limit of <limit> a second for 20 s
    Then no window of 4 s has more messages from told hosts than allowed
    And all hosts together stay within the limit from 3 s on

    Examples:
      | hosts | rate | limit |
      | 1     | 100  | 4.2   |
      | 13    | 200  | 4.2   |
      | 13    | 200  | 0.5   |
      | 13    | 200  | 12.0  |
      | 311   | 300  | 4.2   |
      | 311   | 300  | 0.5   |

  # Late news, restarts and partitions make hosts count the fleet wrongly.
  Scenario Outline: The limit holds while the hosts' views of the fleet differ
    Given <hosts> hosts that send <rate> requests a second to 12 targets
    And meanwhile <disruption>
    When all targets state a limit of <limit> a second for 20 s
    Then no window of 4 s has more messages from told hosts than allowed

    Examples:
      | hosts | rate | limit | disruption                        |
      | 13    | 200  | 4.2   | all hosts restart one by one      |
      | 13    | 200  | 4.2   | all hosts restart at once         |
      | 13    | 200  | 4.2   | three in ten heartbeats are lost  |
      | 13    | 200  | 4.2   | a failure domain is cut off       |
      | 311   | 300  | 4.2   | 30 hosts restart one by one       |

  # Restarts, cuts, losses and changing limits overlap as a seed draws them.
  Scenario Outline: The limit holds under random faults
    When <hosts> hosts run with the limits, load and faults of seed <seed>
    Then no window of 4 s has more messages from told hosts than allowed

    Examples:
      | hosts | seed |
      | 13    | 2    |
      | 13    | 11   |
      | 13    | 25   |

  # Limits on all targets of a service must not leave permitted work undone.
  Scenario: Permitted requests are served when all targets have limits
    Given 13 hosts that send 100 requests a second to 12 targets
    When all targets state a limit of 4.0 a second for 20 s
    Then no window of 4 s has more messages from told hosts than allowed
    And all hosts together stay within the limit from 3 s on
    And at least half of the permitted requests are served
    And no request waits for longer than its deadline

  # Requests that the limits leave no room for waited until they were late.
  # A refusal costs its caller nothing up to an eighth of the objective.
  Scenario: Requests beyond the permitted ones are refused at once
    Given 13 hosts that send 150 requests a second to 12 targets
    When all targets state a limit of 3.6 a second for 20 s
    Then nine in ten refusals come within an eighth of the objective
    And at least half of the permitted requests are served

  # A limit that has ended must not keep requests away.
  Scenario: A target is used as before once its limit has ended
    Given 13 hosts that send 200 requests a second to 12 targets
    When a target states a limit of 4.2 a second for 20 s
    Then it gets at least half of its share of the requests 4 s later

  # The monotonic clock of a suspended host stands still, so that what it saw
  # before seemed new to the others.
  Scenario: A host that was suspended does not end a limit of a target
    Given a host that saw the limit of a target end before a suspension of 6 s
    When another host has seen a new limit 4 s before it resumes
    Then the report of the suspended host leaves that limit in force
