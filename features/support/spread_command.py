"""Measure what hosts send each other in calm; script/spread starts this."""

import dataclasses
import sys
import time
import typing

import cappa

from features.support import heartbeat_fleet
from trefoilstand.cli import output
from trefoilstand.experiments import virtual_time

_SETTLE_S = 10.0
_MEASURED_S = 10.0


async def measure(loop, hosts, domains):
    """Return what a fleet spends on messages in calm."""
    net = heartbeat_fleet.Net(loop=loop, hosts=hosts, domains=domains)
    await net.start()
    for reader in net.readers():
        reader.change(1)
    await net.run(_SETTLE_S)
    net.reset_counts()
    began_s = time.process_time()
    await net.run(_MEASURED_S)
    busy_s = time.process_time() - began_s
    per_host = hosts * _MEASURED_S
    return {
        "hosts": hosts,
        "failure_domains": domains,
        "far_bytes_per_s_fleet": round(net.far_bytes / _MEASURED_S),
        "near_bytes_per_s_host": round(net.near_bytes / per_host),
        "datagrams_per_s_host": round(
            (net.near_messages + net.far_messages) / per_host, 2
        ),
        "processor_ms_per_s_host": round(1000 * busy_s / per_host, 2),
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
        """Print one line for each size."""
        for count in self.hosts:
            output.print_json(
                virtual_time.run(
                    lambda loop, count=count: measure(
                        loop, count, self.domains
                    )
                )
            )
        return 0


if __name__ == "__main__":
    sys.exit(cappa.parse(SpreadCommand)())
