"""Convert between members and messages of the peer protocol."""

from trefoilstand.peers import models
from trefoilstand.peers import peer_pb2
from trefoilstand.util import address as addresses


def encode_member(member: models.Member) -> peer_pb2.MemberUpdate:
    """Return the message that carries a member."""
    return peer_pb2.MemberUpdate(
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        refutation=member.refutation,
        state=peer_pb2.MemberState.Name(member.state),
        process_id=member.process_id,
    )


def decode_member(message: peer_pb2.MemberUpdate) -> models.Member | None:
    """Return the member that a message carries, None if malformed."""
    if not message.process_id:
        return None
    try:
        addresses.parse_address(message.peer_address)
        addresses.parse_address(message.caller_address)
        state = models.MemberState(message.state)
    except ValueError:
        return None
    return models.Member(
        peer_address=message.peer_address,
        caller_address=message.caller_address,
        failure_domain=message.failure_domain,
        process_id=message.process_id,
        incarnation=message.incarnation,
        refutation=message.refutation,
        state=state,
    )
