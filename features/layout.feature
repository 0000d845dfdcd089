Feature: Layout of the code

  Scenario: The platform's names stand in its own folder only
    Given the source files outside of the platform's folder
    Then none holds a name of the platform's wire

  Scenario: The deployed daemon needs what its lock file has, and no more
    Given the modules that the deployed daemon loads
    Then each comes from the project, the language or the lock file
