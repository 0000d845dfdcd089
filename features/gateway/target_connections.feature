Feature: Connections to targets over the whole fleet

  The configuration states how many connections a target accepts from all
  hosts together; it resets further ones, which look like failures.

  # Hosts opened connections for all requests at once, beyond the limit.
  Scenario Outline: A host opens no more connections than its share
    Given <hosts> hosts before a target that accepts <limit> connections
    When one of them gets 30 requests at the same time
    Then it has at most <share> connections to the target at any time
    And all requests are answered and the target is not set aside

    Examples:
      | hosts | limit | share |
      | 1     | 4     | 3     |
      | 13    | 26    | 1     |
      | 13    | 90    | 6     |

  # Each host has its own view of the fleet, and no host sees the others'.
  Scenario Outline: All hosts together stay within what a target accepts
    Given <hosts> hosts before a target that accepts <limit> connections
    When <event>
    Then their shares never exceed the limit together
    And each host may open a connection at any time

    Examples:
      | hosts | limit | event                                             |
      | 13    | 220   | all start together, knowing 1 to all within 0.3 s |
      | 13    | 220   | all start together, knowing 4 to all within 2 s   |
      | 141   | 1000  | all start together, knowing 12 to all within 4 s  |
      | 311   | 2400  | all start together, knowing 1 to all within 0.3 s |
      | 311   | 2400  | all start together, knowing 46 to all within 10 s |
      | 13    | 220   | half of them seem dead to the others for 20 s     |
      | 311   | 2400  | half of them seem dead to the others for 20 s     |
