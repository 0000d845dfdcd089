Feature: Trace of a request in logs

  Scenario Outline: Lines of a request are found with what came before
    Given a log whose lines begin with <prefix>
    When the request r2 is traced
    Then its line is found after the change of configuration
    And no line of another request is shown

    Examples:
      | prefix           |
      | nothing          |
      | a time and a host |

  Scenario: Broken lines are passed over
    Given a log with broken lines
    When the request r2 is traced
    Then its line is found after the change of configuration

  Scenario: A request that no line tells of
    Given a log whose lines begin with nothing
    When the request r9 is traced
    Then nothing is found
