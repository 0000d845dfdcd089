"""Convert between calls and messages of the peers' protocol."""

import collections.abc

from trefoilstand.callers import models as callers_models
from trefoilstand.decision import models as decision_models
from trefoilstand.peers import peer_pb2


def encode_fields(
    fields: tuple[tuple[str, str], ...],
) -> list[peer_pb2.HeaderField]:
    """Return the messages of header fields."""
    return [
        peer_pb2.HeaderField(name=name, value=value) for name, value in fields
    ]


def decode_fields(
    messages: collections.abc.Iterable[peer_pb2.HeaderField],
) -> tuple[tuple[str, str], ...]:
    """Return the header fields of messages."""
    return tuple((item.name, item.value) for item in messages)


def decode_classified_outcome(
    message: peer_pb2.ForwardedEnd,
) -> decision_models.ClassifiedOutcome:
    """Return the classified outcome of a forwarded call.

    :raises ValueError: the outcome or the reason has no such name.
    """
    return decision_models.ClassifiedOutcome(
        outcome=decision_models.Outcome(message.outcome),
        reason=decision_models.Reason(message.reason),
    )


def encode_call(
    call: callers_models.Call, left_ms: int
) -> peer_pb2.ForwardedCall:
    """Return the message of a call for the owner of its ticket."""
    return peer_pb2.ForwardedCall(
        request_id=call.request_id,
        ticket=call.ticket,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=encode_fields(call.headers),
        body=call.body,
        left_ms=left_ms,
        depth=call.depth,
        minimum_version=call.minimum_version,
        retries_left=_encode_limit(call.retries_left),
    )


def decode_call(
    message: peer_pb2.ForwardedCall, now_s: float
) -> callers_models.Call:
    """Return the call of a message that has just arrived."""
    return callers_models.Call(
        request_id=message.request_id,
        service=message.service,
        method=message.method,
        path=message.path,
        headers=decode_fields(message.headers),
        body=message.body,
        arrived_s=now_s,
        deadline_ms=message.left_ms,
        depth=message.depth,
        ticket=message.ticket,
        minimum_version=message.minimum_version,
        retries_left=_decode_limit(message.retries_left),
    )


def encode_end(end: callers_models.CallEnd) -> peer_pb2.ForwardedEnd:
    """Return the message of the end of a call."""
    return peer_pb2.ForwardedEnd(
        outcome=end.classified_outcome.outcome,
        reason=end.classified_outcome.reason,
        status=end.status,
        headers=encode_fields(end.headers),
        body=end.body,
        next_ticket=end.next_ticket,
    )


def decode_end(message: peer_pb2.ForwardedEnd) -> callers_models.CallEnd:
    """Return the end of a forwarded call.

    :raises ValueError: the outcome or the reason has no such name.
    """
    return callers_models.CallEnd(
        classified_outcome=decode_classified_outcome(message),
        status=message.status,
        headers=decode_fields(message.headers),
        body=message.body,
        is_repeatable=False,
        next_ticket=message.next_ticket,
    )


def _encode_limit(limit: int | None) -> int:
    """Return a limit with 0 for "none", as the message has no None."""
    return 0 if limit is None else limit + 1


def _decode_limit(encoded: int) -> int | None:
    return None if encoded == 0 else encoded - 1
