@fleet
Feature: Configuration among real processes

  Scenario: A new text is in force everywhere within 5 seconds
    When the operators publish a newer text
    Then it is in force on all hosts within 5 seconds

  Scenario Outline: A failing configuration service changes nothing
    When the configuration service is <fault> for 3 seconds
    Then all hosts keep their text and serve
    And a newer text is in force within 12 seconds after it has recovered

    Examples:
      | fault   |
      | down    |
      | garbage |
      | half    |
      | slow    |
      | stale   |

  Scenario: Two operators publish at once
    When two texts are published at the same time
    Then all hosts agree on the later one within 5 seconds

  Scenario: A faulty text is rejected as a whole
    When a faulty text is published
    Then all hosts keep their text and report the faults
    And a newer text is in force within 5 seconds after it has recovered

  Scenario: A new process starts while the service is stale
    When the service turns stale and one host is replaced
    Then the new process serves with the newest text only

  Scenario: A host is frozen while the text changes
    When one host is frozen while a newer text is published
    Then it does not serve by the older text after it is resumed
