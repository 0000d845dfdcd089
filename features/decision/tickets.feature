Feature: Tickets run a request at most once

  Scenario: Random claims, ends, expiries and repeats
    Given a ticket machine
    When it runs 200 random histories of 50 steps
    Then no history broke a promise

  Scenario: A full table refuses to issue and forgets nothing
    Given a ticket table for 3 tickets
    When 4 tickets are asked for
    Then the last one is refused with a typed error
    And the first ticket is still granted once

  Scenario: An end of "not run" is final for a delayed copy
    Given a ticket table for 3 tickets
    When a claimed ticket ends with "not run"
    Then a delayed copy is told "not run" and does not run

  Scenario: Stored answers are bounded in bytes
    Given a ticket table that stores 10 bytes of answers
    When two tickets end with answers of 8 bytes
    Then the first repeat gets no answer but does not run
    And the second repeat gets its answer

  Scenario: A repeat waits for the first outcome
    Given a ticket table for 3 tickets
    When a copy arrives while the first request runs
    Then the copy gets the outcome of the first one
