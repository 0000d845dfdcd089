"""Read from responses that their target leaves."""

from trefoilstand.fleet import leaving_targets
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import targets
from trefoilstand.http import models as http_models
from trefoilstand.http import outbound_connection
from trefoilstand.util import clock as clocks


class LeavingReader:
    """Mark targets whose own responses say that they leave.

    :param protocol: header fields of the targets.
    :param marks: targets that are known to leave.
    :param clock: source of the time.
    """

    def __init__(
        self,
        *,
        protocol: target_protocol.TargetProtocol,
        marks: leaving_targets.LeavingTargets,
        clock: clocks.Clock,
    ) -> None:
        self._protocol = protocol
        self._marks = marks
        self._clock = clock

    def watch(
        self,
        target: targets.Target,
        matches: outbound_connection.Matcher,
        *,
        is_health_check: bool,
    ) -> outbound_connection.Matcher:
        """Return a matcher that also reads the response it accepts.

        The response is read as it arrives, since whoever waits for it may be
        cancelled before.

        :param target: where the request is sent.
        :param matches: returns whether a response belongs to the request.
        :param is_health_check: whether the request is a health check.
        """

        def match_and_read(response: http_models.Response) -> bool:
            if not matches(response):
                return False
            if self._protocol.is_leaving(response) and self._is_own(
                target, response, is_health_check=is_health_check
            ):
                self._mark(target, is_health_check=is_health_check)
            return True

        return match_and_read

    def _is_own(
        self,
        target: targets.Target,
        response: http_models.Response,
        *,
        is_health_check: bool,
    ) -> bool:
        """Return whether the target itself made a response.

        Another process may listen on the address by now, or something else
        may have made the response; neither says anything about the target.
        """
        protocol = self._protocol
        if is_health_check:
            return protocol.read_target_id(response) == target.target_id
        if protocol.is_misdirected(response):
            return False
        return protocol.is_from_target(response) or protocol.is_not_executed(
            response
        )

    def _mark(self, target: targets.Target, *, is_health_check: bool) -> None:
        now_s = self._clock.now_s()
        self._marks.add(
            leaving_targets.LeavingMark(
                target_id=target.target_id,
                incarnation=target.record.incarnation,
                source=leaving_targets.Source.HEALTH_CHECK
                if is_health_check
                else leaving_targets.Source.RESPONSE,
                marked_s=now_s,
            ),
            now_s,
        )
