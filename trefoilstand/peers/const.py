"""Intervals and limits of the peer protocol."""

import typing

#: Peers that a starting or resumed host pings before it serves callers.
CATCH_UP_PEERS: typing.Final = 8
#: Timeout of these pings and of reading a configuration from a peer.
CATCH_UP_TIMEOUT_S: typing.Final = 1.0
#: Time without contact to any peer after which a host reads the published
#: configuration itself.
CONFIGURATION_FALLBACK_S: typing.Final = 3.0
DEAD_RECORD_LIFETIME_S: typing.Final = 60.0
#: Peers that are pinged immediately when there is something to announce.
IMMEDIATE_PINGS: typing.Final = 3
#: Open connections to peers; the least recently used is closed.
MAX_CHANNELS: typing.Final = 64
MAX_FORWARD_THREADS: typing.Final = 16
#: Leaving marks without an incarnation in one message.
MAX_GOSSIP_LISTED_MARKS: typing.Final = 16
#: Leaving marks with an incarnation in one message.
MAX_GOSSIP_MARKS: typing.Final = 16
MAX_GOSSIP_MEMBERS: typing.Final = 16
MAX_GOSSIP_REPORTS: typing.Final = 16
MAX_REPORT_AGE_MS: typing.Final = 2000
MAX_DECOMPRESSED_TEXT_BYTES: typing.Final = 1_000_000
PING_TIMEOUT_S: typing.Final = 0.4
READERS_PER_FAILURE_DOMAIN: typing.Final = 2
#: Members that are asked to ping a member that did not reply.
INDIRECT_PING_RELAYS: typing.Final = 2
STOP_POLL_S: typing.Final = 0.02
#: Time that forwarded calls in progress have to finish at the stop.
STOP_TIMEOUT_S: typing.Final = 30.0
#: Age of a suspicion that is not refuted, after which the member is dead.
SUSPECT_TIMEOUT_S: typing.Final = 2.0
#: How often each member update is sent.
UPDATE_SENDS: typing.Final = 8
