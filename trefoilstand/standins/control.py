"""Steer the stand-ins from a test or a demonstration."""

import dataclasses
import json
import time
import typing

from trefoilstand import exceptions
from trefoilstand.targets import exchange
from trefoilstand.targets import models
from trefoilstand.util import clock as clocks

_TIMEOUT_S: typing.Final = 5.0
_MAX_BYTES: typing.Final = 16 * 1024 * 1024


class StandInControlError(exceptions.TrefoilstandError):
    """Represent a stand-in that did not do as it was told."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCounts:
    """Hold what one target stand-in has counted.

    :param runs: how often each marked request has run.
    :param shed: requests that were shed before starting.
    :param probes: load reports that were read.
    :param last_start_s: wall-clock time when work started last.
    """

    runs: dict[str, int]
    shed: int
    probes: int
    last_start_s: float


class _Control:
    """Send control requests to one stand-in.

    :param address: address of the stand-in.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._clock = clocks.MonotonicClock()
        self._client = exchange.TargetClient(clock=self._clock)

    def wait(self, timeout_s: float = 10.0) -> None:
        """Wait until the stand-in answers."""
        until_s = self._clock.now_s() + timeout_s
        while True:
            try:
                self._send("GET", self._probe_path(), b"")
            except StandInControlError:
                if self._clock.now_s() > until_s:
                    raise
                time.sleep(0.02)
            else:
                return

    def _probe_path(self) -> str:
        return "/control/calls"

    def _send(self, method: str, path: str, body: bytes) -> bytes:
        answer = self._client.exchange(
            models.TargetRequest(
                address=self._address,
                method=method,
                path=path,
                headers=(),
                body=body,
                deadline_s=self._clock.now_s() + _TIMEOUT_S,
                is_repeatable=True,
                max_response_bytes=_MAX_BYTES,
            )
        )
        if answer.fault is not None or answer.status != 200:
            raise StandInControlError(
                f"{self._address}{path}: {answer.fault} {answer.status}"
            )
        return answer.body


class PlatformControl(_Control):
    """Play the operator and the faults of the platform."""

    def publish_text(self, text: str, version: int | None = None) -> None:
        """Publish a text under the next version or a given one."""
        query = "" if version is None else f"?version={version}"
        self._send("POST", f"/control/text{query}", text.encode())

    def publish_hosts(self, document: str) -> None:
        """Publish a list of hosts."""
        self._send("POST", "/control/hosts", document.encode())

    def set_fault(self, fault: str) -> None:
        """Switch a fault on, or all off with `none`."""
        self._send("POST", "/control/fault", fault.encode())

    def calls(self) -> int:
        """Return how many calls of readers were counted."""
        content = json.loads(self._send("GET", "/control/calls", b""))
        return int(content["calls"])


class TargetControl(_Control):
    """Change and question one target."""

    def change(self, **behaviour: object) -> None:
        """Change fields of the target's behaviour."""
        body = json.dumps(behaviour).encode()
        self._send("POST", "/control/behaviour", body)

    def counts(self) -> TargetCounts:
        """Return what the target has counted."""
        return TargetCounts(**json.loads(self._send("GET", "/control/", b"")))

    def _probe_path(self) -> str:
        return "/control/"
