"""Timeouts, limits and weights of the gateway."""

import typing

#: Slowdown assumed of targets of which nothing recent is known.
TYPICAL_SLOWDOWN: typing.Final = 1.4
#: Slowdown assumed of a target that warms up; twice is stated by sites.
WARMUP_SLOWDOWN: typing.Final = 1.6
#: Targets slow down when nearly full; usual share of busy slots for that.
KNEE_SHARE: typing.Final = 0.8
#: Learned slowdown of nearly full targets from which they are not filled.
KNEE_SLOWDOWN: typing.Final = 1.25
#: Share of the objective taken as working time before any answer came.
PRIOR_WORK_SHARE: typing.Final = 0.35
#: Weight of a new observation in the moving mean of working times.
WORK_WEIGHT: typing.Final = 0.05
#: Predictions within this factor of the best one count as equal.
EQUAL_PREDICTION: typing.Final = 1.1

#: Near targets asked for their load in the first round; one more in each
#: later one.
FIRST_ROUND_PROBES: typing.Final = 2
#: The same for far targets, whose probes cost bytes between domains.
FAR_ROUND_PROBES: typing.Final = 1
#: Most near targets asked for one request, and most far ones.
MAX_PROBES: typing.Final = 6
#: Longest wait for the answers of one round; a probe takes 1 to 4 ms.
ROUND_TIMEOUT_S: typing.Final = 0.02
#: A probe without an answer by then counts as a failure.
PROBE_TIMEOUT_S: typing.Final = 0.25
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

#: A second send starts as late as it still meets the objective, but not
#: before the first takes this much longer than predicted.
HEDGE_FACTOR: typing.Final = 1.15
#: Part of the budget of repeats that second sends may use; the rest is kept
#: for requests that failed.
HEDGE_BUDGET_SHARE: typing.Final = 0.6

#: Part of the remaining time below which no further attempt starts.
MIN_ATTEMPT_S: typing.Final = 0.005
#: Time after which a rejected caller may return.
MIN_RETRY_AFTER_S: typing.Final = 0.08
MAX_RETRY_AFTER_S: typing.Final = 0.6
RETRY_AFTER_NO_TARGET_S: typing.Final = 0.2
#: Requests that reach a starting host wait this long for its state, which
#: is one read of some milliseconds away.
START_HOLD_S: typing.Final = 0.1

#: Slowdown up to which a target counts as running at its usual pace.
USUAL_SLOWDOWN: typing.Final = 1.05
#: Weight of one duration in the learned slowdown of nearly full targets.
KNEE_WEIGHT: typing.Final = 0.05
#: A single duration counts at most as this multiple of the usual one.
MAX_KNEE_SAMPLE: typing.Final = 3.0
MAX_WORK_SAMPLE: typing.Final = 3.0
#: Share of the objective up to which a prediction costs nothing, and the
#: span of shares over which a miss becomes certain.
EARLY_SHARE: typing.Final = 0.6
LATE_SPAN: typing.Final = 0.6
#: Small cost of time, which decides between targets that are all in time.
SPEED_COST: typing.Final = 0.1
#: Cost of a certain error, of an unhealthy target and of leaving the own
#: failure domain, in missed objectives.
ERROR_COST: typing.Final = 2.0
UNWELL_COST: typing.Final = 1.0
DISTANCE_COST: typing.Final = 0.5
#: Random part of the order in which targets are asked.
ORDER_JITTER: typing.Final = 0.05

#: Pause after which a waiting request looks for room by itself.
RESCOUT_S: typing.Final = 0.03
#: Part of the saved-up probes that such searches leave to new requests.
REPEATED_RESERVE: typing.Final = 0.25
#: A target that did not fit is not asked again before this time, as slow
#: spells last for 0.5 s and more.
ASK_AGAIN_S: typing.Final = 0.08
#: Time between two requests leaving a queue, before any was measured.
PRIOR_ROOM_INTERVAL_S: typing.Final = 0.02
ROOM_INTERVAL_WEIGHT: typing.Final = 0.1
#: A caller with at least this part of its route's longest time sends for
#: the first time; one with less returns after a rejection.
RETURNING_SHARE: typing.Final = 0.95
#: Weight of one request in the share that comes with the full time.
FULL_SHARE_WEIGHT: typing.Final = 0.02
#: Margin on the expected time when the latest start is worked out.
START_MARGIN: typing.Final = 1.15
#: A target that sheds a request says so at once; another one may take it,
#: so the caller may return as soon as it likes.
RETRY_AFTER_SHED_S: typing.Final = 0.02

#: Entries that lapsed in an outage of the store are back within 2 s of its
#: return, if their targets live.
LAPSE_GRACE_S: typing.Final = 2.1
#: Share of a service's entries whose joint removal is taken for a lapse,
#: and how long they are kept then; leaving targets must get nothing new
#: 2 s after the store's answer.
MASS_REMOVAL_SHARE: typing.Final = 0.5
MASS_REMOVAL_GRACE_S: typing.Final = 1.2
