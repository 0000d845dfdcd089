"""Share load reports of targets, so that one probe serves all hosts."""

import collections
import threading

from trefoilstand.decision import models as decision_models
from trefoilstand.peers import const
from trefoilstand.peers import peer_pb2
from trefoilstand.targets import models as targets_models


class ReportBuffer:
    """Hold the load reports that the next messages carry.

    Only reports from probes of this process are sent, once to each peer that
    is pinged while they are fresh, so that the cost is bounded.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reports: collections.OrderedDict[
            str, tuple[str, decision_models.LoadReport]
        ] = collections.OrderedDict()

    def add(
        self, address: str, statement: targets_models.TargetStatus
    ) -> None:
        """Add a statement that this process obtained by a probe.

        :param address: address of the target.
        :param statement: its statement, ignored without a load report.
        """
        if statement.report is None:
            return
        with self._lock:
            self._reports[address] = (statement.incarnation, statement.report)
            self._reports.move_to_end(address)
            while len(self._reports) > const.MAX_GOSSIP_REPORTS:
                self._reports.popitem(last=False)

    def encode_reports(self, now_s: float) -> list[peer_pb2.TargetReport]:
        """Return the messages of the reports that are fresh enough.

        :param now_s: monotonic time.
        """
        messages = []
        with self._lock:
            for address, (incarnation, report) in self._reports.items():
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


def decode_report(
    message: peer_pb2.TargetReport, now_s: float
) -> decision_models.AttemptResult:
    """Return the load report that a peer sent as an observation.

    The time of the observation is derived from the age in the message.

    :param message: report from a peer.
    :param now_s: monotonic time of its arrival.
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
