Feature: Outcomes of forwarded requests

  Scenario Outline: A request that may not be repeated
    Given a target that answers <manner> and one that answers whole
    When a request that may not be repeated is sent
    Then the caller gets status <status> with body "<body>"
    And the request ran <runs> times

    Examples:
      | manner         | status | body | runs |
      | whole          | 200    | done | 1    |
      | error          | 500    | sorry | 1   |
      | reset          | 502    |      | 1    |
      | cut            | 502    |      | 1    |
      | unframed       | 200    | done | 1    |
      | unframed_reset | 502    |      | 1    |
      | foreign_first  | 200    | done | 1    |
      | foreign_only   | 502    |      | 1    |
      | twice          | 200    | done | 1    |
      | noise          | 502    |      | 1    |
      | unsigned       | 502    |      | 1    |
      | encoded        | 502    |      | 1    |
      | shed           | 200    | done | 1    |
      | misdirected    | 200    | done | 1    |
      | silent         | 504    |      | 1    |

  Scenario Outline: An idempotent request
    Given a target that answers <manner> and one that answers whole
    When an idempotent request is sent
    Then the caller gets status 200 with body "done"

    Examples:
      | manner         |
      | whole          |
      | error          |
      | reset          |
      | cut            |
      | unframed       |
      | unframed_reset |
      | foreign_only   |
      | twice          |
      | noise          |
      | unsigned       |
      | encoded        |
      | shed           |
      | misdirected    |
      | silent         |

  Scenario: Only targets that shed are left
    Given a target that answers shed and no other
    When a request that may not be repeated is sent
    Then the caller gets status 503 with body ""
    And the caller is told when to return
    And the request ran 0 times

  Scenario: An answer that comes twice spoils its connection only
    Given a target that answers twice and no other
    When 5 requests are sent one after the other
    Then each caller gets the answer to its own request

  Scenario: A caller that leaves stops the target's work
    Given a target that answers silent and no other
    When a caller leaves 50 ms after it sent a request
    Then the target's connection is closed within 500 ms

  Scenario: The route's timeout bounds a longer deadline
    Given a target that answers silent and no other
    When a request with a deadline of 5000 ms is sent
    Then the caller gets status 504 within 800 ms
    And the target was told of at most 500 ms

  Scenario: A request for another target is named in each send
    Given a target that answers whole and no other
    When a request that may not be repeated is sent
    Then the target was named in the request

  Scenario: Without a configuration nothing is said not to exist
    Given a forwarder without a configuration
    When a request is sent to it
    Then the caller gets status 503 with body ""

  Scenario: An unknown route does not exist
    Given a target that answers whole and no other
    When a request for an unknown route is sent
    Then the caller gets status 404 with body ""

  Scenario: A target that leaves while it is chosen is replaced
    Given a target that answers whole and one that answers whole
    And a budget of no repeats
    When the target that is asked first leaves as it tells its load
    Then the caller gets status 200 with body "done"
    And the request ran 1 times

  Scenario: Repeats stop when the budget is spent
    Given a target that answers shed and one that answers whole
    And a budget of no repeats
    When a request that may not be repeated is sent 20 times
    Then no request was sent twice

  Scenario: Targets that do not tell their load are not asked each time
    Given targets that answer whole and do not tell their load
    When 20 requests are sent one after the other
    Then each caller gets the answer to its own request
    And at most 4 health checks were sent
