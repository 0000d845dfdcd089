@fleet
Feature: Guarantees hold among real processes under failure

  Scenario: Thousands of concurrent calls each get their own complete response
    When 3000 calls are sent by 16 callers
    Then every call was answered
    And no guarantee was violated

  Scenario: One ticket is sent to three hosts at the same time
    When one booking is sent to all hosts at the same time with one ticket
    Then it ran once and all sends got its response

  Scenario: A booking is sent without a ticket
    When a booking is sent without a ticket
    Then it is refused as not run with a usable ticket

  Scenario: A ticket is used for another request
    When a second booking is sent with the ticket of the first
    Then the second one is refused as not run and did not run

  Scenario: The owner of a ticket is frozen during the call
    Given targets that work for 800 ms
    When the owner is frozen while it runs a booking
    And the booking is sent again to another host
    And the owner is resumed
    Then the booking ran at most once
    And no caller got the outcome that it did not run

  Scenario: The owner of a ticket is killed during the call
    Given targets that work for 800 ms
    When the owner is killed while it runs a booking
    And the booking is sent again to another host
    And the owner is replaced at the same address
    And the booking is sent again to the replacement
    Then the booking ran at most once
    And no caller got the outcome that it did not run

  Scenario: Entry hosts are killed, frozen and replaced under load
    When 3000 calls are sent while hosts are killed, frozen and replaced
    Then no guarantee was violated
    And the fleet answers every call once the faults are over

  Scenario: An entry host gets SIGTERM under load
    When 3000 calls are sent while one host gets SIGTERM
    Then every call was answered
    And no guarantee was violated
    And the host ended with exit code 0

  Scenario: An owner gets SIGTERM while it runs a forwarded booking
    Given targets that work for 800 ms
    When the owner gets SIGTERM and a booking is forwarded to it by another host
    Then the booking gets a complete response
    And the booking ran at most once

  Scenario: A target reports that it is leaving under load
    When target 0 of "bookings" reports that it is leaving under load
    Then it got no new requests after 5 seconds
    And no guarantee was violated
    And every call was answered

  Scenario: The platform lists a target as leaving and then lags
    When target 1 of "bookings" is listed as leaving under load
    Then it got no new requests after 5 seconds
    And every call was answered

  Scenario: A target process is frozen under load
    When a target process is frozen for a second under load
    Then no guarantee was violated

  Scenario: The probe budget holds under many concurrent calls
    When 3000 calls are sent by 16 callers
    Then no more probes were sent than the budget allows
