Feature: Entries of targets that disappear

  # DRAIN: a target that leaves gets no new requests 2 s after the store has
  # removed its entry.  Entries of live targets expire in an outage of the
  # store, and are back within 2 s of its return.

  # Review case 3: each cut watch counted as an outage of the store.
  Scenario Outline: Cut watches do not keep a removed target in use
    Given a store whose watches are cut <cuts>
    When the entry of a target disappears after 10 s
    Then the target gets no new requests 2 s later

    Examples:
      | cuts               |
      | never              |
      | every 1.5 s        |
      | every 0.7 s        |
      | every 0.3 s        |
      | once after 9.98 s  |
      | once after 10.01 s |

  Scenario: One rejected call does not keep a removed target in use
    Given a store that is down from 9.5 s to 9.6 s
    When the entry of a target disappears after 10 s
    Then the target gets no new requests 2 s later

  Scenario Outline: Targets whose entries expire in an outage stay in use
    Given a store that is down from <outages>
    When all entries expire in the first outage and return after <back> s
    Then all targets stay in use throughout

    Examples:
      | outages                     | back |
      | 10 s to 13 s                | 14.9 |
      | 10 s to 16 s                | 17.9 |
      | 10 s to 13 s, 13.5 s to 18 s | 19.9 |
      | 10 s to 40 s                | 41.9 |

  Scenario: An entry that expires after the return of the store
    Given a store that is down from 10 s to 14.5 s
    When all entries expire after 15.2 s and return after 16.4 s
    Then all targets stay in use throughout

  Scenario: An entry that does not return after an outage is dropped
    Given a store that is down from 10 s to 14.5 s
    When all entries expire in the first outage and return after 99 s
    Then no target is in use 4 s after the outage

  # Review case 5: the delay until a host learned of a removal and the grace for
  # mass removals added up to more than the time to drain.
  Scenario Outline: A mass removal right after the loss of both readers
    Given host <number> whose readers of the store are lost after 10 s
    When the entry of one of 2 targets disappears after <removed> s
    Then the target gets no new requests 2 s later

    Examples:
      | number | removed |
      | 1      | 10.02   |
      | 2      | 10.02   |
      | 3      | 10.02   |
      | 4      | 10.3    |
      | 5      | 11.2    |

  Scenario: A mass removal without an observed outage
    Given a store whose watches are cut never
    When the entry of one of 2 targets disappears after 10 s
    Then the target gets new requests for 0.5 s
    And the target gets no new requests 2 s later
