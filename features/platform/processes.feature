Feature: Entry hosts on the platform of the users, run as processes

  Scenario: A configuration change takes effect on all hosts
    Given 4 hosts on the platform
    When the operator adds a route
    Then all hosts serve it within 2000 ms

  Scenario: The readers are killed right before a change
    Given 5 hosts on the platform
    When the hosts that read the store are killed and a route is added
    Then the remaining hosts serve it within 2000 ms

  Scenario Outline: A withdrawn target gets no new requests
    Given 3 hosts on the platform
    When a target <withdrawal> under load
    Then it gets no new requests 2000 ms later
    And every request was answered

    Examples:
      | withdrawal                   |
      | drains                       |
      | disappears                   |
      | drains while history is lost |
      # Review case 3: each cut watch counted as an outage of the store.
      | disappears while watches are cut |
      # Review case 9: what its responses said was not read.
      | says that it leaves while the store is down |

  # Review case 5: the grace for a mass removal, here of one of two targets, was
  # added to the delay until a host noticed the loss of the readers.
  Scenario: The readers are killed right before a target disappears
    Given 3 hosts on the platform
    When the hosts that read the store are killed and 1 of 2 targets disappears
    Then the remaining hosts send it no requests 2000 ms later

  Scenario: A host that was frozen does not use outdated state
    Given 3 hosts on the platform
    When a host is frozen for 3 s while a target drains
    Then it sends that target no requests once it is up to date

  Scenario: A graceful stop under load cuts no request off
    Given 3 hosts on the platform
    When a host gets SIGTERM under load
    Then every request was answered
    And the host is not ready at once and exits within 6 s

  # Work that outlasts the grace period was accepted late and then cut off.
  Scenario Outline: A request that comes late in the grace period
    Given 2 hosts on the platform
    When a host gets SIGTERM and a request on an open connection after <late> s
    And its route waits up to <timeout> ms and its work takes <work> s
    Then it gets a complete response, with status <status>
    And it ran only if it was not refused

    Examples:
      | late | timeout | work | status |
      | 0.5  | 1000    | 0.8  | 200    |
      | 3.5  | 1000    | 0.8  | 200    |
      | 1.5  | 3000    | 2.5  | 200    |
      | 1.8  | 5000    | 4.5  | 503    |
      | 0.5  | 8000    | 6    | 503    |

  # Requests that still wait for a target at the end did not run.
  Scenario: A request that waits for a target until the end is told so
    Given 2 hosts on the platform
    When a host stops while a request waits for a target without capacity
    Then it gets a complete response, with status 503
    And it ran only if it was not refused

  # Review case 6: the rest of the response was lost when a further request
  # met a connection that the stopping host had closed.
  Scenario: A caller that reads slowly while its host stops
    Given 2 hosts on the platform
    When a host stops while callers read slowly and send further requests
    Then each of them has read its whole response
    And the host exits within 6 s

  # Found by the soak (seed 315): a host that was frozen until after its stop
  # slept for one more tick of 0.25 s before it stopped.
  Scenario: A stopping host that was frozen stops when it resumes
    Given 2 hosts on the platform
    When a host gets SIGTERM and is frozen from 1 s to 6 s after it
    Then it stops less than 0.25 s after it has noticed the pause

  # Targets that state a limit got as many requests and probes as before.
  Scenario Outline: Targets state a request limit
    Given 4 hosts on the platform
    When <count> of 6 targets state a limit of 4 a second for 9 s
    And callers send 60 requests a second meanwhile
    Then from 3 s on no window of 4 s has more messages to a target than 16
    And from 3 s on at least <served> requests a second are answered with 200

    # Targets without a limit serve all; six limits permit 24 a second, of
    # which at least half are to be used.
    Examples:
      | count | served |
      | 2     | 50     |
      | 6     | 12     |

  Scenario: Targets whose entries expire while the store is down are kept
    Given 3 hosts on the platform
    When the store is down for 3 s and all entries expire meanwhile
    Then every request was answered
    And all targets still get requests

  # Operators report that one odd entry made hosts end or stop following.
  Scenario: Another writer leaves odd entries among those of the targets
    Given 3 hosts on the platform
    When odd entries are written under load and then a route is added
    Then every request was answered
    And all hosts serve it within 2000 ms
    And no host has ended or logged a failed component

  Scenario: All hosts are killed at once
    Given 4 hosts on the platform
    When all hosts are killed and started again
    Then all serve the newest configuration within 3000 ms

  Scenario: A killed host is no longer listed to callers
    Given 4 hosts on the platform
    When a host is killed
    Then no other host lists it after 3000 ms
