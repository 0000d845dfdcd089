"""Interface between the server of callers and what handles their requests."""

import abc
import dataclasses

from trefoilstand.http import models
from trefoilstand.telemetry import events


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Hold the limits on sizes and times of callers' requests.

    :param header_bytes: largest header section in bytes.
    :param body_bytes: largest body in bytes.
    :param header_timeout_s: time limit in seconds for receiving a header
        section.
    :param idle_timeout_s: longest time in seconds between two requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerResponse:
    """Hold the response to a caller's request.

    :param status: HTTP status code.
    :param fields: header fields.
    :param body: complete body.
    """

    status: int
    fields: models.HeaderFields = dataclasses.field(default_factory=list)
    body: models.Body = b""


class RequestHandler(abc.ABC):
    """Produce the responses to requests."""

    @abc.abstractmethod
    async def handle(self, request: models.Request) -> CallerResponse:
        """Return the response to a request.

        The call is cancelled when the caller disconnects.
        """

    def caller_timeout_s(self, fields: models.HeaderFields) -> float | None:
        """Return how long a caller waits, in seconds, None if unknown.

        Requests whose body takes longer are refused.

        :param fields: header fields of the request.
        """
        return None


async def handle(
    handler: RequestHandler, request: models.Request
) -> CallerResponse:
    """Return the handler's response, or status 500 if it raises.

    :param handler: produces the response.
    :param request: complete request of a caller.
    """
    try:
        return await handler.handle(request)
    except Exception as error:
        # Without a response the caller would wait for its full timeout.
        events.error(
            events.ComponentFailed(
                component="callers",
                error_type=type(error).__name__,
                detail=str(error)[:500],
            )
        )
        return CallerResponse(status=500)
