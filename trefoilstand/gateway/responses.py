"""Responses to callers, forwarded from a target or made by this host."""

import random

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.gateway import target_protocol
from trefoilstand.http import handling
from trefoilstand.http import models as http_models
from trefoilstand.http import wire

_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504
_NOT_EXECUTED_STATUS = 503


def forward_response(
    response: http_models.Response,
) -> handling.CallerResponse:
    """Return a target's response in the form that the caller gets.

    :param response: response of the target.
    """
    return handling.CallerResponse(
        status=response.status,
        fields=wire.forwardable_fields(
            response.fields, replaced_names=target_protocol.STRIPPED_FIELDS
        ),
        body=response.body,
    )


def failure_response(
    call: calls.Call,
    *,
    wait_s: float,
    random_source: random.Random,
) -> handling.CallerResponse:
    """Return the response to a request that no attempt succeeded for.

    An error response of a target is forwarded; otherwise the status tells
    whether a target may have run the request.

    :param call: request that failed.
    :param wait_s: expected time until capacity is free, in seconds.
    :param random_source: jitters ``Retry-After``.
    """
    if call.fallback is not None:
        return forward_response(call.fallback)
    if call.may_have_run:
        is_timed_out = call.last_outcome == models.Outcome.TIMED_OUT
        return handling.CallerResponse(
            status=_TIMEOUT_STATUS if is_timed_out else _UNKNOWN_STATUS
        )
    return rejection_response(
        call.last_refusal, wait_s=wait_s, random_source=random_source
    )


def rejection_response(
    refusal: models.Refusal, *, wait_s: float, random_source: random.Random
) -> handling.CallerResponse:
    """Return a response that guarantees that the request did not run.

    :param refusal: why the request was not sent to a target.
    :param wait_s: expected time until capacity is free, in seconds.
    :param random_source: jitters ``Retry-After``, so that rejected callers
        do not return all at once.
    """
    if refusal is models.Refusal.OVERLOADED:
        retry_after_s = min(
            max(wait_s, const.MIN_RETRY_AFTER_S), const.MAX_RETRY_AFTER_S
        )
    elif refusal is models.Refusal.RATE_LIMITED:
        retry_after_s = const.MAX_RETRY_AFTER_S
    elif refusal in (models.Refusal.SHED, models.Refusal.NOT_SERVING):
        retry_after_s = const.RETRY_AFTER_SHED_S
    else:
        retry_after_s = const.RETRY_AFTER_NO_TARGET_S
    retry_after_s *= 0.75 + 0.5 * random_source.random()
    return handling.CallerResponse(
        status=_NOT_EXECUTED_STATUS,
        fields=[(b"retry-after", b"%.3f" % retry_after_s)],
    )
