"""Convert between calls and messages of the peer protocol."""

import collections.abc

from trefoilstand.callers import models as callers_models
from trefoilstand.decision import models as decision_models
from trefoilstand.peers import peer_pb2


def encode_fields(
    fields: tuple[tuple[str, str], ...],
) -> list[peer_pb2.HeaderField]:
    """Return the messages that carry header fields."""
    return [
        peer_pb2.HeaderField(name=name, value=value) for name, value in fields
    ]


def decode_fields(
    messages: collections.abc.Iterable[peer_pb2.HeaderField],
) -> tuple[tuple[str, str], ...]:
    """Return the header fields that messages carry."""
    return tuple((item.name, item.value) for item in messages)


def decode_classified_outcome(
    message: peer_pb2.ForwardedEnd,
) -> decision_models.ClassifiedOutcome:
    """Return the classified outcome of a forwarded call.

    :raises ValueError: the name of the outcome or of the reason is unknown.
    """
    return decision_models.ClassifiedOutcome(
        outcome=decision_models.Outcome(message.outcome),
        reason=decision_models.Reason(message.reason),
    )


def encode_call(
    call: callers_models.Call, remaining_ms: int
) -> peer_pb2.ForwardedCall:
    """Return the message that forwards a call to its ticket's owner.

    :param call: call to forward.
    :param remaining_ms: time until its deadline.
    """
    return peer_pb2.ForwardedCall(
        request_id=call.request_id,
        ticket=call.ticket,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=encode_fields(call.headers),
        body=call.body,
        left_ms=remaining_ms,
        depth=call.depth,
        minimum_version=call.minimum_version,
        retries_left=_encode_retries_left(call.retries_left),
    )


def decode_call(
    message: peer_pb2.ForwardedCall, now_s: float
) -> callers_models.Call:
    """Return the call that a received message carries.

    :param message: forwarded call.
    :param now_s: monotonic time of its arrival.
    """
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
        retries_left=_decode_retries_left(message.retries_left),
    )


def encode_result(result: callers_models.CallResult) -> peer_pb2.ForwardedEnd:
    """Return the message that carries the result of a call."""
    return peer_pb2.ForwardedEnd(
        outcome=result.classified_outcome.outcome,
        reason=result.classified_outcome.reason,
        status=result.status,
        headers=encode_fields(result.headers),
        body=result.body,
        next_ticket=result.next_ticket,
    )


def decode_result(message: peer_pb2.ForwardedEnd) -> callers_models.CallResult:
    """Return the result of a forwarded call.

    :raises ValueError: the name of the outcome or of the reason is unknown.
    """
    return callers_models.CallResult(
        classified_outcome=decode_classified_outcome(message),
        status=message.status,
        headers=decode_fields(message.headers),
        body=message.body,
        is_repeatable=False,
        next_ticket=message.next_ticket,
    )


def _encode_retries_left(retries_left: int | None) -> int:
    """Return a limit plus one; 0 means no limit, as None has no encoding."""
    return 0 if retries_left is None else retries_left + 1


def _decode_retries_left(encoded: int) -> int | None:
    return None if encoded == 0 else encoded - 1
