"""Header fields that callers and targets of the platform use."""

import typing

from trefoilstand.gateway import models
from trefoilstand.gateway import target_protocol
from trefoilstand.http import models as http_models

#: Signature of the program behind a target.
_STAMP: typing.Final = b"server-stamp"
#: Statement of a target that it did not run the request.
_NOT_EXECUTED: typing.Final = b"not-executed"
_LOAD: typing.Final = b"server-load"
_INSTANCE: typing.Final = b"instance-id"
_MISDIRECTED_STATUS: typing.Final = 421
_PERCENT: typing.Final = 100.0
#: Figures of a load are below this; larger ones are no load.
_LIMIT: typing.Final = 1_000_000


class PlatformDialect(target_protocol.TargetProtocol):
    """Speak as the platform's callers and targets do."""

    names = target_protocol.HeaderNames(
        request_id=b"request-id",
        deadline_ms=b"deadline-ms",
        target_id=b"target-instance",
    )

    def is_from_target(self, response: http_models.Response) -> bool:
        """Return whether an answer is signed and not re-encoded."""
        if response.find(b"content-encoding") is not None:
            return False
        return response.find(_STAMP) is not None

    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not run it."""
        return response.find(_NOT_EXECUTED) is not None

    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target answers at the address."""
        return response.status == _MISDIRECTED_STATUS

    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load that an answer carries, None without one."""
        value = response.find(_LOAD)
        if value is None:
            return None
        parts = value.split(b",")
        try:
            numbers = [int(part) for part in parts]
        except ValueError:
            return None
        if len(numbers) < 3 or not 0 <= min(numbers) <= max(numbers) < _LIMIT:
            return None
        # The fourth figure is the working time in percent of the usual.
        percent = numbers[3] if len(numbers) > 3 else _PERCENT
        return models.LoadReport(
            running=numbers[0],
            waiting=numbers[1],
            slots=max(numbers[2], 1),
            slowdown=max(percent / _PERCENT, 0.05),
            observed_s=now_s,
        )

    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the identity in the answer of a health check."""
        value = response.find(_INSTANCE)
        return None if value is None else value.decode("latin-1")
