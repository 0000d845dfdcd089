Feature: Layout of the code

  Scenario: Names of the platform's protocol are used in its own folder only
    Given the source files outside of the platform's folder
    Then none contains a name of the platform's protocol

  Scenario: No decision rests on the time of day
    Given the source files outside of the platform's folder
    Then only log lines and incarnations read the time of day

  Scenario: The deployed daemon needs only packages of its lock file
    Given the modules that the deployed daemon loads
    Then each comes from the project, the standard library or the lock file
