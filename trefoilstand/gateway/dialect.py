"""Names that callers and targets use on the wire.

An adapter supplies one instance; the gateway itself knows no such names.
"""

import abc
import dataclasses
import typing

from trefoilstand.gateway import models
from trefoilstand.http import models as http_models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Name header fields, in lower case.

    :param request_id: identity of one attempt of a caller.
    :param deadline_ms: time that the sender will wait.
    :param target_id: identity of the target that is meant.
    """

    request_id: bytes
    deadline_ms: bytes
    target_id: bytes


class Dialect(abc.ABC):
    """Translate header fields and pages of the outside world."""

    names: HeaderNames

    @abc.abstractmethod
    def is_genuine(self, response: http_models.Response) -> bool:
        """Return whether an answer was made by a target's program."""

    @abc.abstractmethod
    def is_not_executed(self, response: http_models.Response) -> bool:
        """Return whether the target states that it did not run it."""

    @abc.abstractmethod
    def is_misdirected(self, response: http_models.Response) -> bool:
        """Return whether another target answers at the address."""

    @abc.abstractmethod
    def read_load(
        self, response: http_models.Response, now_s: float
    ) -> models.LoadReport | None:
        """Return the load that an answer carries, None without one."""

    @abc.abstractmethod
    def read_target_id(self, response: http_models.Response) -> str | None:
        """Return the identity in the answer of a health check."""


#: Fields of an answer that a target may not set for our callers.
HIDDEN_FIELDS: typing.Final = frozenset({b"retry-after"})
