"""Pace and limits of the peers' protocol."""

import typing

CATCH_UP_PEERS: typing.Final = 8
CATCH_UP_TIMEOUT_S: typing.Final = 1.0
CONFIGURATION_FALLBACK_S: typing.Final = 3.0
DEAD_RECORD_LIFETIME_S: typing.Final = 60.0
EAGER_PINGS: typing.Final = 3
MAX_CHANNELS: typing.Final = 64
MAX_FORWARD_THREADS: typing.Final = 16
MAX_GOSSIP_LISTED: typing.Final = 16
MAX_GOSSIP_MARKS: typing.Final = 16
MAX_GOSSIP_MEMBERS: typing.Final = 16
MAX_GOSSIP_REPORTS: typing.Final = 16
MAX_REPORT_AGE_MS: typing.Final = 2000
MAX_UNPACKED_TEXT_BYTES: typing.Final = 1_000_000
PING_TIMEOUT_S: typing.Final = 0.4
READERS_PER_FAILURE_DOMAIN: typing.Final = 2
RELAYS: typing.Final = 2
STOP_POLL_S: typing.Final = 0.02
STOP_TIMEOUT_S: typing.Final = 30.0
SUSPECT_TIMEOUT_S: typing.Final = 2.0
UPDATE_SENDS: typing.Final = 8
