"""Pace and limits of the spread of state between entry hosts."""

import typing

#: Pause between two heartbeats of a host; each member is
#: then asked for a sign of life about twice a second.
HEARTBEAT_S: typing.Final = 0.5
#: A heartbeat is repeated once after this time without an answer.
REPLY_TIMEOUT_S: typing.Final = 0.12
#: Members told at once of a change; all of them in fleets up to the limit.
EAGER_FANOUT: typing.Final = 4
SMALL_FLEET: typing.Final = 20
#: Largest payload that fits one datagram without fragments.
MAX_DATAGRAM_BYTES: typing.Final = 1300
MAX_HEARTBEAT_MEMBERS: typing.Final = 6
#: How often a host passes on each change of another one. When 118 hosts
#: start, 8 sends each took more bytes than all requests of a minute.
MEMBER_UPDATE_SENDS: typing.Final = 4
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
#: Age from which a host asks a reader by datagram, and the pause between
#: two such questions.
ASK_READER_S: typing.Final = 0.7
ASK_READER_PAUSE_S: typing.Final = 0.2
#: Pauses after failed reads grow from the first to the last of these.
MIN_RETRY_S: typing.Final = 0.15
MAX_RETRY_S: typing.Final = 1.5
#: When the whole fleet starts for the first time, hosts leave the first
#: reads to the seeds for this long.
START_GRACE_S: typing.Final = 0.5

#: Removals remembered for hosts that are behind.
MAX_REMOVALS: typing.Final = 4096
