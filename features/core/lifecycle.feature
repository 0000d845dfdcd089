Feature: Life cycle of a process

  Scenario: A process serves only after it has caught up
    Given a process with a manual clock
    Then it does not serve
    When it has caught up
    Then it serves

  Scenario: A frozen process does not serve before it has caught up again
    Given a process with a manual clock
    When it has caught up
    And 3 seconds pass without a tick
    Then it does not serve
    When it ticks
    Then it does not serve
    When catching up ends for an earlier epoch
    Then it does not serve
    When it has caught up
    Then it serves

  Scenario: The first request to stop drains, the second stops at once
    Given a process with a manual clock
    When it has caught up
    And it is told to stop
    Then it serves and is leaving
    When it is told to stop
    Then it stops at the next tick

  Scenario: A leaving process stops after its addresses have expired
    Given a process with a manual clock
    When it has caught up
    And it is told to stop
    And 1 seconds pass and it ticks
    Then it serves and is leaving
    When 1 seconds pass and it ticks
    Then it stops at the next tick

  Scenario: All components are stopped even when one fails to stop
    Given a process with a manual clock
    And a component that fails to stop between two others
    When it runs until it has stopped
    Then the two others were stopped and the failure is in an error group
