Feature: Unexpected errors in one part of a process

  # One message or one defect must not end a process, and must not leave it
  # running without one of its parts.

  Scenario: The store reader goes on after an unexpected error
    Given a host whose store raises an unexpected error in its first 2 reads
    When it has run for 4000 ms of simulated time
    Then it has read the store and watched it
    And 2 failures of the store reader are logged

  Scenario: Heartbeats go on after an unexpected error
    Given a host whose first 2 heartbeat rounds raise an unexpected error
    When its rounds have run for 4000 ms of simulated time
    Then it has completed at least 2 rounds
    And 2 failures of the heartbeats are logged

  Scenario: A supervised task ends when it is cancelled
    Given a supervised step that raises an unexpected error each time
    When its task is cancelled after 1200 ms of simulated time
    Then the task has ended and each failure is logged
