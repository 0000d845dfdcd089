Feature: Targets that say in their responses that they leave

  # Review case 9: the word was not read, and while the store was down the
  # target got unsafe requests until it was gone.
  Scenario Outline: A target that says it leaves gets no further requests
    Given a target that says in <response> that it leaves
    When 6 non-idempotent requests go to it and a target that stays
    Then the leaving target got <count> requests
    And the target is not in use
    And each request got the response of a target

    Examples:
      | response          | count |
      | a success         | 1     |
      | a failure         | 1     |
      | a refusal         | 1     |
      | a health response | 0     |

  # Bytes that are not the target's own response must not take it out.
  Scenario Outline: What is not a target's own response does not take it out
    Given a target that says in <response> that it leaves
    When 6 non-idempotent requests go to it and a target that stays
    Then the target is still in use

    Examples:
      | response                            |
      | a misdirected response              |
      | a response to another request       |
      | a response without a stamp          |
      | a health response of another target |
      | a success with the value 0          |

  # A hedge or a caller that has gone cancels a send, also in the moment in
  # which its response has arrived.
  Scenario: A response that arrives as its send is cancelled is read
    Given a target that says in a success that it leaves
    When a send to it is cancelled in the moment of its response
    Then the target is not in use

  # The queued requests waited for a target until their deadline.
  Scenario: The last target leaves while requests are queued
    Given a target that says in a slow success that it leaves
    When 6 requests run at it alone and 12 more are queued
    Then each request that it ran got its response
    And the others were refused within 60 ms of its first response
    And each refusal has a Retry-After field
