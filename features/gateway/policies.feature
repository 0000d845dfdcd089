Feature: Routing and retry policies of the gateway

  Scenario Outline: The route with the longest matching prefix is chosen
    Given routes with the prefixes /, /a/, /a/b/ and /c/
    Then the path <path> matches the prefix <prefix>

    Examples:
      | path     | prefix |
      | /a/b/c   | /a/b/  |
      | /a/b/    | /a/b/  |
      | /a/b     | /a/    |
      | /ab      | /      |
      | /c/x?q=/ | /c/    |

  # Callers and logs were told of a request limit where no target stated one.
  Scenario: Only services whose targets all have limits are refused for them
    Given a service whose only target states no limit and is full
    When a request with too little time left finds no target
    Then it is refused because of overload

  Scenario Outline: Shares of a split hold over few requests
    Given a route that is split by weight <weights>
    When <count> requests are distributed
    Then each service has its share within 2 requests

    Examples:
      | weights  | count |
      | 90,10    | 50    |
      | 50,30,20 | 40    |
      | 1,1      | 7     |

  Scenario Outline: Retries of a fleet stay within the budget
    Given <hosts> hosts that share a retry budget of 0.2 and 56 in 10 s
    When each gets <rate> requests a second and retries up to its limit
    Then no window of 10 s has more retries than the budget

    Examples:
      | hosts | rate |
      | 1     | 200  |
      | 13    | 30   |
      | 141   | 3    |

  Scenario Outline: A fleet that restarts stays within the budget
    Given <hosts> hosts that share a retry budget of 0.2 and 56 in 10 s
    When all restart at 20 s and know <known> hosts for <period> s
    And each gets <rate> requests a second and retries up to its limit
    Then no window of 10 s has more retries than the budget

    Examples:
      | hosts | rate | known | period |
      | 13    | 30   | 2     | 2      |
      | 141   | 3    | 5     | 2      |
      | 141   | 3    | 5     | 8      |
      | 311   | 3    | 60    | 10     |

  # Restarted processes know few hosts and each take the share of a small fleet.
  Scenario Outline: A fleet that restarts keeps the budget of probes
    Given <hosts> hosts that share 60 probes a second of each of 32 targets
    When all start at once and know <known> hosts for <period> s
    And they start at once again after 20 s and after 40 s
    Then all hosts send at most the probes that the targets accept in 60 s
    And a host may probe within 0.1 s after each start

    Examples:
      | hosts | known | period |
      | 1     | 1     | 0      |
      | 13    | 1     | 0.3    |
      | 13    | 4     | 2      |
      | 311   | 1     | 0.3    |
      | 311   | 46    | 3      |

  # After a restart of all hosts, queued requests got no probe for seconds.
  Scenario Outline: A new process may search for targets of queued requests
    Given <hosts> hosts that share 60 probes a second of each of 32 targets
    When one of them has just started
    Then a repeated search may send a probe
    And it leaves the probes of <seconds> s to new requests

    Examples:
      | hosts | seconds |
      | 13    | 0.2     |
      | 311   | 0.2     |

  Scenario: Retries by callers are distinguished from first sends
    Given a route whose callers send timeouts of 1200 ms
    Then a caller with 800 ms left has waited 400 ms
    And a caller with 1180 ms left has waited 0 ms

  Scenario: Callers with varied timeouts are not taken for retries
    Given a route whose callers send timeouts of 300 to 1200 ms
    Then a caller with 800 ms left has waited 0 ms

  Scenario Outline: The slowdown of nearly full targets is estimated
    Given a service whose targets take <factor> times as long when nearly full
    When 200 requests are answered
    Then a target with 4 slots has capacity for <capacity> requests

    Examples:
      | factor | capacity |
      | 1.0    | 4        |
      | 1.7    | 3        |

  Scenario Outline: A slowdown is predicted to last for the whole request
    Given a target with a slowdown of <slowdown>
    Then a request of 160 ms is predicted at <predicted> ms
    And it <fits> an objective of 400 ms

    Examples:
      | slowdown | predicted | fits         |
      | 1        | 160       | fits         |
      | 2        | 320       | fits         |
      | 7        | 1120      | does not fit |

  Scenario: Waiting requests are served by priority, then by slack
    Given a queue with a late, an early and an urgent request
    When targets with capacity are offered
    Then they are served in the order urgent, early, late

  Scenario: The probe budget holds in each window
    Given a token bucket of 10 a second with a burst of 20
    When tokens are requested 1000 times in 10 seconds
    Then it granted at most 120 tokens

  Scenario: Hedges leave retries for failed requests
    Given 1 hosts that share a retry budget of 0.2 and 56 in 10 s
    When hedges spend their share of the budget
    Then a failed request may still be retried

  Scenario: A smaller budget counts what was spent before
    Given 1 hosts that share a retry budget of 0.2 and 56 in 10 s
    When hedges spend their share of the budget
    And the budget shrinks to 0.01 and 0
    Then a failed request may not be retried
