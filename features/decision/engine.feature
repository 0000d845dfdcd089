Feature: Choice of targets

  Scenario Outline: An incarnation reported as leaving gets no more work
    Given an engine for a service of 4 targets
    When target 0 is reported as leaving by <sign>
    Then target 0 gets no new work
    And target 0 gets no new work after a stale list shows it as live
    And target 0 gets work again as another incarnation

    Examples:
      | sign                            |
      | its own answer                  |
      | a peer                          |
      | a peer before it was ever heard |

  Scenario: A leaving state that a peer read in the list expires
    Given an engine for a service of 4 targets
    When a peer reports that target 0 is listed as leaving
    Then target 0 gets no new work
    And target 0 gets work again 11 seconds after the last such report

  Scenario: A target that the text lists as leaving gets no work
    Given an engine for a service of 4 targets, of which 1 is leaving
    When 200 calls are started and finished
    Then the leaving target got no call

  Scenario: A stale report does not restore an older incarnation
    Given an engine for a service of 4 targets
    When target 0 is reported as leaving by its own answer
    And a peer forwards an older report of another incarnation
    Then target 0 gets no new work

  Scenario: A target that fails repeatedly is ejected
    Given an engine for a service of 4 targets
    When target 0 fails 3 times
    Then target 0 gets no new work until its ejection ends

  Scenario: Failures of most targets do not eject most of them
    Given an engine for a service of 4 targets
    When all targets fail 5 times
    Then at least 2 targets still get work

  Scenario: Requests of one process never exceed the slots of a target
    Given an engine for a service of 4 targets
    When 30 calls are started and not finished
    Then 24 were placed, 6 on each target, and the others refused as not run

  Scenario: All targets of a large service are tried before a call is refused
    Given an engine for a service of 120 targets
    When 720 calls are started and not finished
    Then all of them were placed, 6 on each target

  Scenario: Retries stay within a share of calls
    Given an engine for a service of 4 targets
    When 1000 calls are started and each requests 2 retries
    Then at most 110 retries were granted

  Scenario: A target with an overdue request gets no work while others are free
    Given an engine for a service of 4 targets
    When a request on target 0 takes ten times longer than usual
    Then the next 9 calls go to other targets

  Scenario: A load report loses its weight with age
    Given an engine for a service of 4 targets
    When all but target 0 report full slots and a second passes
    Then calls are spread over all targets

  Scenario: A second attempt after an unknown outcome violates an invariant
    Given a non-repeatable call whose attempt ended unknown
    Then a further attempt raises RepeatedRunError
