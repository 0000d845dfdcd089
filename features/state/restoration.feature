Feature: A store that comes back from an older copy

  # The store loses what was written since the copy and assigns the revisions
  # again. State that was ordered by revision alone reverted to the copy, or
  # ignored all changes until the revisions were reached again.

  # "off b" evacuates domain b, and "on b" ends that.
  Scenario Outline: What is kept, dropped and not used again
    Given a store with <copied>, of which a copy is made
    And a host that reads it, and then <lost>
    When the store comes back with <first> before the host reads it
    Then the host holds <at once>
    When the store then has <later>
    Then the host holds <then>
    And 3 s later it holds <end>

    Examples: lost with the copy
    | copied | lost    | first | at once   | later   | then      | end       |
    | t1     | t2      | -     | t1, t2    | -       | t1, t2    | t1        |
    | t1     | t2      | -     | t1, t2    | t2      | t1, t2    | t1, t2    |
    | t1     | t2      | t2    | t1, t2    | -       | t1, t2    | t1, t2    |
    | t1     | t1 as 2 | -     | t1 as 2   | -       | t1 as 2   | t1 as 2   |
    | t1     | t1 as 2 | -     | t1 as 2   | t1 as 2 | t1 as 2   | t1 as 2   |
    | v5     | v6      | -     | v6        | -       | v6        | v6        |
    | v5     | t1, v6  | v7    | t1, v7    | t1      | t1, v7    | t1, v7    |
    | t2     | off b   | -     | t2, b off | -       | t2, b off | t2        |
    | t2     | off b   | -     | t2, b off | off b   | t2, b off | t2, b off |

    Examples: removed before, and present in the copy again
    | copied     | lost        | first | at once    | later   | then        | end         |
    | t1, t2, t3 | no t2       | -     | t1, t3     | -       | t1, t3      | t1, t3      |
    | t1, t2, t3 | no t2       | -     | t1, t3     | t2      | t1, t2, t3  | t1, t2, t3  |
    | t1, t2, t3 | no t2       | t2    | t1, t2, t3 | -       | t1, t2, t3  | t1, t2, t3  |
    | t1, off b  | on b        | -     | t1         | -       | t1          | t1          |
    | t1, off b  | on b        | -     | t1         | off b   | t1, b off   | t1, b off   |
    | t1, off b  | other, on b | off b | t1, b off  | -       | t1, b off   | t1, b off   |
    | t1, t2     | t2 draining | -     | t1         | -       | t1          | t1          |
    | t1, t2     | t2 draining | -     | t1         | t2      | t1          | t1          |
    | t1, t2     | t2 draining | -     | t1         | t2 as 3 | t1, t2 as 3 | t1, t2 as 3 |

    # The leases of entries in the copy may end with the return.
    Examples: removed with the return
    | copied     | lost  | first | at once    | later | then       | end    |
    | t1, t2, t3 | other | no t2 | t1, t2, t3 | -     | t1, t2, t3 | t1, t3 |
    | t1, t2, t3 | other | -     | t1, t2, t3 | no t2 | t1, t2, t3 | t1, t3 |

  Scenario Outline: Two restorations in a row
    Given a store with <copied>, of which a copy is made
    And a host that reads it, and then <lost>
    When the store comes back with - before the host reads it
    And it comes back from the same copy again, and the host <reads>
    Then the host holds <at once>
    And 3 s later it holds <end>

    Examples:
    | copied     | lost        | reads      | at once       | end    |
    | t1, t2, t3 | no t2       | reads it   | t1, t3        | t1, t3 |
    | t1, off b  | on b        | reads it   | t1            | t1     |
    | v5         | v6          | reads it   | v6            | v6     |
    | t1         | t2          | reads it   | t1, t2        | t1     |
    | t1, t2     | t2 draining | reads it   | t1            | t1     |
    | t1, t2, t3 | no t2       | was frozen | t1, t3        | t1, t3 |
    | t1         | t2, off b   | was frozen | t1, t2, b off | t1     |

  # Entries cannot be written while the store is down again.
  Scenario: Lost keys are kept while the store is down again
    Given a store with t1, of which a copy is made
    And a host that reads it, and then t2, off b
    When the store comes back with - before the host reads it
    And the store is down for 5 s
    Then the host holds t1, t2, b off
    When the store then has t2
    Then the host holds t1, t2, b off
    And 3 s later it holds t1, t2

  Scenario Outline: Responses of an earlier era that come late are ignored
    Given a store with t1, t2, v5, of which a copy is made
    And a host that reads it, and then no t2, v6
    When the store comes back with - before the host reads it
    And <response> of the earlier era arrives late
    Then the host holds t1, v6
    And its position is era 1 at the revision of the copy

    Examples:
    | response   |
    | a snapshot |
    | a change   |

  Scenario: A change of a new era is not applied without a snapshot
    Given a store with t1, of which a copy is made
    And a host that reads it, and then t2
    When the store comes back and a change of the new era arrives first
    Then the host holds t1, t2
    And its position is era 0 at the revision before

  Scenario Outline: A peer takes a snapshot from a host in the new era
    Given a store with t1, t2, v5, off b, of which a copy is made
    And a host that reads it, and then <lost>
    And a peer that <knows>
    When the store comes back with - before the host reads it
    And the peer fetches from the host and then reads a snapshot of the store
    Then the peer holds <held>
    And 3 s later the peer holds <end>

    Examples:
    | lost                | knows            | held          | end           |
    | no t2, v6, on b, t3 | knows the same   | t1, t3, v6    | t1, v6        |
    | no t2, v6, on b, t3 | has the copy     | t1, t3, v6    | t1, v6        |
    | no t2, v6, on b, t3 | has just started | t1, t3, v6    | t1, v6        |
    | t2 draining         | has just started | t1, b off, v5 | t1, b off, v5 |
    | no t2, v6           | read the copy    | t1, b off, v6 | t1, b off, v6 |

  # A host that held another change for a revision of the copy kept a key that
  # the restored store had removed.
  Scenario: Random histories with restorations
    Given 2100 stores with seeded random changes, copies and restorations
    When 4 hosts read them and fetch from each other in random order
    Then no position goes back
    And all hosts have the store's content once all keys are written again
