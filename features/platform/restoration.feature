Feature: Entry hosts whose store comes back from an older copy

  # Hosts ignored all changes of the restored store until its revisions were
  # reached again, and a host that started then followed the copy.
  Scenario Outline: The store comes back from a copy under load
    Given 4 hosts on the platform
    When the store comes back from a copy before some changes <meanwhile>
    Then every request was answered
    And no host went back to the configuration of the copy
    And the target that drained before gets no requests
    And the targets that the copy lacks or evacuates got requests throughout
    And all hosts serve a route that is added later within 2000 ms
    And all hosts have logged the restoration once

    Examples:
      | meanwhile                     |
      | while all hosts run           |
      | while one host is frozen      |
      | and one host starts again     |
      | and the readers are killed    |
