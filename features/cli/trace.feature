Feature: Trace of a request in logs

  Scenario Outline: Lines of a request follow the configuration in force
    Given a log whose lines begin with <prefix>
    When the request r2 is traced
    Then its line is found after the configuration change
    And no line of another request is shown

    Examples:
      | prefix           |
      | nothing          |
      | a time and a host |

  Scenario: Malformed lines are skipped
    Given a log with malformed lines
    When the request r2 is traced
    Then its line is found after the configuration change

  Scenario: A request without log lines
    Given a log whose lines begin with nothing
    When the request r9 is traced
    Then nothing is found
