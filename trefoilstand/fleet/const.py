"""Intervals and limits of the replication between entry hosts."""

import typing

#: Interval between two heartbeats of a host; each member is
#: then pinged about twice a second.
HEARTBEAT_INTERVAL_S: typing.Final = 0.5
#: A heartbeat without a reply is sent once more after this time.
REPLY_TIMEOUT_S: typing.Final = 0.12
#: Hosts of a failure domain that exchange state with other domains; with
#: two, the domain stays connected when it loses one.
RELAYS_PER_DOMAIN: typing.Final = 2
#: Up to this many other hosts of its domain a relay sends a change to all
#: of them; in larger domains each host that receives a change forwards it
#: to a few.
MAX_SMALL_DOMAIN_HOSTS: typing.Final = 64
EAGER_FANOUT: typing.Final = 4
#: Minimum interval between two unrequested confirmations without a change.
MIN_CONFIRMATION_INTERVAL_S: typing.Final = 0.5
#: A relay sends a heartbeat to another domain every this many rounds, and
#: in every round while a host there is suspected.
FAR_PING_INTERVAL_ROUNDS: typing.Final = 2
#: Hosts pinged at a time in a domain that has a suspected host.
SUSPECTED_DOMAIN_PINGS: typing.Final = 4
#: A host whose replica is behind that of a host in another domain queries
#: the relays of its own domain, and fetches from the other domain if it is
#: still behind after this time.
FAR_FETCH_DELAY_S: typing.Final = 0.15
#: The topology is rebuilt at most this often, as that ranks all hosts and
#: many change at once when a fleet starts.
MIN_TOPOLOGY_INTERVAL_S: typing.Final = 0.1
#: Entries of the cache of host ranks.
RANK_CACHE_SIZE: typing.Final = 4096
#: Largest payload that fits one datagram without fragmentation.
MAX_DATAGRAM_BYTES: typing.Final = 1300
#: Member updates in one heartbeat, within a failure domain and to others.
MAX_NEAR_MEMBERS: typing.Final = 14
MAX_FAR_MEMBERS: typing.Final = 6
#: Request limits of targets in one heartbeat, and in all heartbeats of one
#: announcement, which a relay sends to each host of its domain.
MAX_TARGET_LIMITS: typing.Final = 8
MAX_ANNOUNCED_LIMITS: typing.Final = 64
#: Targets that leave in one heartbeat: at most, at least, and divided by the
#: number of live hosts.  A relay sends several heartbeats a second to each
#: host of its domain.
MAX_LEAVING_TARGETS: typing.Final = 8
MIN_LEAVING_TARGETS: typing.Final = 2
LEAVING_TARGETS_TIMES_HOSTS: typing.Final = 600
#: Minimum interval between two announcements of news of targets.  Many targets
#: may state limits at the same time, and relays hear of each from many hosts.
MIN_TARGET_NEWS_INTERVAL_S: typing.Final = 0.5
#: A host whose count of live hosts differs from a relay's for this long
#: fetches the relay's member list.
MEMBER_MISMATCH_TIMEOUT_S: typing.Final = 1.0
#: How often a host sends each change of another one within its domain, and
#: to each other domain. When 118 hosts start, 8 sends each took more bytes
#: than all requests of a minute.
MEMBER_UPDATE_SENDS: typing.Final = 4
FAR_UPDATE_SENDS: typing.Final = 2
#: Timeout of one transfer of state between hosts.
SYNC_TIMEOUT_S: typing.Final = 1.0
#: Delay before a starting host begins to serve transfers of state.
TRANSFER_SERVER_DELAY_S: typing.Final = 0.3
#: A relay sends a heartbeat to a seed every this many rounds, so that the
#: sides of a healed partition find each other again.
SEED_PING_INTERVAL_ROUNDS: typing.Final = 8

