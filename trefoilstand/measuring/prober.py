"""Probe targets in the background, within the share of this process."""

import collections.abc

from trefoilstand import const as project_const
from trefoilstand.configuration import const as configuration_const
from trefoilstand.decision import engine
from trefoilstand.decision import models as decision_models
from trefoilstand.decision import outcomes
from trefoilstand.helpers import worker
from trefoilstand.measuring import budget
from trefoilstand.measuring import const
from trefoilstand.targets import const as targets_const
from trefoilstand.targets import exchange
from trefoilstand.targets import models as targets_models
from trefoilstand.targets import target_status
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks

StatusListener = collections.abc.Callable[
    [str, targets_models.TargetStatus], None
]


class Prober(worker.Worker):
    """Send each probe to the target where it may change a choice most.

    :param decisions: engine that orders targets and receives results.
    :param probe_limiter: limits the probes to the share of this process.
    :param clock: source of the time.
    :param process_metrics: metrics that count probes and their bytes.
    :param listener: called with the status that each target reported.
    :param is_serving: returns whether this host serves; if not, its state
        may be too stale to send probes.
    """

    def __init__(
        self,
        *,
        decisions: engine.DecisionEngine,
        probe_limiter: budget.ProbeRateLimiter,
        clock: clocks.Clock,
        process_metrics: metrics.Metrics,
        listener: StatusListener,
        is_serving: collections.abc.Callable[[], bool],
    ) -> None:
        super().__init__(name="prober")
        self._decisions = decisions
        self._probe_limiter = probe_limiter
        self._clock = clock
        self._metrics = process_metrics
        self._listener = listener
        self._is_serving = is_serving
        self._client = exchange.TargetClient(clock=clock)

    def step(self) -> None:
        """Send one probe if the share has capacity for it."""
        now_s = self._clock.now_s()
        if not self._is_serving() or not self._probe_limiter.has_capacity(
            now_s
        ):
            self.pause(const.PROBE_INTERVAL_S)
            return
        for target in self._decisions.probe_order(now_s):
            if self._probe_limiter.try_spend(target.address, now_s):
                self._probe(target.address, now_s)
                break
        self.pause(const.PROBE_INTERVAL_S)

    def failure_pause_s(self) -> float:
        """Return how long to wait after a failed step, in seconds."""
        return const.PROBE_INTERVAL_S

    def _probe(self, address: str, permitted_s: float) -> None:
        """Send one permitted probe and record its result.

        The permit is short-lived, so that a process that freezes after
        the probe was counted does not send it in a later window.
        """
        self._metrics.record_probe(configuration_const.PROBE_BYTES)
        response = self._client.exchange(
            targets_models.TargetRequest(
                address=address,
                method="GET",
                path=targets_const.LOAD_PATH,
                headers=(),
                body=b"",
                deadline_s=permitted_s + const.PROBE_PERMIT_LIFETIME_S,
                is_repeatable=False,
                max_response_bytes=targets_const.MAX_REPORT_BYTES,
            )
        )
        now_s = self._clock.now_s()
        reported_status = None
        if response.fault is None and response.status == 200:
            reported_status = target_status.parse_report(response.body, now_s)
        self._record_result(address, response, reported_status, now_s)

    def _record_result(
        self,
        address: str,
        response: targets_models.TargetResponse,
        reported_status: targets_models.TargetStatus | None,
        now_s: float,
    ) -> None:
        classified_outcome = outcomes.classify(
            outcomes.ExchangeObservations(
                send_permitted=response.send_permitted,
                fault=response.fault,
                is_framed=response.is_framed,
                is_unstarted_reply=False,
            )
        )
        if reported_status is None:
            if (
                classified_outcome.outcome
                is not decision_models.Outcome.ANSWERED
            ):
                self._decisions.observe(
                    address,
                    decision_models.AttemptResult(
                        classified_outcome=classified_outcome,
                        latency_ms=response.latency_ms,
                    ),
                    now_s,
                )
            return
        # A probe shows that the target responds, not how fast it works,
        # so its latency must not be mixed with that of calls.
        result = decision_models.AttemptResult(
            classified_outcome=decision_models.ClassifiedOutcome(
                outcome=decision_models.Outcome.NOT_RUN,
                reason=decision_models.Reason.SHED_BY_TARGET,
            ),
            latency_ms=response.latency_ms,
            report=reported_status.report,
            incarnation=reported_status.incarnation,
            is_leaving=reported_status.is_leaving,
        )
        if self._decisions.observe(address, result, now_s):
            events.info(
                events.TargetLeaving(
                    address=address,
                    incarnation=reported_status.incarnation,
                    source=project_const.HEADER_TARGET_STATE,
                )
            )
        self._listener(address, reported_status)
