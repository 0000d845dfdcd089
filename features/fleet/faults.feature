Feature: Guarantees hold under a random schedule of faults

  Scenario Outline: Faults overlap and repeat
    When faults of seed <seed> are injected into <hosts> entry hosts of "<text>" for 12 seconds
    Then the verdict of the run is good

    Examples:
      | seed | hosts | text        |
      | 1    | 5     | perch-guard |
      | 2    | 5     | errata-desk |
