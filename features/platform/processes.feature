Feature: Entry hosts on the users' platform as processes

  Scenario: A change of configuration is in force on all hosts
    Given 4 hosts on the platform
    When the operator adds a route
    Then all hosts serve it within 2000 ms

  Scenario: The readers are killed right before a change
    Given 5 hosts on the platform
    When the hosts that read the store are killed and a route is added
    Then the hosts that are left serve it within 2000 ms

  Scenario Outline: A leaving target gets no new work
    Given 3 hosts on the platform
    When a target <leaves> under load
    Then it gets no new work 2000 ms later
    And every request was answered

    Examples:
      | leaves                       |
      | drains                       |
      | disappears                   |
      | drains while history is lost |

  Scenario: A host that stood still does not use what it knew before
    Given 3 hosts on the platform
    When a host stands still for 3 s while a target drains
    Then it gives that target no work once it has caught up

  Scenario: A graceful stop under load cuts nothing
    Given 3 hosts on the platform
    When a host is told to stop under load
    Then every request was answered
    And the host is not ready at once and ends by itself within 6 s

  Scenario: Entries that lapse while the store is down keep their targets
    Given 3 hosts on the platform
    When the store is down for 3 s and all entries lapse meanwhile
    Then every request was answered
    And all targets still get work

  Scenario: All hosts are killed at once
    Given 4 hosts on the platform
    When all hosts are killed and started again
    Then all serve the newest configuration within 3000 ms

  Scenario: A killed host is not named to callers any more
    Given 4 hosts on the platform
    When a host is killed
    Then no other host names it after 3000 ms
