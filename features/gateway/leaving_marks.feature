Feature: Marks of targets that leave

  # Lists, deltas, transfers and an older copy of the store may still show a
  # target as ready that has said that it leaves.
  Scenario Outline: Only another incarnation ends a target's own mark
    Given a host whose target t1 has said in a response that it leaves
    When the store shows <changes>
    Then the host uses <targets>

    Examples:
      | changes                   | targets          |
      | t1                        | t0, t2           |
      | no t1 and then t1         | t0, t2           |
      | t1 draining and then t1   | t0, t2           |
      | its older copy            | t0, t2           |
      | nothing for 900 s         | t0, t2           |
      | t1 as 2                   | t0, t1 as 2, t2  |
      | t1 as 0                   | t0, t1 as 0, t2  |
      | t1 as 2 and then t1       | t0, t2           |
      | no t1, t3                 | t0, t2, t3       |

  # Mass removals keep targets for some time; not one that has said it leaves.
  Scenario: A mass removal does not keep a target that leaves
    Given a host whose target t1 has said in a response that it leaves
    When the store shows no t0, no t1, no t2
    Then the host uses t0, t2

  # A peer that was cut off holds the entries of before.
  Scenario: A transfer from a peer does not end the mark
    Given a host whose target t1 has said in a response that it leaves
    When it fetches an older list from a peer
    Then the host uses t0, t2

  Scenario Outline: A removed entry that returns is used again
    Given a host with the targets t0, t1 and t2
    When the store shows <changes>
    Then the host uses <targets>

    Examples:
      | changes                        | targets    |
      | no t1                          | t0, t2     |
      | no t1 and then t1              | t0, t1, t2 |
      | no t1 and then t1 draining     | t0, t2     |

  Scenario Outline: The first source is logged once
    Given a host with the targets t0, t1 and t2
    When t1 is said to leave by <sources>
    Then one line of the log names <first>

    Examples:
      | sources             | first        |
      | response, store     | response     |
      | store, response     | store        |
      | removal, peer       | removal      |
      | peer, health check  | peer         |
      | health check, store | health check |

  # A host that reaches neither the store nor the target learns it from others.
  Scenario: Hosts tell each other of targets that leave
    Given two hosts with the targets t0, t1 and t2
    When the first hears in a response that t1 leaves
    Then the next heartbeat makes the second use t0, t2
    And heartbeats tell it until 60 s have passed and no longer

  Scenario: Heartbeats do not repeat what the store shows
    Given two hosts with the targets t0, t1 and t2
    When the first hears in a response that t1 leaves and reads it in the store
    Then its heartbeats do not tell it

  # A table of marks must not grow with each target that was ever replaced.
  Scenario: Marks of targets that are gone are dropped
    Given a host with the targets t0, t1 and t2
    When 500 targets come, say that they leave and go within 900 s
    Then the host holds marks of at most 400 of them

  # Each heartbeat looks at all reports; a relay of 311 hosts sent up to 161 of
  # them a second.
  Scenario: Many targets that leave at once do not pile up reports
    Given two hosts with the targets t0, t1 and t2
    When 1000 targets say to the first that they leave
    Then it looks at no more than 256 of them for a heartbeat
