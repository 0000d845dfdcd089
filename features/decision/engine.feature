Feature: Choice of targets

  Scenario Outline: No sign of leaving is forgotten for an incarnation
    Given an engine for a service of 4 targets
    When target 0 is found leaving by <sign>
    Then target 0 gets no new work
    And target 0 gets no new work after a lagging list calls it live
    And target 0 gets work again as another incarnation

    Examples:
      | sign                            |
      | its own answer                  |
      | a peer                          |
      | a peer before it was ever heard |

  Scenario: What a peer read in the list counts while it is fresh
    Given an engine for a service of 4 targets
    When a peer says that target 0 is listed as leaving
    Then target 0 gets no new work
    And target 0 gets work again 11 seconds after the last word of it

  Scenario: A leaving target in the text gets no work
    Given an engine for a service of 4 targets, of which 1 is leaving
    When 200 calls are begun and ended
    Then the leaving target got none

  Scenario: An old report cannot bring back an older incarnation
    Given an engine for a service of 4 targets
    When target 0 is found leaving by its own answer
    And a peer passes on an older report of another incarnation
    Then target 0 gets no new work

  Scenario: A target that fails fast is set aside
    Given an engine for a service of 4 targets
    When target 0 fails 3 times
    Then target 0 gets no new work for a while

  Scenario: Most targets failing does not set most aside
    Given an engine for a service of 4 targets
    When all targets fail 5 times
    Then at least 2 targets still get work

  Scenario: Own requests never exceed the slots
    Given an engine for a service of 4 targets
    When 30 calls are begun and not ended
    Then 24 were placed, 6 on each target, and the others refused as not run

  Scenario: A large service is searched whole before a call is refused
    Given an engine for a service of 120 targets
    When 720 calls are begun and not ended
    Then all of them were placed, 6 on each target

  Scenario: Retries stay a share of calls
    Given an engine for a service of 4 targets
    When 1000 calls are begun and each asks for 2 retries
    Then at most 110 retries were granted

  Scenario: An overdue target gets no work while others are free
    Given an engine for a service of 4 targets
    When target 0 holds a request ten times longer than usual
    Then the next 9 calls go to other targets

  Scenario: An old report loses its weight
    Given an engine for a service of 4 targets
    When all but target 0 report full slots and a second passes
    Then calls are spread over all targets

  Scenario: A second send of doubtful work breaks an invariant
    Given a non-repeatable call whose attempt ended unknown
    Then a further attempt raises a typed error
