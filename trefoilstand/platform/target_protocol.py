"""Header fields that the platform's callers and targets use."""

import math
import typing

from trefoilstand.gateway import models
from trefoilstand.gateway import target_protocol
from trefoilstand.http import models as http_models

#: Present in each response that the target's own program made.
_STAMP_FIELD: typing.Final = b"server-stamp"
#: Present if the target did not execute the request.
_NOT_EXECUTED_FIELD: typing.Final = b"not-executed"
#: Present, with the value 1, if the target leaves.
_LEAVING_FIELD: typing.Final = b"server-leaving"
_LOAD_FIELD: typing.Final = b"server-load"
#: Requests a second that the target accepts from all hosts together.
_LIMIT_FIELD: typing.Final = b"server-limit"
#: Milliseconds for which the target stays cold.
_WARMUP_FIELD: typing.Final = b"warmup-ms"
#: Longer values would exceed a day, which no start of a target takes.
_MAX_WARMUP_DIGITS: typing.Final = 8
_MS_PER_S: typing.Final = 1000
_TARGET_ID_FIELD: typing.Final = b"instance-id"
_MISDIRECTED_STATUS: typing.Final = 421
_PERCENT_PER_UNIT: typing.Final = 100.0
#: A load field with a number of this size or more is not a valid report.
_LOAD_NUMBER_LIMIT: typing.Final = 1_000_000


class PlatformTargetProtocol(target_protocol.TargetProtocol):
    """Read and name the header fields of the platform."""

    names = target_protocol.HeaderNames(
        request_id=b"request-id",
        deadline_ms=b"deadline-ms",
        target_id=b"target-instance",
    )

    def is_from_target(self, response: http_models.Response) -> bool:
        """Return whether a response has the stamp and no content coding."""
        if response.find_field(b"content-encoding") is not None:
            return False
        return response.find_field(_STAMP_FIELD) is not None

    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not execute it."""
        return response.find_field(_NOT_EXECUTED_FIELD) is not None

    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target responded at the address."""
        return response.status == _MISDIRECTED_STATUS

    def is_leaving(self, response: http_models.Response) -> bool:
        """Return whether a response says that its target leaves."""
        return response.find_field(_LEAVING_FIELD) == b"1"

    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load in a response, None if absent or malformed.

        :param response: response of a target.
        :param now_s: monotonic time at which it arrived.
        """
        value = response.find_field(_LOAD_FIELD)
        if value is None:
            return None
        number_texts = value.split(b",")
        try:
            numbers = [int(text) for text in number_texts]
        except ValueError:
            return None
        if (
            len(numbers) < 3
            or not 0 <= min(numbers) <= max(numbers) < _LOAD_NUMBER_LIMIT
        ):
            return None
        # The optional fourth number is the processing time in percent of
        # the usual one.
        processing_time_percent = (
            numbers[3] if len(numbers) > 3 else _PERCENT_PER_UNIT
        )
        return models.LoadReport(
            running=numbers[0],
            waiting=numbers[1],
            slots=max(numbers[2], 1),
            slowdown=max(processing_time_percent / _PERCENT_PER_UNIT, 0.05),
            observed_s=now_s,
        )

    def read_limit_per_s(self, response: http_models.Response) -> float | None:
        """Return the target's request limit, None if it states none.

        :param response: response of a target.
        :raises MalformedLimitError: the value is not a number of requests.
        """
        value = response.find_field(_LIMIT_FIELD)
        if value is None:
            return None
        try:
            limit_per_s = float(value)
        except ValueError as error:
            raise target_protocol.MalformedLimitError(str(error)) from error
        if not (math.isfinite(limit_per_s) and limit_per_s >= 0):
            raise target_protocol.MalformedLimitError(
                f"not a number of requests a second: {limit_per_s}"
            )
        return limit_per_s

    def read_warmup_s(self, response: http_models.Response) -> float | None:
        """Return how long a target stays cold, None if it does not say."""
        value = response.find_field(_WARMUP_FIELD)
        if value is None or not value.isdigit():
            return None
        if len(value) > _MAX_WARMUP_DIGITS:
            return None
        return int(value) / _MS_PER_S

    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the target ID in a health check response, if any."""
        value = response.find_field(_TARGET_ID_FIELD)
        return None if value is None else value.decode("latin-1")
