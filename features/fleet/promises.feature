@fleet
Feature: Promises hold among real processes under failure

  Scenario: Thousands of concurrent calls get their own whole answers
    When 3000 calls are sent by 16 callers
    Then every call was answered
    And no promise was broken

  Scenario: One ticket shown to three hosts at the same time
    When one booking is sent to all hosts at the same time with one ticket
    Then it ran once and all copies got its answer

  Scenario: A booking is sent without a ticket
    When a booking is sent without a ticket
    Then it is refused as not run with a ticket that can be used

  Scenario: A ticket is used for another request
    When a second booking is sent with the ticket of the first
    Then the second one is refused as not run and did not run

  Scenario: The owner of a ticket is frozen in the middle of the call
    Given targets that work for 800 ms
    When the owner is frozen while it runs a booking
    And the booking is sent again to another host
    And the owner wakes up
    Then the booking ran at most once
    And nobody was told that it did not run

  Scenario: The owner of a ticket is killed in the middle of the call
    Given targets that work for 800 ms
    When the owner is killed while it runs a booking
    And the booking is sent again to another host
    And the owner is replaced at the same address
    And the booking is sent again to the replacement
    Then the booking ran at most once
    And nobody was told that it did not run

  Scenario: Entry hosts are killed, frozen and replaced under load
    When 3000 calls are sent while hosts are killed, frozen and replaced
    Then no promise was broken
    And the fleet answers every call once the faults are over

  Scenario: An entry host is told to stop under load
    When 3000 calls are sent while one host is told to stop
    Then every call was answered
    And no promise was broken
    And the host ended with exit code 0

  Scenario: An owner is told to stop while it runs a forwarded booking
    Given targets that work for 800 ms
    When the owner is told to stop and a booking reaches it by another host
    Then the booking is answered whole
    And the booking ran at most once

  Scenario: A target says that it is leaving, under load
    When target 0 of "bookings" says that it is leaving under load
    Then it got no new work after 5 seconds
    And no promise was broken
    And every call was answered

  Scenario: The platform lists a target as leaving, then lags
    When target 1 of "bookings" is listed as leaving under load
    Then it got no new work after 5 seconds
    And every call was answered

  Scenario: A target is killed under load
    When a target process is frozen for a second under load
    Then no promise was broken

  Scenario: The measuring budget holds in a crowd
    When 3000 calls are sent by 16 callers
    Then no more probes were sent than the budget allows
