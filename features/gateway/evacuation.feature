Feature: Evacuated failure domains and cold targets

  # The key of an evacuation was ignored: the targets of the domain went on
  # getting requests.
  Scenario Outline: Targets of evacuated domains are not used
    Given targets in the domains a, b and c
    When these changes arrive: <changes>
    Then the targets of <used> are used

    Examples:
      | changes                                  | used        |
      | a is evacuated                           | b, c        |
      | a is evacuated, b is evacuated           | c           |
      | a is evacuated, a is restored            | a, b, c     |
      | a is evacuated, a registers again        | b, c        |
      | a is evacuated, b drains                 | c           |
      | a is evacuated, all are lost            | none        |
      | a is evacuated, b is evacuated, a is restored | a, c   |
      | c is evacuated in a snapshot             | a, b        |

  # Entries may not say yet that the targets became cold.
  Scenario: Targets of a restored domain count as cold
    Given targets in the domains a, b and c
    When these changes arrive: a is evacuated, a is restored
    Then only the targets of a are cold for 3 s

  Scenario: A request placed before an evacuation is placed again
    Given targets in the domains a, b and c
    When these changes arrive: a is evacuated
    Then a target of a that was chosen before is no longer in the table

  Scenario Outline: The cold state that a health response states
    Given a target of a service whose cold targets accept 6.8 a second
    When its health response says <field>
    Then it is <state> 1 s later

    Examples:
      | field              | state |
      | Warmup-Ms: 2500    | cold  |
      | Warmup-Ms: 500     | warm  |
      | Warmup-Ms: 0       | warm  |
      | Warmup-Ms: -9      | warm  |
      | Warmup-Ms: 9999999999999 | warm  |
      | nothing            | warm  |

  # 125 hosts that each send one request a second to a cold target crash it.
  # A second allows 1.5 x 6.8 + 8 requests from all hosts together.
  Scenario Outline: Cold targets get no more requests than they bear
    Given <hosts> hosts that send <rate> requests a second to 12 targets
    And meanwhile <disruption>
    When all targets are cold for 20 s and accept 6.8 requests a second
    Then no second has more than 18 requests to a cold target
    And every cold target gets requests

    Examples:
      | hosts | rate | disruption                       |
      | 1     | 100  | nothing happens                  |
      | 13    | 200  | nothing happens                  |
      | 13    | 200  | all hosts restart at once        |
      | 13    | 200  | a failure domain is cut off      |
      | 125   | 300  | all hosts restart one by one     |
      | 311   | 300  | nothing happens                  |
