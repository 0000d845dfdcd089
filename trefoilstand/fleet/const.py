"""Pace and limits of the spread of state between entry hosts."""

import typing

#: Pause between two heartbeats of a host; each member is
#: then asked for a sign of life about twice a second.
HEARTBEAT_S: typing.Final = 0.5
#: A heartbeat is repeated once after this time without an answer.
REPLY_TIMEOUT_S: typing.Final = 0.12
#: Hosts of a failure domain that talk to other domains; two bear the loss
#: of one.
RELAYS_PER_DOMAIN: typing.Final = 2
#: Up to this many other hosts of its domain a relay tells all of them at
#: once; in larger ones each host that learned of a change tells a few.
SMALL_DOMAIN: typing.Final = 64
EAGER_FANOUT: typing.Final = 4
#: Pause between two confirmations that a primary relay passes on unasked.
CONFIRM_PAUSE_S: typing.Final = 0.5
#: Each so many heartbeats of a relay one goes to another domain; each one
#: does while a host there is suspected.
FAR_EVERY: typing.Final = 2
#: Hosts of a domain with a suspected one that are pinged at a time.
DOUBTFUL_PINGS: typing.Final = 4
#: A host that is behind a far one asks a near relay, and fetches from the
#: far one when it is still behind after this time.
NEAR_FIRST_S: typing.Final = 0.15
#: Ranks of hosts kept in memory.
RANK_CACHE_SIZE: typing.Final = 4096
#: Largest payload that fits one datagram without fragments.
MAX_DATAGRAM_BYTES: typing.Final = 1300
#: Members that one heartbeat tells of, inside a failure domain and beyond.
MAX_NEAR_MEMBERS: typing.Final = 14
MAX_FAR_MEMBERS: typing.Final = 6
#: A host that counts other live hosts than a relay for this long fetches
#: the relay's list.
MEMBERS_DIFFER_S: typing.Final = 1.0
#: How often a host passes on each change of another one in its domain, and
#: to each other domain. When 118 hosts start, 8 sends each took more bytes
#: than all requests of a minute.
MEMBER_UPDATE_SENDS: typing.Final = 4
FAR_UPDATE_SENDS: typing.Final = 2
#: Time limit of one transfer of state between hosts.
SYNC_TIMEOUT_S: typing.Final = 1.0
#: A starting host serves transfers of state after this delay.
TRANSFER_DELAY_S: typing.Final = 0.3
#: Each so many heartbeats one goes to a seed, so that parts that lost each
#: other meet again.
SEED_EVERY: typing.Final = 8

#: Hosts that read the store while all is well.
READERS: typing.Final = 2
#: How long one watch of the store may wait. It is also how soon a reader
#: notices that its connection went silent.
WATCH_WAIT_S: typing.Final = 1.0
#: The same for the readers that are not first, so that confirmations of
#: several readers do not come at the same moments.
OTHER_WATCH_WAIT_S: typing.Final = 0.75
#: Extra time for the answer of a watch.
WATCH_MARGIN_S: typing.Final = 0.5
#: Time limit of a read.
READ_TIMEOUT_S: typing.Final = 1.0
#: Pause after a watch that brought changes, so that further changes come
#: with the next one.
BATCH_PAUSE_S: typing.Final = 0.25
#: Age of the newest confirmation after which a host reads for itself. The
#: sites allow 2 s from a change to its effect.
STALE_S: typing.Final = 1.35
#: Spread of that age over hosts, so that they do not all read at once.
STALE_SPREAD_S: typing.Final = 0.3
#: Age from which a host asks a relay of its domain by datagram, the age
#: from which it asks a reader, and the pause between two such questions.
ASK_RELAY_S: typing.Final = 0.8
ASK_READER_S: typing.Final = 1.0
ASK_PAUSE_S: typing.Final = 0.2
#: The same for relays, on which their whole domain depends.
RELAY_ASK_READER_S: typing.Final = 0.5
#: Pauses after failed reads grow from the first to the last of these.
MIN_RETRY_S: typing.Final = 0.15
MAX_RETRY_S: typing.Final = 1.5
#: When the whole fleet starts for the first time, hosts leave the first
#: reads to the seeds for this long. Callers come seconds later.
START_GRACE_S: typing.Final = 2.0
#: A new process knows too few hosts to tell whether it is a reader, and
#: leaves that to others for this long; a read at its start stays fresh
#: longer.
READER_SETTLE_S: typing.Final = 1.0

#: Removals remembered for hosts that are behind.
MAX_REMOVALS: typing.Final = 4096
