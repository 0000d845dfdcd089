Feature: Arbitrary input over the network

  # Examples are drawn with a fixed seed; FUZZ_EXAMPLES=N draws more.

  Scenario: Target entries that are well-formed except for one field
    Given entries with one field replaced by anything
    Then each is a target with a numeric address or is dropped

  Scenario Outline: Invalid target entries
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

  # Operators report that one odd entry of another writer made hosts end or stop
  # following the list.
  Scenario Outline: Entries out of range or nested too deeply
    Given an entry with <content>
    Then it is dropped

    Examples:
      | content                      |
      | 100000 nested lists          |
      | 400 digits of slots          |
      | 20 digits of slots           |
      | 400 digits of born           |
      | 30 digits of born            |
      | 5000 digits of born          |
      | 400 digits of warm-up        |
      | 20 digits of warm-up         |
      | 5000 digits of port          |
      | the address 0.0.0.0:80       |
      | the address 224.0.0.1:80     |
      | the address 255.255.255.255:80 |
      | half a surrogate pair as zone |
      | half a surrogate pair as service |

  Scenario Outline: Keys that name no target
    Given a page of the store with the key <key> and a valid one
    Then the valid one is read
    And hosts exchange the items of the page
    And requests name no target with the key <key>

    Examples:
      | key                        |
      | "servers/"                 |
      | "servers/a\r\nX-Field: y"  |
      | "servers/a b"              |
      | "servers/\ud800"           |
      | 7                          |

  Scenario Outline: Contents of the store
    Given <content> of the store with arbitrary content
    Then each is decoded or fails with the expected error

    Examples:
      | content        |
      | entries        |
      | configurations |
      | pages          |

  Scenario Outline: A malformed response of the store is a store error
    Given a store that responds to <path> with <body>
    Then the read fails with a store error

    Examples:
      | path           | body                                         |
      | /api/kv-range  | {}                                           |
      | /api/kv-range  | {"items": 3, "store-revision": 1}            |
      | /api/kv-range  | {"items": [], "store-revision": "x"}         |
      | /api/kv-watch  | {"store-revision": 7}                        |
      | /api/kv-watch  | {"events": {}, "store-revision": null}       |
      | /api/kv-watch  | []                                           |

  Scenario: A value that is not base64 does not affect other keys
    Given a page of the store with such a key and a valid one
    Then the valid one is read

  Scenario: Load headers of targets
    Given responses with any load header
    Then each yields a report with finite values or no report

  Scenario: Arbitrary bytes from targets
    Given connections on which targets send arbitrary bytes
    Then each request ends with a response or a failed connection

  Scenario: Corrupted datagrams of peers
    Given heartbeats with corrupted bytes
    Then each is accepted or rejected as malformed

  Scenario: Oversized deadlines of callers
    Given a caller whose deadline header has 5000 digits
    Then the request is forwarded as without a deadline
