"""Convert between models and messages of the state protocol."""

import math
import typing

from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import models
from trefoilstand.fleet import rate_limits
from trefoilstand.peers import peer_pb2

_MS_PER_S: typing.Final = 1000
#: Incarnations from this on do not fit the field; a valid one is a time in
#: milliseconds.
_INCARNATION_LIMIT: typing.Final = 2**63
#: Ages that do not fit the field are sent as this one.
_MAX_AGE_MS: typing.Final = 2**32 - 1


def encode_delta(delta: models.Delta) -> peer_pb2.StateDelta:
    """Return the message that carries a delta."""
    return peer_pb2.StateDelta(
        after_revision=delta.after_revision,
        up_to_revision=delta.up_to_revision,
        is_snapshot=delta.is_snapshot,
        era=delta.era,
        items=[
            peer_pb2.StateItem(
                key=item.key,
                revision=item.revision,
                value=item.value,
                eras_before=delta.era - item.era,
                origin_era=item.origin.era,
                origin_revision=item.origin.revision,
            )
            for item in delta.items
        ],
    )


def decode_delta(message: peer_pb2.StateDelta) -> models.Delta:
    """Return the delta that a message carries."""
    return models.Delta(
        after_revision=message.after_revision,
        up_to_revision=message.up_to_revision,
        is_snapshot=message.is_snapshot,
        era=message.era,
        items=tuple(
            models.Item(
                key=item.key,
                revision=item.revision,
                value=item.value if item.HasField("value") else None,
                era=max(message.era - item.eras_before, 0),
                origin=models.Position(
                    era=item.origin_era, revision=item.origin_revision
                )
                if item.origin_revision
                else models.NO_POSITION,
            )
            for item in message.items
        ),
    )


def encode_limit(
    observation: rate_limits.LimitObservation, now_s: float
) -> peer_pb2.TargetLimit | None:
    """Return the message that carries a limit, None if it cannot.

    :param observation: what a target stated.
    :param now_s: monotonic time.
    """
    if not -_INCARNATION_LIMIT <= observation.incarnation < _INCARNATION_LIMIT:
        return None
    return peer_pb2.TargetLimit(
        target_id=observation.target_id,
        incarnation=observation.incarnation,
        requests_per_s=observation.requests_per_s,
        age_ms=max(int((now_s - observation.observed_s) * _MS_PER_S), 0),
    )


def decode_limit(
    message: peer_pb2.TargetLimit, now_s: float
) -> rate_limits.LimitObservation | None:
    """Return the limit that a message carries, None if malformed.

    :param message: as received from a peer.
    :param now_s: monotonic time.
    """
    limit_per_s: float | None = None
    if message.HasField("requests_per_s"):
        limit_per_s = message.requests_per_s
        if not (math.isfinite(limit_per_s) and limit_per_s >= 0):
            return None
    return rate_limits.LimitObservation(
        target_id=message.target_id,
        incarnation=message.incarnation,
        requests_per_s=limit_per_s,
        observed_s=now_s - message.age_ms / _MS_PER_S,
    )


def encode_leaving(
    mark: leaving_targets.LeavingMark, now_s: float
) -> peer_pb2.LeavingTarget | None:
    """Return the message that carries a mark, None if it cannot.

    :param mark: process of a target that leaves.
    :param now_s: monotonic time.
    """
    if not -_INCARNATION_LIMIT <= mark.incarnation < _INCARNATION_LIMIT:
        return None
    age_ms = int((now_s - mark.marked_s) * _MS_PER_S)
    return peer_pb2.LeavingTarget(
        target_id=mark.target_id,
        incarnation=mark.incarnation,
        age_ms=min(max(age_ms, 0), _MAX_AGE_MS),
    )


def decode_leaving(
    message: peer_pb2.LeavingTarget, now_s: float
) -> leaving_targets.LeavingMark:
    """Return the mark that a message carries.

    :param message: as received from a peer.
    :param now_s: monotonic time.
    """
    return leaving_targets.LeavingMark(
        target_id=message.target_id,
        incarnation=message.incarnation,
        source=leaving_targets.Source.PEER,
        marked_s=now_s - message.age_ms / _MS_PER_S,
    )
