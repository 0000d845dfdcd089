Feature: Outcomes of forwarded requests

  Scenario Outline: A non-idempotent request
    Given a target with behaviour <behaviour> and another with behaviour whole
    When a non-idempotent request is sent
    Then the caller gets status <status> with body "<body>"
    And the request ran <runs> times

    Examples:
      | behaviour       | status | body | runs |
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
    Given a target with behaviour <behaviour> and another with behaviour whole
    When an idempotent request is sent
    Then the caller gets status 200 with body "done"

    Examples:
      | behaviour       |
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

  # Status 000 was skipped like an interim response until the deadline, and
  # 600 reached the caller as a response.
  Scenario Outline: A status that HTTP does not define is no response
    Given a target with behaviour odd_status_<status> and another with behaviour whole
    When <kind> request is sent
    Then the caller gets status <result> with body "<body>"
    And the request ran <runs> times

    Examples:
      | status | kind             | result | body | runs |
      | 000    | a non-idempotent | 502    |      | 1    |
      | 001    | a non-idempotent | 502    |      | 1    |
      | 099    | a non-idempotent | 502    |      | 1    |
      | 101    | a non-idempotent | 502    |      | 1    |
      | 600    | a non-idempotent | 502    |      | 1    |
      | 999    | a non-idempotent | 502    |      | 1    |
      | 0200   | a non-idempotent | 502    |      | 1    |
      | 20     | a non-idempotent | 502    |      | 1    |
      | +20    | a non-idempotent | 502    |      | 1    |
      | 2x0    | a non-idempotent | 502    |      | 1    |
      | 599    | a non-idempotent | 599    | done | 1    |
      | 000    | an idempotent    | 200    | done | 2    |
      | 600    | an idempotent    | 200    | done | 2    |

  Scenario: All targets shed load
    Given a target with behaviour shed only
    When a non-idempotent request is sent
    Then the caller gets status 503 with body ""
    And the response has a Retry-After field
    And the request ran 0 times

  Scenario: A duplicate response affects only its own connection
    Given a target with behaviour twice only
    When 5 requests are sent one after the other
    Then each caller gets the response to its own request

  Scenario: A caller's disconnect closes the connection to the target
    Given a target with behaviour silent only
    When a caller disconnects 50 ms after it sent a request
    Then the target's connection is closed within 500 ms

  Scenario: The route's timeout bounds a longer deadline
    Given a target with behaviour silent only
    When a request with a deadline of 5000 ms is sent
    Then the caller gets status 504 within 800 ms
    And the target received a deadline of at most 500 ms

  Scenario: Each attempt contains the id of its target
    Given a target with behaviour whole only
    When a non-idempotent request is sent
    Then the request contained the target's id

  Scenario: Without a configuration the status is 503 and not 404
    Given a forwarder without a configuration
    When a request is sent to the unconfigured forwarder
    Then the caller gets status 503 with body ""

  Scenario: An unknown route gets status 404
    Given a target with behaviour whole only
    When a request for an unknown route is sent
    Then the caller gets status 404 with body ""

  Scenario: A target that starts to drain during selection is replaced
    Given a target with behaviour whole and another with behaviour whole
    And a retry budget of zero
    When the target that is probed first starts to drain during the probe
    Then the caller gets status 200 with body "done"
    And the request ran 1 times

  Scenario: Retries stop when the budget is spent
    Given a target with behaviour shed and another with behaviour whole
    And a retry budget of zero
    When a non-idempotent request is sent 20 times
    Then no request was retried

  Scenario: Targets that do not report load are not probed for each request
    Given targets with behaviour whole that do not report load
    When 20 requests are sent one after the other
    Then each caller gets the response to its own request
    And at most 4 health checks were sent

  Scenario Outline: Nothing of a finished exchange waits for the collector
    Given a target with behaviour <behaviour> and another with behaviour whole
    When 20 requests are sent without garbage collection
    Then only pooled connections and no request remain in memory

    Examples:
      | behaviour     |
      | whole         |
      | reset         |
      | cut           |
      | noise         |
      | foreign_first |
      | twice         |
      | shed          |
      | silent        |

  Scenario: A request that waited for a target is not hedged when it is sent
    Given two targets that take 60 ms
    When an idempotent request waits 140 ms before it gets a target
    Then the caller gets status 200 with body "done"
    And the request ran 1 times

  # A faulty target repeats an earlier refusal where the answer to a later
  # request is due, which must not make that request "not run".
  Scenario Outline: A repeated refusal is not taken for a later request
    Given a target that refuses once and repeats that refusal <when>
    And the repetition <identification> the id of the refused request
    And the target <answer> afterwards
    When two non-idempotent requests are sent one after the other
    Then the first request gets status 503 and did not run
    And the second request gets status <status> and ran at most once

    Examples:
      | when                  | identification | answer  | status     |
      | before its answer     | echoes         | answers | 200        |
      | before its answer     | echoes         | is mute | 502 or 504 |
      | before its answer     | lacks          | answers | 200        |
      | before its answer     | lacks          | is mute | 502 or 504 |
      | before a health check | echoes         | answers | 200        |
      | before a health check | lacks          | answers | 200        |
      | before a health check | lacks          | is mute | 502 or 504 |

  # A head that ends early must not become a complete response.
  Scenario Outline: A response that ends early at any byte is not complete
    Given a response with <framing>
    When it ends early after each of its bytes by <end>
    Then no exchange succeeds

    Examples:
      | framing                   | end      |
      | a content length          | a close  |
      | a content length          | a reset  |
      | chunks and a trailer      | a close  |
      | an interim response first | a close  |
      | a status without a body   | a close  |
      | only a head until close   | a close  |
      | a body until close        | a reset  |
