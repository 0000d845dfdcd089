Feature: Entry hosts under random faults

  Scenario Outline: No promise is broken
    Given the faults of seed <seed>
    When they strike real entry hosts for <seconds> s
    Then callers and targets saw no broken promise

    Examples: a short run
      | seed | seconds |
      | 1    | 10      |

  Scenario Outline: A broken promise is reported
    Given the record of a run in calm
    When it shows <what>
    Then the report says "<report>"

    Examples:
      | what                                        | report                     |
      | an answer to another request                | wrong answer               |
      | a request that may not be repeated run twice | ran 2 times               |
      | a request that ran and was told 503         | was told 503 but ran       |
      | a request that was sent on and cut off      | sent on and then cut off   |
      | work for a target that left 2.5 s before    | after it left              |
      | a route that is missing 2.5 s after it came | lacks version 2            |
      | an older route served after a newer one     | went back to version 1     |
      | 130 probes of a target in 2 s               | was probed 130 times       |
      | no request served at the end                | served at the end          |
      | nothing else                                |                            |
