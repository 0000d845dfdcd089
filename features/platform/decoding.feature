Feature: Documents of the platform

  Scenario Outline: What may be repeated follows from the route's type
    Given a configuration with a route of type <type>
    Then its requests <may> run more than once

    Examples:
      | type     | may     |
      | safe     | may     |
      | download | may     |
      | unsafe   | may not |
      | unknown  | may not |

  # A malformed limit must neither end a limit nor fail the response.
  Scenario Outline: A target states its request limit
    Given a target that stated a limit of 4 requests a second
    When its next response <states>
    Then its limit is <limit>

    Examples:
      | states               | limit |
      | states 4.2           | 4.2   |
      | states 12            | 12    |
      | states 0             | 0     |
      | states no limit      | none  |
      | states an empty one  | 4     |
      | states abc           | 4     |
      | states 4,2           | 4     |
      | states nan           | 4     |
      | states -1            | 4     |
      | states 1e400         | 4     |

  Scenario Outline: Another host reports the request limit of a target
    Given a target that stated a limit of 4 requests a second
    When a host reports a limit of <reported>
    Then its limit is <limit>

    Examples:
      | reported | limit |
      | 4.2      | 4.2   |
      | nan      | 4     |
      | inf      | 4     |
      | -1       | 4     |

  # Keys of the settings may be empty; a process must start all the same.
  Scenario Outline: Settings name the heartbeat interval of the targets
    Given settings of the platform whose heartbeat is <heartbeat>
    Then entries are expected to be renewed every <seconds> s

    Examples:
      | heartbeat | seconds |
      | "500ms"   | 0.5     |
      | "2s"      | 2.0     |
      | null      | 1.5     |
      | ""        | 1.5     |
