Feature: How a restoration of the store spreads over the hosts

  Scenario Outline: All hosts enter the new era
    Given a fleet of 60 hosts in 5 domains
    And a network that loses <loss> of 100 datagrams, seed 2
    When they have run for 8 s
    And a reader takes 9 changes from the store
    And <failure>
    And a reader reads the store, which came back from a copy at revision 5
    And they run on for <seconds> s
    Then all hosts have the content of the restored store

    Examples:
    | loss | failure                                     | seconds |
    | 0    | nothing fails                               | 1       |
    | 10   | nothing fails                               | 2       |
    | 0    | the primary relays that are not readers die | 2       |
    | 0    | the reader dies after it has told one host  | 2       |
    | 0    | one domain is cut off for 4 s from here on  | 10      |

  # Heartbeats of hosts in different eras.
  Scenario Outline: Which of two hosts has newer state
    Given a host in era <own> at revision 7, not confirmed for 5 s
    When a peer in era <peer> at revision <revision> confirms its state
    Then the host <is behind>, the peer <peer is behind>
    And the host's state is <confirmed>

    Examples:
    | own | peer | revision | is behind     | peer is behind | confirmed     |
    | 0   | 0    | 7        | is not behind | is not behind  | confirmed     |
    | 0   | 0    | 6        | is not behind | is behind      | confirmed     |
    | 0   | 0    | 8        | is behind     | is not behind  | not confirmed |
    | 1   | 0    | 9        | is not behind | is behind      | not confirmed |
    | 1   | no   | 9        | is not behind | is behind      | not confirmed |
    | 0   | 1    | 5        | is behind     | is not behind  | not confirmed |
    | 2   | 1    | 9        | is not behind | is behind      | not confirmed |
    | 1   | 1    | 7        | is not behind | is not behind  | confirmed     |

  Scenario: Messages grow only in a store that was restored
    Given a host in era 0 at revision 7, not confirmed for 5 s
    Then its heartbeats and transfers have no bytes for the era

  # All entries of live targets were dropped, or stayed for good.
  Scenario Outline: Targets that are lost with the copy and written again
    Given a store that is down from <outage>
    When the store comes back at <returns> s without the entries of targets
    And <written> entries are written again <after> s later
    Then <kept> targets stay in use throughout, and <used> in the end

    Examples:
    | outage       | returns | written | after | kept | used |
    | 10 s to 10 s | 10      | all     | 1.9   | 5    | 5    |
    | 10 s to 11 s | 11      | all     | 1.9   | 5    | 5    |
    | 10 s to 14 s | 14      | all     | 1.9   | 5    | 5    |
    | 10 s to 14 s | 14      | 3       | 1.9   | 3    | 3    |

  Scenario: A late response of an earlier era does not confirm the state
    Given a host that watches the store
    When a peer sends it the state of a new era during the watch
    And the watch returns changes of the earlier era
    Then the host holds the state of the new era, not confirmed by the watch

  # A host that could use neither response called the store without a pause.
  Scenario Outline: A store whose responses are of two eras
    Given a store whose watches are of era <first>, snapshots of <second>
    Then a host calls it at most 40 times in 3 s

    Examples:
    | first | second |
    | 1     | 0      |
    | 0     | 1      |

  # It followed the copy although its peers knew what the copy lacks.
  Scenario Outline: A new process reads the copy first
    Given a new process that reads a restored store at once
    When a peer <sends> its state after 500 ms
    Then the process holds the value <value> 1300 ms after its start

    Examples:
    | sends         | value  |
    | sends         | newer  |
    | does not send | copied |

  Scenario Outline: Era in the responses of the store
    Given a store whose responses state the eras <eras>
    Then a snapshot of <pages> pages <is read>

    Examples:
    | eras    | pages | is read          |
    | none    | 1     | is read in era 0 |
    | 3       | 1     | is read in era 3 |
    | 3, 3    | 2     | is read in era 3 |
    | 3, 4    | 2     | fails            |
    | none, 1 | 2     | fails            |
    | x       | 1     | fails            |
    | -1      | 1     | fails            |
