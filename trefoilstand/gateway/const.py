"""Timeouts, limits and weights of the gateway."""

import typing

#: Slowdown assumed for targets without a recent load report.
DEFAULT_SLOWDOWN: typing.Final = 1.4
#: Further slowdown assumed while a target warms up; sites report twice the
#: usual processing time.
WARMUP_SLOWDOWN: typing.Final = 1.6
#: Share of busy slots above which targets usually slow down, if those of
#: their service do so at all.
SATURATION_SHARE: typing.Final = 0.8
#: Measured slowdown above that share from which on targets of a service are
#: filled only up to :data:`SATURATION_SHARE`.
MIN_SATURATION_SLOWDOWN: typing.Final = 1.25
#: Share of the objective assumed as processing time before the first
#: response.
PRIOR_PROCESSING_TIME_SHARE: typing.Final = 0.35
#: Weight of a new sample in the moving mean of processing times.
PROCESSING_TIME_WEIGHT: typing.Final = 0.05
#: Predictions within this factor of the best one count as equal.
EQUAL_PREDICTION_FACTOR: typing.Final = 1.1

#: Candidates that are ranked in one search, in each of the own and the other
#: failure domains; of more, a random sample is ranked, so that the cost of a
#: search and the hosts' agreement on the best targets do not grow with them.
MAX_RANKED_CANDIDATES: typing.Final = 24
#: Targets of the own failure domain probed in the first round; later rounds
#: probe one more.
FIRST_ROUND_PROBES: typing.Final = 2
#: The same for targets of other failure domains, whose probes use bandwidth
#: between domains.
FAR_ROUND_PROBES: typing.Final = 1
#: Largest number of probes per search, counted separately for the own and for
#: other failure domains.
MAX_PROBES: typing.Final = 6
#: Longest wait for the results of one round; a probe takes 1 to 4 ms.
PROBE_ROUND_TIMEOUT_S: typing.Final = 0.02
#: A probe without a response within this time counts as a failure.
PROBE_TIMEOUT_S: typing.Final = 0.25
#: Older load reports are ignored, as slowdowns change about every 500 ms.
REPORT_LIFETIME_S: typing.Final = 0.5

#: Timeout for opening a connection to a target.
CONNECT_TIMEOUT_S: typing.Final = 0.25
#: Connections that were idle for longer are not reused; targets close idle
#: connections after 10 s on the users' sites.
CONNECTION_IDLE_LIMIT_S: typing.Final = 8.0
#: Connections are dropped this long before the idle timeout that the target
#: announces.
CONNECTION_IDLE_MARGIN_S: typing.Final = 1.0
#: Idle connections kept per target.
MAX_IDLE_CONNECTIONS: typing.Final = 8

#: Consecutive failures after which a target is ejected.
EJECTION_FAILURES: typing.Final = 3
#: Duration of the first ejection; it doubles with each further one.
BASE_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 4.0
#: Ejections are ignored while more than this share of a service's targets
#: is ejected.
MAX_EJECTED_SHARE: typing.Final = 0.5
#: Weight of one outcome in the error rate, and half-life of the error rate.
ERROR_WEIGHT: typing.Final = 0.2
ERROR_HALF_LIFE_S: typing.Final = 3.0

#: A hedge starts as late as it can still meet the objective, but not before
#: the first attempt has taken this multiple of its predicted time.
HEDGE_FACTOR: typing.Final = 1.15
#: Shortest interval between checks whether a hedge is due.
MIN_HEDGE_CHECK_S: typing.Final = 0.005
#: Share of the retry budget that hedges may use; the rest is reserved for
#: retries of failed requests.
HEDGE_BUDGET_SHARE: typing.Final = 0.6

#: Shortest remaining time in which another attempt is started.
MIN_ATTEMPT_S: typing.Final = 0.005
#: Bounds of the retry delay given to rejected callers, and the delay while a
#: service has no target.
MIN_RETRY_AFTER_S: typing.Final = 0.08
MAX_RETRY_AFTER_S: typing.Final = 0.6
RETRY_AFTER_NO_TARGET_S: typing.Final = 0.2
#: Longest time for which requests at a starting host wait for its state; one
#: read of some milliseconds loads it.
STARTUP_STATE_WAIT_S: typing.Final = 0.1

#: Slowdown up to which a target counts as running at its usual speed.
MAX_USUAL_SLOWDOWN: typing.Final = 1.05
#: Weight of a new sample in the measured slowdown of nearly full targets.
SATURATION_WEIGHT: typing.Final = 0.05
#: Samples are capped at this multiple of the usual processing time.
MAX_SATURATION_RATIO: typing.Final = 3.0
MAX_PROCESSING_TIME_RATIO: typing.Final = 3.0
#: Share of the objective up to which a predicted time counts as certain to
#: meet it, and the span of shares above it over which a miss becomes certain.
ON_TIME_SHARE: typing.Final = 0.6
MISS_SPAN_SHARE: typing.Final = 0.6
#: Small cost of the predicted time, which decides between targets that all
#: meet the objective.
LATENCY_COST: typing.Final = 0.1
#: Costs of a certain error, of an unhealthy target and of a target in another
#: failure domain, in units of one missed objective.
ERROR_COST: typing.Final = 2.0
UNHEALTHY_COST: typing.Final = 1.0
CROSS_DOMAIN_COST: typing.Final = 0.5
#: Largest random addition to the cost by which targets are ordered for
#: probing.
PROBE_ORDER_JITTER: typing.Final = 0.05

#: Mean interval at which a queued request searches for a target by itself.
QUEUED_SEARCH_INTERVAL_S: typing.Final = 0.03
#: Factor on that interval once the objective can no longer be met.
LATE_SEARCH_FACTOR: typing.Final = 4.0
#: Share of the burst of probes that these searches leave to new requests;
#: a new process starts with a sixteenth of the burst.
REPEATED_SEARCH_RESERVE_SHARE: typing.Final = 0.03
#: A target whose load report made it unacceptable is not probed again within
#: this time, as slowdowns last for 0.5 s and more.
REPROBE_DELAY_S: typing.Final = 0.08
#: Interval between two requests leaving a queue, assumed before the first
#: sample, and the weight of a new sample.
PRIOR_DEQUEUE_INTERVAL_S: typing.Final = 0.02
DEQUEUE_INTERVAL_WEIGHT: typing.Final = 0.1
#: Share of the longest timeout seen on a route from which on a request counts
#: as a first send; one with less time left is a retry after a rejection.
FIRST_SEND_TIMEOUT_SHARE: typing.Final = 0.95
#: Weight of one request in the moving share of requests that arrive with the
#: full timeout.
FULL_TIMEOUT_SHARE_WEIGHT: typing.Final = 0.02
#: Factor on the expected processing time in the check whether a request may
#: still be queued.
LATEST_START_FACTOR: typing.Final = 1.15
#: Retry delay after a target shed a request, or a stopping host refused it:
#: another target or host may accept it, so callers may retry almost at once.
RETRY_AFTER_SHED_S: typing.Final = 0.02

#: Entries that expired during an outage of the store are registered again
#: within 2 s of its recovery if their targets are alive.
OUTAGE_EXPIRY_GRACE_S: typing.Final = 2.1
#: Share of a service's entries whose removal in one batch is treated as an
#: expiry during an outage.
MASS_REMOVAL_SHARE: typing.Final = 0.5
#: Time before the end of the drain period at which such entries are dropped:
#: one tick until they are, and the timeout of a connection being opened.
DRAIN_MARGIN_S: typing.Final = 0.5
