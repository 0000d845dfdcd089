Feature: Hedging within a limit of the operators

  # A host of 125 gets 1.6 requests a second: with a short window it would
  # never earn a hedge, and with a minimum for each host the sum would exceed
  # the limit.
  Scenario Outline: Hedges of a fleet stay within the ratio
    Given <hosts> hosts with a hedge budget of 0.05
    When each gets <rate> requests a second and hedges up to its limit
    Then the hedges are between 0.04 and 0.05 of the requests

    Examples:
      | hosts | rate |
      | 1     | 200  |
      | 13    | 15   |
      | 125   | 1.6  |

  Scenario: What a burst of requests earned is not kept
    Given 1 hosts with a hedge budget of 0.05
    When 100 requests arrive at once
    Then 5 hedges may be sent
    And none may be sent 60 s later

  Scenario: Hedges that are not sent do not count, a lower limit holds at once
    Given 1 hosts with a hedge budget of 0.05
    When 100 requests arrive at once
    And 4 hedges are spent and returned
    Then 5 hedges may be sent
    And none may be sent 0 s later

  # Unbounded samples would use up the memory, old ones would hide a change.
  Scenario: The quantile follows the last 1000 durations
    Given 5000 durations of 100 ms and then 1000 from 1 to 1000 ms
    Then the quantile 0.95 is 950 ms and 0.999 is 999 ms
    And 1000 durations are kept

  Scenario: No quantile is told from too few durations
    Given 0 durations of 100 ms and then 19 from 1 to 19 ms
    Then there is no quantile 0.95

  Scenario: A rare slow response is replaced by that of a hedge
    Given a host that may hedge 0.05 of its requests from the quantile 0.95
    When the first attempt of a request takes 2000 ms
    Then the response comes within 350 ms
    And 1 hedges were sent, 1 won and 0 were cancelled
    And no target works on a request any more

  Scenario: A hedge that loses is cancelled
    Given a host that may hedge 0.05 of its requests from the quantile 0.95
    When the first attempt takes 500 ms and the hedge 2000 ms
    Then the response comes within 510 ms
    And 1 hedges were sent, 0 won and 1 were cancelled
    And no target works on a request any more

  Scenario Outline: No hedge is sent: <situation>
    Given a host that may hedge 0.05 of its requests from the quantile 0.95
    And the situation: <situation>
    When the first attempt of a request takes 2000 ms
    Then the response comes after 2000 ms
    And 0 hedges were sent, 0 won and 0 were cancelled

    Examples:
      | situation                                     |
      | with a route that is not idempotent           |
      | with one attempt allowed                      |
      | with a retry budget of zero                   |
      | with a ratio of zero                          |
      | without durations                             |
      | a request is queued                           |
      | a request is queued during the search         |
      | the other target is cold                      |
      | the other target is ejected                   |
      | the other target is failing                   |
      | the other target is full                      |
      | the other target is unhealthy                 |
      | the other target is silent                    |
      | no target reports its load                    |
      | the other target is removed                   |
      | the other target is removed during the search |

  # A ratio of 0.01 and 101 requests allow one hedge.
  Scenario: A hedge that finds no target leaves its budget to the next one
    Given a host that may hedge 0.01 of its requests from the quantile 0.95
    And the situation: the other target is full
    When the first attempt of a request takes 2000 ms
    And the other target is free and the next request takes 2000 ms
    Then the response comes within 350 ms

  # A hedge that was not sent counted as an attempt.
  Scenario: A request whose hedge was given up is retried after a failure
    Given a host that may hedge 0.05 of its requests from the quantile 0.95
    And the situation: the other target is full
    When the first attempt fails after 600 ms and the other target is free
    Then the response comes within 900 ms
    And 0 hedges were sent, 0 won and 0 were cancelled

  Scenario: Without a limit, hedges are sent for the objective as before
    Given a host without a limit of hedges
    When the first attempt of a request takes 2000 ms
    Then the hedge was sent 285 ms after the request
    And 0 hedges were sent, 0 won and 0 were cancelled

  Scenario Outline: In the queueing model, <pattern>
    When the pattern <pattern> runs with and without hedges
    Then the share of extra sends is at most <extra>
    And the share in time falls by at most <lost>
    And the slowest thousandth takes at most <share> of the time

    Examples:
      | pattern           | extra | lost  | share |
      | and 1% stragglers | 0.05  | 0.0   | 0.9   |
      | overload          | 0.001 | 0.005 | 1.1   |

  Scenario Outline: Faults of an options file are reported at once
    Given the options file <text>
    Then its faults name <keys>

    Examples:
      | text                                          | keys                  |
      | [hedging];extra_ratio=1.1;quantile=0.4        | extra_ratio, quantile |
      | [hedging];extra_ratio=nan;quantile="0.9"      | extra_ratio, quantile |
      | [hedging];extra_ratio=true;quantile=1         | extra_ratio, quantile |
      | speed=1;[hedging];extra_ratio=0.1;share=1     | speed, share, quantile |
      | hedging=1                                     | hedging               |
      | [hedging                                      | TOML                  |

  Scenario Outline: Valid options are accepted
    Given the options file <text>
    Then it is accepted with <values>

    Examples:
      | text                                     | values    |
      | [hedging];extra_ratio=0;quantile=0.5     | 0.0 0.5   |
      | [hedging];extra_ratio=1;quantile=0.999   | 1.0 0.999 |
      | # nothing                                | none      |

  Scenario: A faulty options file leaves the options in force
    Given an options file that is valid at the start
    When it is replaced by faulty ones and read again
      | fault       |
      | not valid   |
      | not UTF-8   |
      | not there   |
    Then each is logged as rejected and the options stay in force

  Scenario: The options are read on SIGHUP and with changed settings
    Given a watched settings file beside an options file
    When SIGHUP arrives, the settings change, and nothing changes
    Then the options were read after SIGHUP and after the change only
