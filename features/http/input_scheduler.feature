Feature: Input that is expensive to parse

  # Review case 1: a response in chunks of one byte took all of a host's time.

  Scenario: A large read is parsed in slices
    Given a connection that waits for a response
    When it receives 256000 bytes of a body in chunks of one byte
    Then it has parsed at most 16384 bytes of them and does not read
    And after 40 iterations of the loop it has parsed all and reads

  Scenario Outline: Fragmented connections share one slice per iteration
    Given <count> connections that wait for responses
    When each receives 64000 bytes of a body in chunks of one byte
    Then at most 16384 bytes are parsed in each iteration of the loop
    And all are parsed in turns

    Examples:
      | count |
      | 1     |
      | 20    |

  Scenario: Ordinary input is not delayed
    Given a connection that waits for a response
    And 20 connections that receive a body in chunks of one byte
    When it receives a response of 16000 bytes
    Then it has the response at once

  Scenario: Bytes that follow a response are not read as the next one
    Given a connection that waits for a response
    When it receives two responses of 12000 bytes in one read
    Then the first one is returned
    And the connection is closed and was never reusable

  Scenario: A response that was received before a reset is returned
    Given a connection that waits for a response
    When it receives a response of 50000 bytes and is reset at once
    Then the whole response is returned

  Scenario: Uploads in chunks of one byte leave time for other callers
    Given 12 callers that send bodies in chunks of one byte for 2 s
    Then other requests were answered within 500 ms meanwhile
