Feature: Log lines of a process whose reader is slow

  Scenario: Dropped lines are counted in the log
    Given a log stream whose reader does not read
    When 6000 lines are logged and then the reader reads all
    Then the lines that were written and those reported dropped are 6000
    And no line is cut
