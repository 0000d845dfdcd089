"""Measure the idle traffic between hosts; started by script/spread."""

import dataclasses
import sys
import time
import typing

import cappa

from features.support import heartbeat_fleet
from trefoilstand.cli import output
from trefoilstand.experiments import virtual_time

_SETTLE_S = 10.0
_MEASUREMENT_S = 10.0


async def measure(loop, hosts, domains):
    """Return the message traffic and processor time of an idle fleet."""
    net = heartbeat_fleet.FleetNetwork(loop=loop, hosts=hosts, domains=domains)
    await net.start()
    for reader in net.readers():
        reader.apply_store_change(1)
    await net.run(_SETTLE_S)
    net.reset_counts()
    started_s = time.process_time()
    await net.run(_MEASUREMENT_S)
    busy_s = time.process_time() - started_s
    host_seconds = hosts * _MEASUREMENT_S
    return {
        "hosts": hosts,
        "failure_domains": domains,
        "far_bytes_per_s_fleet": round(
            net.cross_domain_bytes / _MEASUREMENT_S
        ),
        "near_bytes_per_s_host": round(net.same_domain_bytes / host_seconds),
        "datagrams_per_s_host": round(
            (net.same_domain_messages + net.cross_domain_messages)
            / host_seconds,
            2,
        ),
        "processor_ms_per_s_host": round(1000 * busy_s / host_seconds, 2),
        "hosts_that_know_all": sum(
            len(host.members.live_members()) == hosts - 1 for host in net.up
        ),
    }


@cappa.command(name="spread")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SpreadCommand:
    """Run heartbeats of whole fleets in simulated time."""

    hosts: typing.Annotated[list[int], cappa.Arg(long=True)]
    domains: typing.Annotated[int, cappa.Arg(long=True)] = 5

    def __call__(self):
        """Print one JSON line for each fleet size."""
        for host_count in self.hosts:
            output.print_json(
                virtual_time.run(
                    lambda loop, host_count=host_count: measure(
                        loop, host_count, self.domains
                    )
                )
            )
        return 0


if __name__ == "__main__":
    sys.exit(cappa.parse(SpreadCommand)())
