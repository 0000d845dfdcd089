"""Answers of this host: passed on from a target, or its own."""

import random

from trefoilstand.gateway import calls
from trefoilstand.gateway import const
from trefoilstand.gateway import dialect
from trefoilstand.gateway import models
from trefoilstand.http import models as http_models
from trefoilstand.http import server
from trefoilstand.http import wire

_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504
_NOT_RUN_STATUS = 503


def pass_on(response: http_models.Response) -> server.Answer:
    """Return a target's answer for the caller."""
    return server.Answer(
        status=response.status,
        fields=wire.forwardable_fields(
            response.fields, replaced=dialect.HIDDEN_FIELDS
        ),
        body=response.body,
    )


def give_up(
    call: calls.Call,
    *,
    wait_s: float,
    random_source: random.Random,
) -> server.Answer:
    """Return the truthful answer to a request that was not served.

    :param call: the request.
    :param wait_s: time until there is room, as far as is known.
    :param random_source: spreads the return of rejected callers.
    """
    if call.fallback is not None:
        return pass_on(call.fallback)
    if call.may_have_run:
        is_late = call.last_outcome == models.Outcome.TIMED_OUT
        return server.Answer(
            status=_TIMEOUT_STATUS if is_late else _UNKNOWN_STATUS
        )
    return reject(
        call.last_refusal, wait_s=wait_s, random_source=random_source
    )


def reject(
    refusal: models.Refusal, *, wait_s: float, random_source: random.Random
) -> server.Answer:
    """Return an answer that promises that nothing ran.

    :param refusal: why.
    :param wait_s: time until there is room, as far as is known.
    :param random_source: spreads the return of rejected callers.
    """
    if refusal is models.Refusal.OVERLOADED:
        pause_s = min(
            max(wait_s, const.MIN_RETRY_AFTER_S), const.MAX_RETRY_AFTER_S
        )
    elif refusal is models.Refusal.SHED:
        pause_s = const.RETRY_AFTER_SHED_S
    else:
        pause_s = const.RETRY_AFTER_NO_TARGET_S
    pause_s *= 0.75 + 0.5 * random_source.random()
    return server.Answer(
        status=_NOT_RUN_STATUS, fields=[(b"retry-after", b"%.3f" % pause_s)]
    )
