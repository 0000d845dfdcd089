Feature: Check of a configuration before it is sent

  # Errors (code 1): the gateway rejects such a document, or requests fail.
  # Warnings (code 3): entries without effect, limits that contradict others.
  Scenario Outline: The check finds <mistake>
    Given a configuration whose <entry> is <value>
    When the configuration is checked
    Then the exit code is <code>, with one finding at <location>: <message>

    Examples:
      | mistake | entry | value | code | location | message |
      | two routes of one host and prefix | routes/r-x/prefix | "/q/" | 1 | routes.r-x.prefix | same host |
      | equal routes with the host in capitals | routes/r-x | {"host":"APP.example","prefix":"/q/","route-type":"safe","timeout":"1s","service":"a"} | 1 | routes.r-x.prefix | same host |
      | a prefix without a slash | routes/r-x/prefix | "/p" | 1 | routes.r-x.prefix | never matches |
      | a host with a port | routes/r-x/host | "h:80" | 1 | routes.r-x.host | never matches |
      | a service that is not defined | routes/r-x/service | "c" | 1 | routes.r-x.service | not defined |
      | an undefined part of a split | routes/r-1/traffic-split | [{"service":"b","weight":1},{"service":"c","weight":1}] | 1 | routes.r-1.traffic-split[1].service | not defined |
      | a route without service | routes/r-x/service | null | 1 | routes.r-x.service | neither |
      | a route without attempts | routes/r-x/max-attempts | 0 | 1 | routes.r-x.max-attempts | greater |
      | an unknown route type | routes/r-x/route-type | "odd" | 1 | routes.r-x.route-type | 'safe' |
      | a time without unit | routes/r-x/timeout | "1500" | 1 | routes.r-x.timeout | not a duration |
      | a negative weight | routes/r-1/traffic-split/1/weight | -1 | 1 | routes.r-1.traffic-split[1].weight | greater |
      | a malformed version | version | 7 | 1 | version | not a version |
      | a version that is in force already | version | "r7" | 1 | version | ignored |
      | a part that gets no requests | routes/r-1/traffic-split/1/weight | 0 | 3 | routes.r-1.traffic-split[1].weight | no requests |
      | an objective above the timeout | routes/r-x/target-latency | "1501ms" | 3 | routes.r-x.target-latency | exceeds |
      | a service beside a split | routes/r-1/service | "a" | 3 | routes.r-1.service | ignored |
      | an unknown entry | routes/r-x/max-atempts | 2 | 3 | routes.r-x.max-atempts | unknown |
      | a service without route | services/c | {} | 3 | services.c | no route |
      | a warm-up rate without warm-up | services/b/warmup-per-s | 6.8 | 3 | services.b.warmup-per-s | needs a warm-up |
      | headers larger than bodies | limits/max-body-bytes | 16383 | 3 | limits.max-header-bytes | only 16383 |
      | a header time above the idle time | limits/header-timeout | "15.1s" | 3 | limits.header-timeout | exceed the 15 s |

  Scenario: Mistakes behind a malformed value are found in the same run
    Given a configuration whose routes/r-x/timeout is "1500"
    And a configuration whose routes/r-x/prefix is "/q/"
    And a configuration whose services/c is {}
    When the configuration is checked
    Then the exit code is 1, and the findings are routes.r-x.timeout, routes.r-x.prefix, services.c

  Scenario: A key that occurs twice is found, although JSON drops the first
    When {"version":"r7","routes":{},"routes":{},"services":{}} is checked alone
    Then the exit code is 1, with one finding at (whole document): 'routes' occurs

  Scenario: Differences are shown by field and are no mistakes
    Given a configuration whose routes/r-x/timeout is "2s"
    And a configuration whose services/b is {"warmup":"3s"}
    And a configuration whose routes/r-y is {"host":"y","prefix":"/","route-type":"safe","timeout":"1s","service":"b"}
    When the configuration is checked
    Then the exit code is 0, and the changes are changed routes.r-x.timeout, added routes.r-y, added services.b.warmup, changed version
