"""Start a whole deployment on loopback addresses, for one machine.

This is a tool for demonstrations, tests and measurements.  The product
itself starts no process.
"""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

from trefoilstand import exceptions
from trefoilstand.callers import const as callers_const
from trefoilstand.cli import fetch
from trefoilstand.configuration import loader
from trefoilstand.configuration import models as configuration_models
from trefoilstand.standins import control

_CALLER_PORT: typing.Final = 8100
_PEER_PORT: typing.Final = 8200
_PLATFORM_PORT: typing.Final = 8300
_POLL_S: typing.Final = 0.05
_SECRET: typing.Final = "a secret that only demonstrations and tests use"
_STOP_TIMEOUT_S: typing.Final = 30.0


class FleetStartError(exceptions.TrefoilstandError):
    """Represent a process that did not become ready in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Describe a deployment on one machine.

    :param text: operators' text.
    :param network: first two numbers of the entry hosts' addresses.
    :param entry_hosts: number of entry hosts.
    :param service_ms: median working time of targets.
    :param target_processes: processes that share the targets.
    :param answer_lifetime_s: how long callers may keep addresses.
    :param settings: further lines of the settings of entry hosts.
    :param earlier_tree: folder of an earlier version, which the last entry
        host runs; empty for the present version.
    """

    text: str
    network: str = "127.30"
    entry_hosts: int = 3
    service_ms: float = 5.0
    target_processes: int = 2
    answer_lifetime_s: float = 2.0
    settings: str = ""
    earlier_tree: str = ""


