Feature: Whatever comes over the wire

  # Examples are drawn with a fixed seed; FUZZ_EXAMPLES=N draws more.

  Scenario: Entries of targets, well-formed but for one field
    Given entries with one field replaced by anything
    Then each is a target with a numeric address or is dropped

  Scenario Outline: Entries that name no target
    Given an entry whose <field> is <value>
    Then it is dropped

    Examples:
      | field              | value                |
      | address            | "10.0.0.1:99999"     |
      | address            | "10.0.0.1:0"         |
      | address            | "10.0.0.1:-5"        |
      | address            | "target.example:80"  |
      | address            | ":80"                |
      | address            | ["10.0.0.1:80"]      |
      | info slots         | true                 |
      | info slots         | 1e3                  |
      | info service       | ""                   |
      | info service       | 7                    |
      | status state       | "leaving"            |
      | status state       | ["ready"]            |
      | status warmup-left | 0                    |
      | born               | "1"                  |
      | born               | 1.5                  |

  Scenario Outline: Contents of the store
    Given <content> of the store that hold anything
    Then each is decoded or fails with an error of its kind

    Examples:
      | content        |
      | entries        |
      | configurations |
      | pages          |

  Scenario Outline: A host survives a store that answers nonsense
    Given a store that answers <path> with <body>
    Then reading fails as a failed read of the store

    Examples:
      | path           | body                                         |
      | /api/kv-range  | {}                                           |
      | /api/kv-range  | {"items": 3, "store-revision": 1}            |
      | /api/kv-range  | {"items": [], "store-revision": "x"}         |
      | /api/kv-watch  | {"store-revision": 7}                        |
      | /api/kv-watch  | {"events": {}, "store-revision": null}       |
      | /api/kv-watch  | []                                           |

  Scenario: A key whose value is no base64 hides no other key
    Given a page of the store with such a key and a good one
    Then the good one is read

  Scenario: Loads that targets tell
    Given answers with any load
    Then each is a report with finite figures or none

  Scenario: Bytes of targets
    Given connections on which targets send anything
    Then each request ends with an answer or a failed connection

  Scenario: Datagrams of peers
    Given heartbeats with bytes changed
    Then each is taken in or refused as malformed

  Scenario: Times that callers state
    Given a caller who states a time of 5000 digits
    Then the request is forwarded as without one
