"""Pass on what targets stated, so that one probe informs all."""

import collections
import threading

from trefoilstand.decision import models as decision_models
from trefoilstand.peers import const
from trefoilstand.peers import peer_pb2
from trefoilstand.targets import models as targets_models


class ReportBoard:
    """Hold the statements that the next messages carry.

    Only own observations are passed on, once to each peer that is pinged
    while they are fresh, so that the cost is bounded.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._own: collections.OrderedDict[
            str, tuple[str, decision_models.LoadReport]
        ] = collections.OrderedDict()

    def add(
        self, address: str, statement: targets_models.TargetStatus
    ) -> None:
        """Add a statement that this process obtained by a probe."""
        if statement.report is None:
            return
        with self._lock:
            self._own[address] = (statement.incarnation, statement.report)
            self._own.move_to_end(address)
            while len(self._own) > const.MAX_GOSSIP_REPORTS:
                self._own.popitem(last=False)

    def encode(self, now_s: float) -> list[peer_pb2.TargetReport]:
        """Return the messages of the statements that are fresh enough."""
        messages = []
        with self._lock:
            for address, (incarnation, report) in self._own.items():
                age_ms = int((now_s - report.observed_s) * 1000)
                if age_ms > const.MAX_REPORT_AGE_MS:
                    continue
                messages.append(
                    peer_pb2.TargetReport(
                        address=address,
                        incarnation=incarnation,
                        in_flight=report.in_flight,
                        slots=report.slots,
                        age_ms=age_ms,
                    )
                )
        return messages


def decode(
    message: peer_pb2.TargetReport, now_s: float
) -> decision_models.AttemptResult:
    """Return what a report of a peer says of a target.

    The observation is dated back by its stated age.
    """
    return decision_models.AttemptResult(
        classified_outcome=decision_models.ClassifiedOutcome(
            outcome=decision_models.Outcome.NOT_RUN,
            reason=decision_models.Reason.DEADLINE_BEFORE_SEND,
        ),
        latency_ms=0.0,
        report=decision_models.LoadReport(
            in_flight=message.in_flight,
            slots=max(message.slots, 1),
            observed_s=now_s - message.age_ms / 1000,
        ),
        incarnation=message.incarnation,
    )
