"""Header fields and health checks that callers and targets use.

An adapter supplies one implementation; the gateway itself contains no names
of header fields that are specific to a platform.
"""

import abc
import dataclasses
import typing

from trefoilstand import exceptions
from trefoilstand.gateway import models
from trefoilstand.http import models as http_models


class MalformedLimitError(exceptions.TrefoilstandError):
    """Represent a request limit that is not a number."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Hold names of header fields, in lower case.

    :param request_id: id of one attempt of a caller, echoed in responses.
    :param deadline_ms: time that the sender still waits, in milliseconds.
    :param target_id: id of the target that the request is meant for.
    """

    request_id: bytes
    deadline_ms: bytes
    target_id: bytes


class TargetProtocol(abc.ABC):
    """Interpret the responses of targets."""

    names: HeaderNames

    @abc.abstractmethod
    def is_from_target(self, response: http_models.Response) -> bool:
        """Return whether the target's own program made a response.

        :param response: response to a request.
        """

    @abc.abstractmethod
    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not run the request.

        :param response: response to a request.
        """

    @abc.abstractmethod
    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target now listens on the address.

        :param response: response to a request.
        """

    @abc.abstractmethod
    def is_leaving(self, response: http_models.Response) -> bool:
        """Return whether a response says that its target leaves.

        :param response: response to a request or a health check.
        """

    @abc.abstractmethod
    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load report in a response, None if it has none.

        :param response: response to a request or a health check.
        :param now_s: monotonic time of the report.
        """

    @abc.abstractmethod
    def read_limit_per_s(self, response: http_models.Response) -> float | None:
        """Return the target's request limit, None if it states none.

        :param response: response to a request or a health check.
        :returns: requests a second from all hosts together.
        :raises MalformedLimitError: the value is not a number of requests.
        """

    @abc.abstractmethod
    def read_warmup_s(self, response: http_models.Response) -> float | None:
        """Return how long a target stays cold, None if it does not say.

        :param response: response to a health check.
        :returns: time in seconds, 0 if it is not cold.
        """

    @abc.abstractmethod
    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the target id in a health check response, None without one.

        :param response: response to a health check.
        """


#: Fields of a target's response that are not forwarded to callers.
STRIPPED_FIELDS: typing.Final = frozenset({b"retry-after"})
