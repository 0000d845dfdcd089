"""Timeouts, limits and weights of the gateway."""

import typing

#: Slowdowns by noisy neighbours last about this long (users' sites flip
#: their noise every 500 ms, so half of that is left on average).
SLOWDOWN_PERSISTENCE_S: typing.Final = 0.25
#: Slowdown assumed once the present one is over.
TYPICAL_SLOWDOWN: typing.Final = 1.3
#: Slowdown assumed of a target that warms up; twice is stated by sites.
WARMUP_SLOWDOWN: typing.Final = 1.6
#: Targets slow down when nearly full; usual share of busy slots for that.
KNEE_SHARE: typing.Final = 0.8
#: Factor on working time beyond the knee.
KNEE_SLOWDOWN: typing.Final = 1.25
#: Share of the objective taken as working time before any answer came.
PRIOR_WORK_SHARE: typing.Final = 0.35
#: Weight of a new observation in the moving mean of working times.
WORK_WEIGHT: typing.Final = 0.05
#: Cost of leaving the own failure domain, as a share of the working time.
DISTANCE_WORK_SHARE: typing.Final = 0.3
#: Predictions within this factor of the best one count as equal.
EQUAL_PREDICTION: typing.Final = 1.1

#: Targets asked for their load in the first round, and in each later one.
FIRST_ROUND_PROBES: typing.Final = 3
LATER_ROUND_PROBES: typing.Final = 4
#: Most targets asked for one request.
MAX_PROBES: typing.Final = 12
#: Longest wait for the answers of one round; a probe takes 1 to 4 ms.
ROUND_TIMEOUT_S: typing.Final = 0.02
#: A probe without an answer by then counts as a failure.
PROBE_TIMEOUT_S: typing.Final = 0.25
#: Share of the objective within which a prediction ends the search.
SATISFYING_SHARE: typing.Final = 0.7
#: A report that is older says nothing on its own (noise flips at 500 ms).
REPORT_LIFETIME_S: typing.Final = 0.5

#: Longest time for opening a connection to a target.
CONNECT_TIMEOUT_S: typing.Final = 0.25
#: Idle connections are not reused beyond this age; targets close theirs
#: after 10 s on the users' sites.
LINK_IDLE_LIMIT_S: typing.Final = 8.0
#: Margin before the idle limit that a target states.
LINK_IDLE_MARGIN_S: typing.Final = 1.0
#: Idle connections kept to one target.
MAX_IDLE_LINKS: typing.Final = 8

#: Failures in a row after which a target is set aside.
EJECT_FAILURES: typing.Final = 3
#: First time for which a target is set aside; it doubles each time.
EJECT_S: typing.Final = 0.5
MAX_EJECT_S: typing.Final = 4.0
#: Most of a service's targets that may be set aside at a time.
MAX_EJECTED_SHARE: typing.Final = 0.5
#: Weight of one outcome in the error rate, and its half-life.
ERROR_WEIGHT: typing.Final = 0.2
ERROR_HALF_LIFE_S: typing.Final = 3.0
#: What a certain error costs in a score, in objectives.
ERROR_COST_OBJECTIVES: typing.Final = 3.0

#: A second send starts when the first takes this much longer than
#: predicted.
HEDGE_FACTOR: typing.Final = 1.6
#: Shortest delay of a second send, as a share of the objective.
HEDGE_MIN_OBJECTIVE_SHARE: typing.Final = 0.45

#: Part of the remaining time below which no further attempt starts.
MIN_ATTEMPT_S: typing.Final = 0.005
#: Time after which a rejected caller may return.
RETRY_AFTER_BUSY_S: typing.Final = 0.1
RETRY_AFTER_UNREADY_S: typing.Final = 0.2
#: Requests that reach a starting host wait this long for its state, which
#: is one read of some milliseconds away.
START_HOLD_S: typing.Final = 0.1
