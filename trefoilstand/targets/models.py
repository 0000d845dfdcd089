"""Requests to targets and what was observed of their answers."""

import dataclasses

from trefoilstand.decision import models as decision_models
from trefoilstand.decision import outcomes

HeaderFields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """Hold one request as it goes to a target.

    :param address: target's numeric address with port.
    :param method: HTTP method.
    :param path: path with query, starting with a slash.
    :param headers: end-to-end header fields.
    :param body: whole body.
    :param deadline_s: monotonic time after which nothing is sent and no
        answer is waited for.
    :param is_repeatable: True where the request may run twice.
    :param max_answer_bytes: largest accepted body of the answer.
    """

    address: str
    method: str
    path: str
    headers: HeaderFields
    body: bytes
    deadline_s: float
    is_repeatable: bool
    max_answer_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetAnswer:
    """Hold what was observed of one exchange.

    :param send_permitted: True once a byte may have left this process.
    :param fault: how the exchange ended early, None for a whole answer.
    :param is_framed: True where the answer states its own length.
    :param status: HTTP status, 0 without one.
    :param headers: header fields of the final answer.
    :param body: body, meaningful only without a fault.
    :param latency_ms: time of the whole exchange.
    """

    send_permitted: bool
    fault: outcomes.Fault | None
    is_framed: bool
    status: int
    headers: HeaderFields
    body: bytes
    latency_ms: float

    def header(self, name: str) -> str:
        """Return the first field of a name, empty where there is none."""
        wanted = name.lower()
        for field, value in self.headers:
            if field.lower() == wanted:
                return value
        return ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatement:
    """Hold what a target says of itself.

    :param incarnation: identity of its process, empty if not stated.
    :param is_leaving: True where it accepts no new work.
    :param report: its load, None if not stated.
    """

    incarnation: str
    is_leaving: bool
    report: decision_models.LoadReport | None
