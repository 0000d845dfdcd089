Feature: Tickets run a request at most once

  Scenario: Random sequences of issuing, claiming, finishing and expiry
    Given a state machine of a ticket table
    When it runs 200 random sequences of 50 steps
    Then no sequence violated an invariant

  Scenario: A full table refuses to issue and keeps its tickets
    Given a ticket table for 3 tickets
    When 4 tickets are requested
    Then the last one is refused because the table is full
    And the first ticket can still be claimed exactly once

  Scenario: The outcome "not run" is final for a delayed duplicate
    Given a ticket table for 3 tickets
    When a claimed ticket finishes with "not run"
    Then a delayed duplicate gets "not run" and is not run

  Scenario: Stored responses are limited in bytes
    Given a ticket table that stores 10 bytes of responses
    When two tickets finish with responses of 8 bytes
    Then a duplicate of the first ticket gets no response and is not run
    And a duplicate of the second ticket gets its response

  Scenario: A duplicate waits for the outcome of the first request
    Given a ticket table for 3 tickets
    When a duplicate arrives while the first request runs
    Then the duplicate gets the outcome of the first request
