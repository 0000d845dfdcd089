Feature: Counts of entry hosts

  Scenario: The count of live hosts follows every change of state
    Given a table of members that takes 400 drawn changes, seed 7
    Then after each the count is that of the list of live hosts
