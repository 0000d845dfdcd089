Feature: Replica of the store

  Scenario: Changes from several sources in any order
    Given a store with a seeded random history of changes
    When replicas apply deltas late, twice and out of order
    Then the revision of a key never decreases
    And all replicas end with the store's content

  Scenario: A snapshot removes keys that it does not contain
    Given a replica with keys a, b and c at revision 3
    When a snapshot at revision 5 holds a and c
    Then the replica holds a and c at revision 5

  Scenario: A paged snapshot keeps keys newer than its first page
    Given a replica with keys a, b and c at revision 3
    When a snapshot at revision 2 holds a
    Then the replica holds a, b and c at revision 3

  Scenario: A delta that starts after the replica's revision is rejected
    Given a replica with keys a, b and c at revision 3
    When a delta from revision 4 to 6 sets d
    Then the replica holds a, b and c at revision 3

  Scenario Outline: An entry disappears
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

  Scenario: A draining target gets no new work in the same incarnation
    Given a registered target
    When it reports draining and then ready
    Then it gets new work: no, and 3 seconds later: no
    And it gets new work as another incarnation

  Scenario Outline: Hosts agree on the readers of the store
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

  Scenario: State without confirmation becomes stale before 2 seconds
    Given 20 hosts whose state was just confirmed
    Then none is stale after 1300 ms
    And all are stale after 1700 ms

  Scenario Outline: A target that left returns only as another process
    Given a target that has announced in incarnation <left> that it leaves
    When it is registered as ready in incarnation <returned>
    Then it <gets> new requests

    # An incarnation is the time of its start, and clocks may step back.
    Examples:
      | left | returned | gets         |
      | 1000 | 1000     | does not get |
      | 1000 | 4000     | gets         |
      | 4000 | 1000     | gets         |
