Feature: Count of live entry hosts

  Scenario: The count of live hosts follows every change of state
    Given a member table that takes 400 random changes, seed 7
    Then after each change the count equals the length of the list of live hosts
