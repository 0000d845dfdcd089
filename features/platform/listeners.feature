Feature: Sockets that listen before a host is loaded

  # Callers were refused while a starting process imported its modules; after
  # a loss of power no other host could serve them.
  Scenario: A request that comes before the server starts is answered
    Given a listening socket opened from settings
    When a caller connects and sends a request before the server starts
    Then the request is answered once the server has started

  # A settings file with errors must not end the process without a log line.
  Scenario Outline: Unusable addresses are left to the runner
    Given settings that listen on <front> for requests and <directory> for look-ups
    Then <count> sockets listen

    Examples:
      | front             | directory       | count |
      | "127.0.0.1:0"     | "127.0.0.1:0"   | 1     |
      | "127.0.0.1:0"     | "127.0.0.2:0"   | 2     |
      | "127.0.0.1:0"     | null            | 1     |
      | "127.0.0.1:99999" | "127.0.0.1:x"   | 0     |
      | "203.0.113.1:1"   | 7               | 0     |