#: Bounds of the interval at which a host checks whether it has to read the
#: store or to query a peer.  Each check wakes the process.
MIN_POLL_INTERVAL_S: typing.Final = 0.1
MAX_POLL_INTERVAL_S: typing.Final = 0.3
#: Hosts that read the store in normal operation.
READER_COUNT: typing.Final = 2
#: Longest time that the store holds one watch. It also bounds how late a
#: reader notices a silent connection.
WATCH_WAIT_S: typing.Final = 1.0
#: The same for the other readers; it differs so that the confirmations of
#: several readers do not coincide.
SECONDARY_WATCH_WAIT_S: typing.Final = 0.75
#: Time for the response of a watch in addition to its wait.
WATCH_MARGIN_S: typing.Final = 0.5
#: Timeout of a read.
READ_TIMEOUT_S: typing.Final = 1.0
#: Pause after a watch that returned changes, so that the next one returns
#: further changes in one batch.
BATCH_PAUSE_S: typing.Final = 0.25
#: Replica age after which a host reads the store itself. The sites allow
#: 2 s from a change to its effect.
STALE_AGE_S: typing.Final = 1.35
#: Random spread of that age over hosts, so that they do not all read at
#: once.
STALE_AGE_JITTER_S: typing.Final = 0.3
#: Interval of the targets' heartbeats to the store, unless the settings name
#: another one.
DEFAULT_ENTRY_HEARTBEAT_S: typing.Final = 1.5
#: The store drops an entry after three intervals without a heartbeat, of which
#: up to one may have passed when an outage begins.  An outage of less than two
#: intervals therefore expires no entry; half of one is a margin for late
#: heartbeats.
MIN_EXPIRY_OUTAGE_HEARTBEATS: typing.Final = 1.5
#: A replica may go unconfirmed for nearly this long although the store is
#: available, until the host reads for itself.
MIN_OUTAGE_S: typing.Final = 2.0
#: Replica age from which a host queries a relay of its domain by datagram,
#: the age from which it queries a reader, and the minimum interval between
#: two such queries.
RELAY_QUERY_AGE_S: typing.Final = 0.8
READER_QUERY_AGE_S: typing.Final = 1.0
MIN_QUERY_INTERVAL_S: typing.Final = 0.2
#: Replica age from which a relay queries a reader; it is lower because the
#: whole domain depends on the relay.
RELAY_READER_QUERY_AGE_S: typing.Final = 0.5
#: Bounds of the exponential backoff after failed reads.
MIN_BACKOFF_S: typing.Final = 0.15
MAX_BACKOFF_S: typing.Final = 1.5
#: How long other hosts leave the first read to the seeds when the whole
#: fleet starts for the first time. Callers come seconds later.
FIRST_READ_GRACE_S: typing.Final = 2.0
#: A new process does not act as a reader for this long, since it knows too
#: few hosts to tell whether it is one; a read at its start stays fresh
#: longer.
READER_ROLE_DELAY_S: typing.Final = 1.0

#: How long a key that a restoration of the store lost stays in use.  Entries
#: are back within about 2 s of the store's return, and reach all hosts after
#: at most one :data:`BATCH_PAUSE_S`.
LOST_ITEM_RETENTION_S: typing.Final = 2.3
#: Revisions whose key is remembered to tell a copy of the store from what was
#: written after it: some tens of seconds of 100 changes per second.
MAX_LOGGED_CHANGES: typing.Final = 4096
#: How long a process without state asks peers first when its first response
#: of the store is from a restored one, as only peers know what was lost.
#: Joining the peers and one transfer take about 0.5 s.
FIRST_PEER_STATE_WAIT_S: typing.Final = 1.0
#: It waits no longer than this if no peer has state either, as after a loss of
#: power on all hosts.  On small hosts joining takes 0.3 s.
FIRST_PEER_CONTACT_WAIT_S: typing.Final = 0.5

#: Removals kept for hosts whose replica is behind.
MAX_REMEMBERED_REMOVALS: typing.Final = 4096
