"""Convert between deltas and messages of the state protocol."""

from trefoilstand.fleet import models
from trefoilstand.peers import peer_pb2


def encode_delta(delta: models.Delta) -> peer_pb2.StateDelta:
    """Return the message that carries a delta."""
    return peer_pb2.StateDelta(
        after_revision=delta.after_revision,
        up_to_revision=delta.up_to_revision,
        is_snapshot=delta.is_snapshot,
        items=[
            peer_pb2.StateItem(
                key=item.key, revision=item.revision, value=item.value
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
        items=tuple(
            models.Item(
                key=item.key,
                revision=item.revision,
                value=item.value if item.HasField("value") else None,
            )
            for item in message.items
        ),
    )
