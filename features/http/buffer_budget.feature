Feature: Memory for the bodies of one process

  Scenario: Bodies are granted memory in the order of their requests
    Given a budget of 100 bytes
    When a reserves 60, b reserves 60 and c reserves 10
    Then a is granted and b, c wait
    When a is released
    Then b, c are granted and none waits
    And 70 bytes are used

  Scenario: A body larger than the budget is granted alone
    Given a budget of 100 bytes
    When a reserves 150, b reserves 10 and c reserves 10
    Then a is granted and b, c wait
    When a is released
    Then b, c are granted and none waits

  Scenario: When all that hold memory wait for more, the oldest goes on
    Given a budget of 100 bytes
    When a reserves 50, b reserves 50 and a reserves 20
    Then b is granted and a waits
    When b reserves 20
    Then a is granted and b waits
    When a reserves 40
    Then a is granted and b waits
    And 160 bytes are used
    When a is released
    Then b is granted and none waits

  Scenario: A response that is being sent counts without waiting
    Given a budget of 100 bytes
    When a holds 150
    And b reserves 10
    Then a is granted and b waits
    When a is released
    Then b is granted and none waits

  Scenario Outline: Any sequence keeps the limit but for one body
    Given a budget of 1000 bytes
    When <count> bodies of up to 300 bytes come, grow and go at random
    Then never more than 1300 bytes were used
    And all waiting bodies are granted in the end

    Examples:
      | count |
      | 3     |
      | 40    |
