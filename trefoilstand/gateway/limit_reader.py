"""Record the request limits that responses of targets state."""

import collections.abc

from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import metrics_page
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.telemetry import events
from trefoilstand.telemetry import metric_store


class LimitReader:
    """Read limits from responses, and record messages to targets.

    :param protocol: header fields of the targets.
    :param limits: table of the known limits.
    :param counts: metrics of the process.
    :param on_new_limit: called when a target without a limit states one.
    """

    def __init__(
        self,
        *,
        protocol: target_protocol.TargetProtocol,
        limits: rate_limits.RateLimitTable,
        counts: metric_store.MetricStore,
        on_new_limit: collections.abc.Callable[[], None],
    ) -> None:
        self._protocol = protocol
        self._limits = limits
        self._counts = counts
        self._on_new_limit = on_new_limit

    def record_message(
        self, target: targets.Target, kind: str, now_s: float
    ) -> None:
        """Record a message to a target, and count it if that has a limit.

        :param target: where it is sent.
        :param kind: "request" or "probe".
        :param now_s: monotonic time.
        """
        target.last_message_s = now_s
        if kind == "request":
            target.last_request_s = now_s
        record = target.record
        observation = self._limits.find(
            record.target_id, record.incarnation, now_s
        )
        if observation is not None:
            self._counts.increment(
                metrics_page.LIMITED_MESSAGES,
                service=record.service,
                kind=kind,
            )

    def read_response(
        self,
        target: targets.Target,
        response: http_models.Response,
        now_s: float,
        *,
        is_request: bool,
    ) -> None:
        """Record the limit in a response.

        Only a response to a request tells that the target has no limit, as
        health checks need not state it.

        :param target: target that responded.
        :param response: its response.
        :param now_s: monotonic time at which it arrived.
        :param is_request: whether it ran a request for this response.
        """
        record = target.record
        try:
            limit_per_s = self._protocol.read_limit_per_s(response)
        except target_protocol.MalformedLimitError as error:
            events.warning(
                events.ComponentFailed(
                    component="target limits",
                    error_type=type(error).__name__,
                    detail=f"{record.target_id}: {error}"[:200],
                )
            )
            return
        if limit_per_s is None and not is_request:
            return
        is_new = self._limits.record(
            rate_limits.LimitObservation(
                target_id=record.target_id,
                incarnation=record.incarnation,
                requests_per_s=limit_per_s,
                observed_s=now_s,
            ),
            now_s=now_s,
            source="response" if is_request else "health check",
        )
        if is_new:
            self._on_new_limit()
