Feature: Decisions of the gateway

  Scenario Outline: The route with the longest prefix is taken
    Given routes with the prefixes /, /a/, /a/b/ and /c/
    Then the path <path> takes the prefix <prefix>

    Examples:
      | path     | prefix |
      | /a/b/c   | /a/b/  |
      | /a/b/    | /a/b/  |
      | /a/b     | /a/    |
      | /ab      | /      |
      | /c/x?q=/ | /c/    |

  Scenario Outline: Shares of a split hold over few requests
    Given a route that is split <weights>
    When <count> requests take it
    Then each part has its share within 2 requests

    Examples:
      | weights  | count |
      | 90,10    | 50    |
      | 50,30,20 | 40    |
      | 1,1      | 7     |

  Scenario Outline: Repeats of a fleet stay in the budget
    Given <hosts> hosts that share a budget of 0.2 and 56 in 10 s
    When each gets <rate> requests a second and repeats all it may
    Then no window of 10 s has more repeats than the budget

    Examples:
      | hosts | rate |
      | 1     | 200  |
      | 13    | 30   |
      | 141   | 3    |

  Scenario Outline: A fleet that starts again keeps the budget
    Given <hosts> hosts that share a budget of 0.2 and 56 in 10 s
    When all start again at 20 s and know <known> hosts for 2 s
    And each gets <rate> requests a second and repeats all it may
    Then no window of 10 s has more repeats than the budget

    Examples:
      | hosts | rate | known |
      | 13    | 30   | 2     |
      | 141   | 3    | 5     |

  Scenario: Callers that return are told from new ones
    Given a route whose callers come with 1200 ms
    Then a caller with 800 ms has waited 400 ms
    And a caller with 1180 ms has waited 0 ms

  Scenario: Callers with times of their own are not taken for returning
    Given a route whose callers come with 300 to 1200 ms
    Then a caller with 800 ms has waited 0 ms

  Scenario Outline: The slowdown of nearly full targets is learned
    Given a service whose targets work <factor> times as long when nearly full
    When 200 requests are answered
    Then a target with 4 slots has room for <room> requests

    Examples:
      | factor | room |
      | 1.0    | 4    |
      | 1.7    | 3    |

  Scenario Outline: Work that starts during a slowdown is slow to its end
    Given a target with a slowdown of <slowdown>
    Then work of 160 ms is predicted at <predicted> ms
    And it <fits> an objective of 400 ms

    Examples:
      | slowdown | predicted | fits         |
      | 1        | 160       | fits         |
      | 2        | 320       | fits         |
      | 7        | 1120      | does not fit |

  Scenario: Waiting requests are served by priority, then by slack
    Given a queue with a late, an early and an urgent request
    When targets with room are offered
    Then they are served in the order urgent, early, late

  Scenario: The probe budget holds in each window
    Given a token bucket of 10 a second with a burst of 20
    When it is asked 1000 times in 10 seconds
    Then it gave at most 120 tokens

  Scenario: Second sends leave repeats for requests that failed
    Given 1 hosts that share a budget of 0.2 and 56 in 10 s
    When second sends take all they may
    Then a request that failed may still be repeated

  Scenario: A smaller budget counts what was spent before
    Given 1 hosts that share a budget of 0.2 and 56 in 10 s
    When second sends take all they may
    And the budget shrinks to 0.01 and 0
    Then a request that failed may not be repeated