class EntryProcess:
    """Run one entry daemon.

    :param settings_path: settings file.
    :param log_path: file for its log.
    :param caller_address: address on which it serves callers.
    :param peer_address: address on which it serves peers.
    :param tree: folder of the version to run, empty for the present one.
    """

    def __init__(
        self,
        *,
        settings_path: pathlib.Path,
        log_path: pathlib.Path,
        caller_address: str,
        peer_address: str,
        tree: str = "",
    ) -> None:
        self._tree = tree
        self._settings_path = settings_path
        self.log_path = log_path
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, also again after it was killed."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "trefoilstand.daemon",
                    "--settings",
                    str(self._settings_path),
                ],
                stdout=log,
                stderr=log,
                cwd=self._tree or None,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = self._read_proc("stat").rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Return the resident memory of the process in megabytes."""
        pages = int(self._read_proc("statm").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _read_proc(self, name: str) -> str:
        if self.process is None:
            raise FleetStartError("the process was not started")
        path = pathlib.Path(f"/proc/{self.process.pid}/{name}")
        return path.read_text(encoding="ascii")

    def status(self) -> fetch.Document | None:
        """Return its status document, None where it does not answer."""
        return fetch.fetch(
            self.caller_address, callers_const.PATH_STATUS
        ).document

    def is_ready(self) -> bool:
        """Return whether it serves."""
        found = fetch.fetch(self.caller_address, callers_const.PATH_READY)
        return found.document is not None

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_STOP_TIMEOUT_S)


class Fleet:
    """Own the processes of a deployment.

    :param plan: what to start.
    """

    def __init__(self, *, plan: FleetPlan) -> None:
        self.plan = plan
        self.content = loader.parse_configuration(
            source_name="plan", text=plan.text
        )
        self._folder = tempfile.TemporaryDirectory(prefix="trefoilstand-")
        self.platform_address = f"{plan.network}.255.1:{_PLATFORM_PORT}"
        self.platform = control.PlatformControl(address=self.platform_address)
        self._helpers: list[subprocess.Popen[bytes]] = []
        self.target_processes: list[subprocess.Popen[bytes]] = []
        self.entries = [
            self._plan_entry(index) for index in range(plan.entry_hosts)
        ]

    def __enter__(self) -> "Fleet":
        """Start all processes and wait until they serve."""
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_details: object) -> None:
        """Stop all processes."""
        self.stop()

    def targets(self, service: str = "") -> list[configuration_models.Target]:
        """Return the targets of a service, of all without a name."""
        return [
            target
            for name, item in self.content.services.items()
            if service in ("", name)
            for target in item.targets
        ]

    def publish_hosts(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of hosts, some targets as leaving."""
        hosts = [
            {
                "address": entry.peer_address,
                "failure_domain": self._domain(index),
                "role": "entry",
                "state": "live",
            }
            for index, entry in enumerate(self.entries)
        ] + [
            {
                "address": target.address,
                "failure_domain": target.failure_domain,
                "role": "target",
                "state": "leaving" if target.address in leaving else "live",
            }
            for target in self.targets()
        ]
        self.platform.publish_hosts(json.dumps({"hosts": hosts}))

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all entry hosts serve.

        :raises FleetStartError: one of them does not in time.
        """
        until_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while not entry.is_ready():
                if time.monotonic() > until_s:
                    raise FleetStartError(
                        f"{entry.caller_address} is not ready: "
                        f"{entry.log_path.read_text()[-2000:]}"
                    )
                time.sleep(_POLL_S)

    def restore(self) -> None:
        """Undo all faults, so that the next use finds a whole fleet."""
        self.platform.set_fault("none")
        for target in self.targets():
            control.TargetControl(address=target.address).change(
                service_ms=self.plan.service_ms,
                slow_factor=1.0,
                spread=0.3,
                fails=False,
                is_leaving=False,
                renew=True,
            )
        self.publish_hosts()
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            if entry.process is None or entry.process.poll() is not None:
                entry.start()
        self.wait_ready()

    def stop(self) -> None:
        """Kill all processes that this object started."""
        for entry in self.entries:
            entry.stop()
        for process in self._helpers:
            process.kill()
            process.wait(_STOP_TIMEOUT_S)
        self._folder.cleanup()

    def _start(self) -> None:
        self._start_helper(
            "trefoilstand.standins.platform_service",
            "--address",
            self.platform_address,
        )
        self._start_targets()
        self.platform.wait()
        for target in self.targets():
            control.TargetControl(address=target.address).wait()
        self.platform.publish_text(self.plan.text)
        self.publish_hosts()
        for entry in self.entries:
            entry.start()
        self.wait_ready()

    def _start_targets(self) -> None:
        slots = {target.slots for target in self.targets()}
        for count in sorted(slots):
            same = [item for item in self.targets() if item.slots == count]
            shares = max(self.plan.target_processes // len(slots), 1)
            for share in range(shares):
                process = self._start_helper(
                    "trefoilstand.standins.target_service",
                    "--slots",
                    str(count),
                    "--service-ms",
                    str(self.plan.service_ms),
                    *(item.address for item in same[share::shares]),
                )
                self.target_processes.append(process)

    def _start_helper(
        self, module: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        log_path = pathlib.Path(self._folder.name) / "helpers.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
            )
        self._helpers.append(process)
        return process

    def _domain(self, index: int) -> str:
        domains = sorted({item.failure_domain for item in self.targets()})
        return domains[index % len(domains)]

    def _plan_entry(self, index: int) -> EntryProcess:
        is_last = index == self.plan.entry_hosts - 1
        ip = f"{self.plan.network}.1.{index + 1}"
        caller_address = f"{ip}:{_CALLER_PORT}"
        peer_address = f"{ip}:{_PEER_PORT}"
        path = pathlib.Path(self._folder.name) / f"entry-{index}.toml"
        path.write_text(
            f'caller_address = "{caller_address}"\n'
            f'peer_address = "{peer_address}"\n'
            f'failure_domain = "{self._domain(index)}"\n'
            f'platform_address = "{self.platform_address}"\n'
            f'ticket_secrets = ["{_SECRET}"]\n'
            f"answer_lifetime_s = {self.plan.answer_lifetime_s}\n"
            + self.plan.settings,
            encoding="utf-8",
        )
        return EntryProcess(
            settings_path=path,
            log_path=path.with_suffix(".log"),
            caller_address=caller_address,
            peer_address=peer_address,
            tree=self.plan.earlier_tree if is_last else "",
        )


def wait_for_change(
    check: typing.Callable[[], bool], timeout_s: float
) -> float | None:
    """Poll a condition.

    :returns: seconds until it held, None where it did not in time.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s <= timeout_s:
        if check():
            return time.monotonic() - started_s
        time.sleep(_POLL_S)
    return None
