"""Requests to targets and what was observed of their responses."""

import dataclasses

from trefoilstand.decision import models as decision_models
from trefoilstand.decision import outcomes

HeaderFields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """Hold one request as it is sent to a target.

    :param address: numeric address of the target with port.
    :param method: HTTP method.
    :param path: path with query, starting with a slash.
    :param headers: end-to-end header fields.
    :param body: whole body.
    :param deadline_s: monotonic time in seconds after which nothing is
        sent and a response is no longer awaited.
    :param is_repeatable: True where the request is idempotent.
    :param max_response_bytes: largest accepted body of the response.
    """

    address: str
    method: str
    path: str
    headers: HeaderFields
    body: bytes
    deadline_s: float
    is_repeatable: bool
    max_response_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetResponse:
    """Hold what was observed of one exchange.

    :param send_permitted: True once a byte may have left this process.
    :param fault: how the exchange failed, None for a complete response.
    :param is_framed: True where the response states its own length.
    :param status: HTTP status, 0 without one.
    :param headers: end-to-end header fields of the final response.
    :param body: body, meaningful only without a fault.
    :param latency_ms: duration of the whole exchange in milliseconds.
    """

    send_permitted: bool
    fault: outcomes.Fault | None
    is_framed: bool
    status: int
    headers: HeaderFields
    body: bytes
    latency_ms: float

    def header(self, name: str) -> str:
        """Return the value of the first header field of a name.

        :param name: name of the field, in any case.
        :returns: its value, empty where there is none.
        """
        lowered_name = name.lower()
        for field_name, value in self.headers:
            if field_name.lower() == lowered_name:
                return value
        return ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """Hold the status that a target reports about itself.

    :param incarnation: identity of its process, empty if not reported.
    :param is_leaving: True where it accepts no new work.
    :param report: its load, None if not reported.
    """

    incarnation: str
    is_leaving: bool
    report: decision_models.LoadReport | None
