Feature: Memory for the requests of callers

  # Bodies were received without a bound, however many came at once.
  Scenario: Announced bodies are received as far as their memory lasts
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 600, b announces 500, c announces 300 KiB
    Then a, c are read and b waits
    When a is answered
    Then b, c are read

  Scenario: The smallest waiting request is granted first
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 800, b announces 700, c announces 500 KiB
    And a is answered
    Then c is read and b waits

  # Ordinary requests had to wait behind large bodies.
  Scenario: Small requests use what is kept for them
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 900, b announces 100, c receives 40 KiB
    Then a, c are read and b waits

  Scenario: A body in chunks waits for memory like an announced one
    Given 5000 KiB for requests, 100 of them for small ones
    When requests come: a receives 3000, b receives 1000, b receives 1500 KiB
    Then a is read and b waits

  Scenario: A request larger than the limit is received alone
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 1200, b announces 200 KiB
    Then a is read and b waits
    When a is answered
    Then b is read

  # Bodies that stop before their end kept their memory from others for ever.
  Scenario: A request without progress makes way for one that waits
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 400, b announces 400, c announces 400 KiB
    And 0.3 s pass while b receives 100 KiB
    Then a, b are read and c waits
    When 0.3 s pass while b receives 100 KiB
    Then a is refused with 408
    And b, c are read

  Scenario: A request without progress may stay while none waits
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 400 KiB
    And 3 s pass while a receives 1 KiB
    Then a is read

  Scenario: A process that stood still does not blame its callers
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 800, b announces 800 KiB
    And 0.1 s pass while a receives 20 KiB
    And the process stands still for 3 s
    Then a is read and b waits

  # Requests that all wait for each other's memory would wait for ever.
  Scenario: Of requests that wait for each other the least complete is refused
    Given 5000 KiB for requests, 100 of them for small ones
    When requests come: a receives 1000, b receives 1000, b receives 2500 KiB
    And requests come: a receives 2200 KiB
    And 0.6 s pass while a receives 60 KiB
    Then a is refused with 408
    And b is read

  Scenario: Too many waiting requests are refused, the largest first
    Given 1000 KiB for requests, 100 of them for small ones
    When requests come: a announces 800 KiB
    And 8 others announce 500 KiB each
    And requests come: b announces 600 KiB
    Then b is refused with 503

  Scenario: A complete request without memory for it is refused
    Given 100 KiB for requests, 10 of them for small ones
    When requests come: a announces 90, a completes 90 KiB
    And requests come: b completes 20 KiB
    Then b is refused with 503

  Scenario: A request that is complete with its first bytes counts too
    Given 100 KiB for requests, 10 of them for small ones
    When requests come: a brings 50, b announces 80, c brings 60 KiB
    Then c is refused with 503
    When a is answered
    Then b is read

  Scenario: Any sequence keeps the bound and ends without leases
    Given 1000 KiB for requests, 100 of them for small ones
    When 20000 random steps of up to 12 requests are made
    Then never more than 1300 KiB were held
    And no memory is held in the end

  Scenario Outline: Which connection is closed when there are too many
    Given open connections <connections>
    Then <closed> is closed for a new one

    Examples:
      | connections                             | closed |
      | handling, idle, idle                    | 2      |
      | receiving since 5, receiving since 3    | 2      |
      | receiving since 5, handling, idle       | 3      |
      | handling, handling                      | none   |

  Scenario Outline: A body is kept in one piece, whatever its parts
    Given a body in <count> parts of <size> bytes
    Then it is returned whole, and the next one starts empty

    Examples:
      | count | size    |
      | 0     | 0       |
      | 1     | 10      |
      | 7     | 10      |
      | 5     | 16384   |
      | 300   | 16384   |
      | 2     | 1500000 |
