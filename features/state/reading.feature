Feature: When a host reads the store

  Scenario Outline: A new process does not watch the store at first
    Given a single host that starts <start>
    When it has run for <elapsed> ms
    Then it has read the store <reads> and watched it <watches>

    # A single host ranks first; among others it would not know its rank yet.
    Examples:
      | start              | elapsed | reads   | watches  |
      | again              | 900     | once    | never    |
      | again              | 1200    | once    | at least once |
      | with all, a seed   | 900     | once    | never    |
      | with all, no seed  | 1900    | never   | never    |
      | with all, no seed  | 2400    | once    | at least once |

  Scenario: A new process without heartbeats reads before 2 seconds
    Given a single host that starts again
    And another host that ranks before it and does not respond
    When it has run for 1700 ms
    Then it has read the store once and watched it at least once

  Scenario: A host that ranks first requests no heartbeat from itself
    Given a single host that starts again
    And another host that ranks after it and does not respond
    When it has run for 950 ms
    Then it has requested heartbeats only from others
