Feature: Copy of the store

  Scenario: Changes from several sources in any order
    Given the history of a store with seed-drawn changes
    When copies take deltas late, twice and out of order
    Then no key ever goes back
    And all copies end with the store's content

  Scenario: A snapshot removes what it lacks
    Given a copy with keys a, b and c at revision 3
    When a snapshot at revision 5 holds a and c
    Then the copy holds a and c at revision 5

  Scenario: A snapshot of pages keeps what is newer than its first page
    Given a copy with keys a, b and c at revision 3
    When a snapshot at revision 2 holds a
    Then the copy holds a, b and c at revision 3

  Scenario: A delta that starts too late is not taken
    Given a copy with keys a, b and c at revision 3
    When a delta from revision 4 to 6 sets d
    Then the copy holds a, b and c at revision 3

  Scenario Outline: Entries that disappear
    Given a registered target
    When its entry disappears <when>
    Then it gets new work: <at once>, and 3 seconds later: <later>

    Examples:
      | when                      | at once | later |
      | in calm                   | no      | no    |
      | in an outage              | yes     | no    |
      | in an outage and returns  | yes     | yes   |
      | in an outage after it drained | no  | no    |

  Scenario: Most entries of a service disappear at once
    Given a registered target
    When most entries of its service disappear at once
    Then it gets new work for 1.0 s, but not after 1.5 s

  Scenario: A target that drains stays out for its incarnation
    Given a registered target
    When it reports that it drains and then that it is ready
    Then it gets new work: no, and 3 seconds later: no
    And it gets new work as another incarnation

  Scenario Outline: Who reads the store
    Given <hosts> hosts in <domains> failure domains
    Then all hosts agree on <readers> readers
    And the readers are in <spread> failure domains
    And the loss of the readers makes other hosts readers

    Examples:
      | hosts | domains | readers | spread |
      | 1     | 1       | 1       | 1      |
      | 5     | 1       | 2       | 1      |
      | 13    | 3       | 2       | 2      |
      | 141   | 5       | 2       | 2      |

  Scenario: A host that hears nothing reads for itself before 2 seconds
    Given 20 hosts that were confirmed a moment ago
    Then none is stale after 1300 ms
    And all are stale after 1700 ms
