Feature: Exchange with a target
  An exchange sends its request at most once and only before the deadline,
  and a response counts only when it is complete.

  Scenario Outline: A kept-alive connection is closed after a request was read
    Given a target that closes a kept-alive connection after reading a request
    When a <kind> request with body "<body>" is exchanged 3 times
    Then the target has read 3 requests
    And the exchange ended with <outcome>

    Examples:
      | kind           | body | outcome  |
      | non-repeatable | roof | answered |
      | non-repeatable |      | answered |
      | repeatable     | roof | unknown  |
      | repeatable     |      | unknown  |

  Scenario Outline: Non-repeatable request arrives once if the connection closes
    Given a target that closes every connection after reading a request
    When a non-repeatable request with body "<body>" is exchanged
    Then the target has read 1 requests
    And the exchange ended with unknown

    Examples:
      | body |
      | roof |
      |      |

  Scenario Outline: The connection fails at a given point of the exchange
    Given a target that <cut>
    When a non-repeatable request with body "roof" is exchanged
    Then the exchange ended with <outcome> because of <reason>

    Examples:
      | cut                           | outcome  | reason             |
      | refuses connections           | not run  | connection_refused |
      | closes after the connect      | unknown  | connection_reset   |
      | resets after the connect      | unknown  | connection_reset   |
      | resets in the request         | unknown  | connection_reset   |
      | closes after the request      | unknown  | connection_reset   |
      | resets after the request      | unknown  | connection_reset   |
      | closes in the header          | unknown  | answer_cut         |
      | closes after an empty length  | unknown  | answer_cut         |
      | closes after a bodiless status | unknown | answer_cut         |
      | closes in the body            | unknown  | answer_cut         |
      | resets in the body            | unknown  | connection_reset   |
      | closes in a chunked body      | unknown  | answer_cut         |
      | closes a body without length  | unknown  | answer_unframed    |
      | closes after the body         | answered | whole_answer       |
      | never answers                 | unknown  | deadline_after_send |
      | answers garbage               | unknown  | malformed_answer   |
      | answers too much              | unknown  | answer_too_large   |
      | sends two interim answers     | answered | whole_answer       |
      | sends two answers             | answered | whole_answer       |

  Scenario: The process is suspended between the decision and the send
    Given a target that closes after the body
    And a clock that jumps past the deadline before the send
    When a non-repeatable request with body "roof" is exchanged
    Then the exchange ended with not run because of deadline_before_send
    And the target has read 0 requests

  Scenario: A late response is never returned for the next request
    Given a target that responds to the first request too late
    When a repeatable request times out and another one follows
    Then the exchange ended with answered
    And the last response is its own

  Scenario Outline: No unsolicited response is returned for the next request
    Given a target that sends an unsolicited response <moment>
    When a repeatable request with body "" is exchanged 3 times
    Then the last response is its own or does not count as answered

    Examples:
      | moment                                          |
      | right after the first one                       |
      | right after the first one without echo          |
      | as soon as the next request comes               |
      | as soon as the next request comes without echo  |

  Scenario: Only an unsent or shed request counts as not run
    Given all combinations of observations
    Then "not run" is reported only when nothing was sent or the target shed it
