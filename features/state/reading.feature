Feature: When a host reads the store

  Scenario Outline: A new process leaves the watching to others at first
    Given a host alone that starts <start>
    When it has run for <elapsed> ms
    Then it has read the store <reads> and watched it <watches>

    # Alone it ranks first; with others it would not know yet.
    Examples:
      | start              | elapsed | reads   | watches  |
      | again              | 900     | once    | never    |
      | again              | 1200    | once    | at least once |
      | with all, a seed   | 900     | once    | never    |
      | with all, no seed  | 1900    | never   | never    |
      | with all, no seed  | 2400    | once    | at least once |

  Scenario: A new process that hears nothing reads before 2 seconds
    Given a host alone that starts again
    And another host that ranks before it and is silent
    When it has run for 1700 ms
    Then it has read the store once and watched it at least once

  Scenario: A host that ranks first does not ask itself
    Given a host alone that starts again
    And another host that ranks after it and is silent
    When it has run for 950 ms
    Then it has asked only others
