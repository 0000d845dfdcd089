Feature: Clients outside the limits

  # Clients of this kind made a process exceed the memory of its machine, which
  # then ended it.
  Scenario Outline: Many clients send <stream>
    Given a host of 120 MB with 1000 descriptors
    When <count> clients send <stream>
    Then the process lives, within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | count | stream                                    |
      | 40    | bodies that stop before their end         |
      | 40    | chunked bodies that stop before their end |
      | 400   | small chunks and no end                   |
      | 40    | announced bodies over the limit           |
      | 40    | chunked bodies over the limit             |

  # Bodies that a target had not read were held three times.
  Scenario: Many clients send whole bodies, which the targets do not read
    Given a host of 120 MB with 1000 descriptors
    And targets that do not read large bodies
    When 40 clients send whole bodies
    Then the process lives, within its memory and descriptors
    And an ordinary request is answered

  # Without a limit, accepting fails once the machine has no descriptors left.
  Scenario Outline: More clients than descriptors, which send <stream>
    Given a host of 120 MB with 400 descriptors
    When 600 clients send <stream>
    Then the process lives, within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | stream           |
      | nothing          |
      | part of a header |

  # A single request inside the limits is served whatever the copies of its
  # body take.
  Scenario: One body of the largest size on the smallest machine
    Given a host of 200 MB with 4100 descriptors
    When one client sends a body of the largest size, 67108864 bytes
    Then the process lives, within its memory and descriptors
    And an ordinary request is answered
