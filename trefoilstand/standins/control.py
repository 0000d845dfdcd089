"""Control the stand-ins from a test or a demonstration."""

import dataclasses
import json
import time
import typing

from trefoilstand import exceptions
from trefoilstand.targets import exchange
from trefoilstand.targets import models
from trefoilstand.util import clock as clocks

_TIMEOUT_S: typing.Final = 5.0
_MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024


class StandInControlError(exceptions.TrefoilstandError):
    """Represent a control request that a stand-in did not fulfil."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCounts:
    """Hold the counters of one target stand-in.

    :param runs: number of runs of each request, by its mark.
    :param shed: number of requests that were shed before they ran.
    :param probes: number of load reports that were read.
    :param last_start_s: wall-clock time in seconds when a request last
        started to run.
    """

    runs: dict[str, int]
    shed: int
    probes: int
    last_start_s: float


class _ControlClient:
    """Send control requests to one stand-in.

    :param address: address of the stand-in.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._clock = clocks.MonotonicClock()
        self._client = exchange.TargetClient(clock=self._clock)

    def wait_until_ready(self, timeout_s: float = 10.0) -> None:
        """Wait until the stand-in answers.

        :param timeout_s: longest time to wait in seconds.
        :raises StandInControlError: it did not answer in time.
        """
        deadline_s = self._clock.now_s() + timeout_s
        while True:
            try:
                self._send("GET", self._probe_path(), b"")
            except StandInControlError:
                if self._clock.now_s() > deadline_s:
                    raise
                time.sleep(0.02)
            else:
                return

    def _probe_path(self) -> str:
        return "/control/calls"

    def _send(self, method: str, path: str, body: bytes) -> bytes:
        response = self._client.exchange(
            models.TargetRequest(
                address=self._address,
                method=method,
                path=path,
                headers=(),
                body=body,
                deadline_s=self._clock.now_s() + _TIMEOUT_S,
                is_repeatable=True,
                max_response_bytes=_MAX_RESPONSE_BYTES,
            )
        )
        if response.fault is not None or response.status != 200:
            raise StandInControlError(
                f"{method} {self._address}{path}: expected status 200, "
                f"got status {response.status}, fault {response.fault}"
            )
        return response.body


class PlatformControl(_ControlClient):
    """Publish texts and hosts and inject faults at the platform stand-in."""

    def publish_text(self, text: str, version: int | None = None) -> None:
        """Publish an operators' text.

        :param text: TOML text.
        :param version: its version, None for the next one.
        """
        query = "" if version is None else f"?version={version}"
        self._send("POST", f"/control/text{query}", text.encode())

    def publish_hosts(self, document: str) -> None:
        """Publish a list of hosts.

        :param document: JSON document of the list.
        """
        self._send("POST", "/control/hosts", document.encode())

    def set_fault(self, fault: str) -> None:
        """Set the fault of the stand-in.

        :param fault: value of the stand-in's `Fault`, `none` for no fault.
        """
        self._send("POST", "/control/fault", fault.encode())

    def read_call_count(self) -> int:
        """Return the number of requests from readers so far."""
        content = json.loads(self._send("GET", "/control/calls", b""))
        return int(content["calls"])


class TargetControl(_ControlClient):
    """Change the behaviour of one target and read its counters."""

    def change_behaviour(self, **behaviour: object) -> None:
        """Change fields of the target's behaviour.

        :param behaviour: new values by field; `renew=True` also gives the
            target a new incarnation.
        """
        body = json.dumps(behaviour).encode()
        self._send("POST", "/control/behaviour", body)

    def read_counts(self) -> TargetCounts:
        """Return the counters of the target."""
        return TargetCounts(**json.loads(self._send("GET", "/control/", b"")))

    def _probe_path(self) -> str:
        return "/control/"
