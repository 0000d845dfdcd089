"""Recognize a failure domain whose targets fail together.

When the targets of the own domain are lost, each request would probe several
of them before those of other domains, and the waits and probes of all requests
would use up their time and the budget of probes.
"""

import collections.abc
import typing

from trefoilstand.gateway import targets

#: Only targets that were sent something within this time count, so that a
#: domain is tried again soon after its targets have recovered.
_CONTACT_AGE_S: typing.Final = 2.0
#: Fewer recent contacts do not tell a lost domain from single lost targets.
_MIN_CONTACTS: typing.Final = 3
#: Error rate of a target from which on it counts as failing; one failure
#: exceeds it for about a second.
_FAILING_ERROR_RATE: typing.Final = 0.15


def is_failing(
    domain_targets: collections.abc.Iterable[targets.Target], now_s: float
) -> bool:
    """Return whether most recently used targets of a domain fail.

    :param domain_targets: targets of one service in the domain.
    :param now_s: monotonic time.
    """
    contacts = [
        target
        for target in domain_targets
        if now_s - target.last_message_s <= _CONTACT_AGE_S
    ]
    if len(contacts) < _MIN_CONTACTS:
        return False
    failing_count = sum(
        target.current_error_rate(now_s) >= _FAILING_ERROR_RATE
        for target in contacts
    )
    return failing_count > len(contacts) / 2
