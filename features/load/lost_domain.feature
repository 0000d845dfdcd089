Feature: Load while the targets of a failure domain are lost

  # Callers of a domain whose targets were lost for 3 s: each request probed
  # them first, queued requests searched every 30 ms, the budget of probes was
  # used up and 4 of 10 requests were refused while other domains had capacity.
  Scenario Outline: Which targets are probed first
    Given 6 targets in the own domain and 6 in others
    When <failing> of the <contacted> own targets used in the last 2 s fail
    Then targets of <first> are probed first

    Examples:
      | failing | contacted | first         |
      | 0       | 6         | the own domain |
      | 3       | 6         | the own domain |
      | 4       | 6         | other domains |
      | 6       | 6         | other domains |
      | 2       | 2         | the own domain |
      | 3       | 3         | other domains |

  Scenario: The own domain is tried again after its targets have recovered
    Given 6 targets in the own domain and 6 in others
    When 6 of the 6 own targets used in the last 2 s fail
    And 3 s pass without a message to them
    Then targets of the own domain are probed first

  Scenario: Requests are placed on other domains when no probe is left
    Given 6 targets in the own domain and 6 in others
    And no probe is left in the budget
    When 6 of the 6 own targets used in the last 2 s fail
    Then a new request is placed on a target of another domain
    And a queued request is placed on a target of another domain

  # 20 queued requests of one host sent 2,490 probes in this scenario. One
  # search sends 12 at most, and starts every 22 ms at most.
  Scenario: Only the most urgent queued request searches
    Given 72 targets without capacity
    When 20 requests wait for 1 s
    Then at most 1000 probes are sent
