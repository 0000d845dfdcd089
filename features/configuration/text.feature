Feature: The operators' text

  Scenario Outline: The examples have no faults
    Then the example "<name>" has <services> services and <targets> targets

    Examples:
      | name        | services | targets |
      | perch-guard | 4        | 30      |
      | errata-desk | 4        | 40      |

  Scenario Outline: A fault is reported by error class and line
    Given the example "perch-guard" with "<before>" replaced by "<after>"
    Then a <error> is reported at line <line>

    Examples:
      | before | after | error | line |
      | depends_on = ["spike-stock"] | depends_on = ["nowhere"] | UnknownDependencyError | 103 |
      | depends_on = ["spike-stock"] | depends_on = ["bookings", "quotes"] | DependencyCycleError | 103 |
      | address = "127.10.1.2:9000" | address = "127.10.1.1:9000" | DuplicateAddressError | 37 |
      | fleet_probes_per_second = 120.0 | fleet_probes_per_second = 1.0 | BudgetTooSmallError | 5 |
      | fleet_probes_per_second = 120.0 | fleet_probes_per_minute = 1.0 | TextFaultError | 4 |
      | [measuring] | [measuring | TextFaultError | 4 |
      | path = "/draws" | path = "/stock/*" | TextFaultError | 0 |
      | address = "127.10.1.2:9000" | address = "host:9000" | TextFaultError | 37 |

  Scenario: Only listed or safe requests may be repeated
    Then "POST /bookings" of "bookings" may not be repeated
    And "GET /bookings/4" of "bookings" may be repeated
    And "DELETE /bookings/4" of "bookings" may not be repeated

  Scenario: Differences are listed by key path
    Given the example "perch-guard" with "deadline_ms = 500" replaced by "deadline_ms = 600"
    Then the only difference is "services.safety-register.deadline_ms" from 500 to 600

  Scenario: Offers in any order lead to the newest text without going back
    Given 6 texts of which 1 is faulty and 2 share a version
    Then every order and repetition of offers leads to the same text

  Scenario: A faulty text leaves the last valid one in force
    Given a coordinator with version 3 in force
    When a faulty text is offered as version 4
    Then version 3 is in force and the faults are kept
    And a valid text offered as version 5 is accepted
