"""Start a whole deployment on loopback addresses, for one machine.

This module serves demonstrations, tests and measurements.  The product
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
_POLL_INTERVAL_S: typing.Final = 0.05
_TICKET_SECRET: typing.Final = (
    "a secret that only demonstrations and tests use"
)
_STOP_TIMEOUT_S: typing.Final = 30.0


class FleetStartError(exceptions.TrefoilstandError):
    """Represent a process that was not started or not ready in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Describe a deployment on one machine.

    :param text: operators' text.
    :param network: first two octets of the addresses of the entry hosts
        and the platform.
    :param entry_hosts: number of entry hosts.
    :param service_ms: median service time of the targets in ms.
    :param target_processes: number of processes that share the targets.
    :param answer_lifetime_s: how long callers may cache addresses, in
        seconds.
    :param settings: additional TOML lines for the settings files of entry
        hosts.
    :param earlier_version_dir: directory of an earlier version that the
        last entry host runs, empty for the current version.
    """

    text: str
    network: str = "127.30"
    entry_hosts: int = 3
    service_ms: float = 5.0
    target_processes: int = 2
    answer_lifetime_s: float = 2.0
    settings: str = ""
    earlier_version_dir: str = ""


class EntryProcess:
    """Run one entry daemon.

    :param settings_path: settings file.
    :param log_path: file to which its log is appended.
    :param caller_address: address on which it serves callers.
    :param peer_address: address on which it serves peers.
    :param source_dir: directory of the version to run, empty for the
        current one.
    """

    def __init__(
        self,
        *,
        settings_path: pathlib.Path,
        log_path: pathlib.Path,
        caller_address: str,
        peer_address: str,
        source_dir: str = "",
    ) -> None:
        self._source_dir = source_dir
        self._settings_path = settings_path
        self.log_path = log_path
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, or restart it after it has ended."""
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
                cwd=self._source_dir or None,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs.

        :param number: number of the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def cpu_s(self) -> float:
        """Return the CPU time used by the process in seconds."""
        fields = self._read_proc("stat").rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Return the resident memory of the process in megabytes."""
        pages = int(self._read_proc("statm").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _read_proc(self, name: str) -> str:
        if self.process is None:
            raise FleetStartError(
                f"entry host {self.caller_address} was not started"
            )
        path = pathlib.Path(f"/proc/{self.process.pid}/{name}")
        return path.read_text(encoding="ascii")

    def status(self) -> fetch.Document | None:
        """Return the status document, None if it does not answer."""
        return fetch.fetch(
            self.caller_address, callers_const.PATH_STATUS
        ).document

    def is_ready(self) -> bool:
        """Return True if the entry host reports that it is ready."""
        result = fetch.fetch(self.caller_address, callers_const.PATH_READY)
        return result.document is not None

    def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_STOP_TIMEOUT_S)


class Fleet:
    """Own the processes of a deployment.

    :param plan: description of the deployment.
    """

    def __init__(self, *, plan: FleetPlan) -> None:
        self.plan = plan
        self.configuration = loader.parse_configuration(
            source_name="plan", text=plan.text
        )
        self._directory = tempfile.TemporaryDirectory(prefix="trefoilstand-")
        self.platform_address = f"{plan.network}.255.1:{_PLATFORM_PORT}"
        self.platform = control.PlatformControl(address=self.platform_address)
        self._helper_processes: list[subprocess.Popen[bytes]] = []
        self.target_processes: list[subprocess.Popen[bytes]] = []
        self.entries = [
            self._prepare_entry(index) for index in range(plan.entry_hosts)
        ]

    def __enter__(self) -> "Fleet":
        """Start all processes and wait until they are ready."""
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
        """Return the targets of one service or of all services.

        :param service: name of the service, empty for all services.
        """
        return [
            target
            for name, item in self.configuration.services.items()
            if service in ("", name)
            for target in item.targets
        ]

    def publish_hosts(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of all entry hosts and targets.

        :param leaving: addresses of the targets to list as leaving.
        """
        hosts = [
            {
                "address": entry.peer_address,
                "failure_domain": self._failure_domain(index),
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
        """Wait until all entry hosts are ready.

        :param timeout_s: longest time to wait in seconds.
        :raises FleetStartError: an entry host was not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while not entry.is_ready():
                if time.monotonic() > deadline_s:
                    raise FleetStartError(
                        f"{entry.caller_address} is not ready after "
                        f"{timeout_s} s, end of its log: "
                        f"{entry.log_path.read_text()[-2000:]}"
                    )
                time.sleep(_POLL_INTERVAL_S)

    def restore(self) -> None:
        """Clear all faults and restart ended entry hosts.

        The next user then starts with a healthy fleet.
        """
        self.platform.set_fault("none")
        for target in self.targets():
            control.TargetControl(address=target.address).change_behaviour(
                service_ms=self.plan.service_ms,
                slow_factor=1.0,
                spread=0.3,
                fails=False,
                is_leaving=False,
                renew=True,
            )
        self.publish_hosts()
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            if entry.process is None or entry.process.poll() is not None:
                entry.start()
        self.wait_ready()

    def stop(self) -> None:
        """Kill all processes of the deployment and delete its files."""
        for entry in self.entries:
            entry.stop()
        for process in self._helper_processes:
            process.kill()
            process.wait(_STOP_TIMEOUT_S)
        self._directory.cleanup()

    def _start(self) -> None:
        self._start_helper(
            "trefoilstand.standins.platform_service",
            "--address",
            self.platform_address,
        )
        self._start_targets()
        self.platform.wait_until_ready()
        for target in self.targets():
            control.TargetControl(address=target.address).wait_until_ready()
        self.platform.publish_text(self.plan.text)
        self.publish_hosts()
        for entry in self.entries:
            entry.start()
        self.wait_ready()

    def _start_targets(self) -> None:
        slot_counts = {target.slots for target in self.targets()}
        for slots in sorted(slot_counts):
            targets = [item for item in self.targets() if item.slots == slots]
            process_count = max(
                self.plan.target_processes // len(slot_counts), 1
            )
            for index in range(process_count):
                process = self._start_helper(
                    "trefoilstand.standins.target_service",
                    "--slots",
                    str(slots),
                    "--service-ms",
                    str(self.plan.service_ms),
                    *(item.address for item in targets[index::process_count]),
                )
                self.target_processes.append(process)

    def _start_helper(
        self, module: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        log_path = pathlib.Path(self._directory.name) / "helpers.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
            )
        self._helper_processes.append(process)
        return process

    def _failure_domain(self, index: int) -> str:
        domains = sorted({item.failure_domain for item in self.targets()})
        return domains[index % len(domains)]

    def _prepare_entry(self, index: int) -> EntryProcess:
        is_last = index == self.plan.entry_hosts - 1
        ip = f"{self.plan.network}.1.{index + 1}"
        caller_address = f"{ip}:{_CALLER_PORT}"
        peer_address = f"{ip}:{_PEER_PORT}"
        settings_path = (
            pathlib.Path(self._directory.name) / f"entry-{index}.toml"
        )
        settings_path.write_text(
            f'caller_address = "{caller_address}"\n'
            f'peer_address = "{peer_address}"\n'
            f'failure_domain = "{self._failure_domain(index)}"\n'
            f'platform_address = "{self.platform_address}"\n'
            f'ticket_secrets = ["{_TICKET_SECRET}"]\n'
            f"answer_lifetime_s = {self.plan.answer_lifetime_s}\n"
            + self.plan.settings,
            encoding="utf-8",
        )
        return EntryProcess(
            settings_path=settings_path,
            log_path=settings_path.with_suffix(".log"),
            caller_address=caller_address,
            peer_address=peer_address,
            source_dir=self.plan.earlier_version_dir if is_last else "",
        )


def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float
) -> float | None:
    """Poll a condition until it holds or the timeout expires.

    :param condition: condition to poll.
    :param timeout_s: longest time to poll in seconds.
    :returns: seconds until the condition held, None if it did not in time.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s <= timeout_s:
        if condition():
            return time.monotonic() - started_s
        time.sleep(_POLL_INTERVAL_S)
    return None
