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
from trefoilstand.targets import statements
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks

StatementListener = collections.abc.Callable[
    [str, targets_models.TargetStatement], None
]


class Prober(worker.Worker):
    """Spend each probe where it may change a choice.

    :param decisions: engine that orders targets and learns.
    :param ledger: share of this process.
    :param clock: source of the time.
    :param process_metrics: where the cost is counted.
    :param listener: called with what each target stated.
    :param is_serving: tells whether this host serves; if not, its
        beliefs may be too old to spend anything.
    """

    def __init__(
        self,
        *,
        decisions: engine.DecisionEngine,
        ledger: budget.ProbeLedger,
        clock: clocks.Clock,
        process_metrics: metrics.Metrics,
        listener: StatementListener,
        is_serving: collections.abc.Callable[[], bool],
    ) -> None:
        super().__init__(name="prober")
        self._decisions = decisions
        self._ledger = ledger
        self._clock = clock
        self._metrics = process_metrics
        self._listener = listener
        self._is_serving = is_serving
        self._client = exchange.TargetClient(clock=clock)

    def step(self) -> None:
        """Send one probe where the share has room for it."""
        now_s = self._clock.now_s()
        if not self._is_serving() or not self._ledger.has_room(now_s):
            self.pause(const.PROBER_PAUSE_S)
            return
        for target in self._decisions.probe_order(now_s):
            if self._ledger.try_spend(target.address, now_s):
                self._probe(target.address, now_s)
                break
        self.pause(const.PROBER_PAUSE_S)

    def failure_pause_s(self) -> float:
        """Return how long to wait after a step that failed."""
        return const.PROBER_PAUSE_S

    def _probe(self, address: str, permitted_s: float) -> None:
        """Send one permitted probe and learn from it.

        The permit is short-lived, so that a process that sleeps between
        the charge and the send does not spend it in a later window.
        """
        self._metrics.record_probe(configuration_const.PROBE_BYTES)
        answer = self._client.exchange(
            targets_models.TargetRequest(
                address=address,
                method="GET",
                path=targets_const.LOAD_PATH,
                headers=(),
                body=b"",
                deadline_s=permitted_s + const.PERMIT_LIFETIME_S,
                is_repeatable=False,
                max_answer_bytes=targets_const.MAX_REPORT_BYTES,
            )
        )
        now_s = self._clock.now_s()
        statement = None
        if answer.fault is None and answer.status == 200:
            statement = statements.read_report(answer.body, now_s)
        self._learn(address, answer, statement, now_s)

    def _learn(
        self,
        address: str,
        answer: targets_models.TargetAnswer,
        statement: targets_models.TargetStatement | None,
        now_s: float,
    ) -> None:
        judgement = outcomes.judge(
            outcomes.Evidence(
                send_permitted=answer.send_permitted,
                fault=answer.fault,
                is_framed=answer.is_framed,
                is_unstarted_reply=False,
            )
        )
        if statement is None:
            if judgement.outcome is not decision_models.Outcome.ANSWERED:
                self._decisions.observe(
                    address,
                    decision_models.AttemptResult(
                        judgement=judgement, latency_ms=answer.latency_ms
                    ),
                    now_s,
                )
            return
        # A probe shows that the target answers, not how fast it works,
        # so its latency must not be mixed with that of calls.
        result = decision_models.AttemptResult(
            judgement=decision_models.Judgement(
                outcome=decision_models.Outcome.NOT_RUN,
                reason=decision_models.Reason.SHED_BY_TARGET,
            ),
            latency_ms=answer.latency_ms,
            report=statement.report,
            incarnation=statement.incarnation,
            is_leaving=statement.is_leaving,
        )
        if self._decisions.observe(address, result, now_s):
            events.info(
                events.TargetLeaving(
                    address=address,
                    incarnation=statement.incarnation,
                    source=project_const.HEADER_TARGET_STATE,
                )
            )
        self._listener(address, statement)
