"""Values that the metrics page shows as gauges."""

import time
import typing

if typing.TYPE_CHECKING:
    from trefoilstand.gateway import application

#: State age reported before the first confirmation, as it is infinite then.
_MAX_REPORTED_AGE_S: typing.Final = 1e6


def read(gateway: "application.Gateway") -> dict[str, float]:
    """Return the current gauge values of a process.

    :param gateway: gateway of the process.
    """
    age_s = gateway.fleet.staleness.age_s(time.monotonic())
    callers = gateway.caller_server
    admission = gateway.admission
    transfers = gateway.fleet.transfers
    return {
        "trefoilstand_configuration_version": gateway.state.version,
        "trefoilstand_state_revision": gateway.fleet.replica.revision,
        "trefoilstand_state_age_seconds": min(age_s, _MAX_REPORTED_AGE_S),
        "trefoilstand_targets": len(gateway.state.targets),
        "trefoilstand_evacuated_domains": len(gateway.state.evacuated_domains),
        "trefoilstand_warming_targets": gateway.state.targets.warming_count(
            time.monotonic()
        ),
        "trefoilstand_entry_hosts": gateway.state.hosts.count,
        "trefoilstand_requests_in_progress": gateway.forwarder.in_progress,
        "trefoilstand_probes": gateway.prober.sent,
        "trefoilstand_failed_probes": gateway.prober.failed,
        "trefoilstand_target_connections_opened": gateway.connections.opened,
        "trefoilstand_peer_datagrams": gateway.fleet.peers.datagrams_sent,
        "trefoilstand_state_transfers": transfers.transfer_count,
        "trefoilstand_store_reads": gateway.fleet.reader.read_count,
        "trefoilstand_body_bytes": gateway.buffers.used_bytes,
        "trefoilstand_bodies_waiting": gateway.buffers.waiting_count,
        "trefoilstand_requests_waiting_for_memory": admission.waiting_count,
        "trefoilstand_requests_refused_for_memory": admission.refused_count,
        "trefoilstand_caller_connections": len(callers.connections),
        "trefoilstand_caller_connections_over_limit": callers.excess_count,
        "trefoilstand_is_ready": int(gateway.directory.is_own_ready),
    }
