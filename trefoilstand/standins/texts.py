"""Small operators' texts of one service."""

import collections.abc
import typing

_HEAD: typing.Final = """format_version = 1
[measuring]
fleet_probes_per_second = 100.0
fleet_bytes_per_second = 100000.0
target_probes_per_second = 10.0
[services.{service}]
[services.{service}.objective]
answered_ratio = 0.999
latency_ms = 100
latency_ratio = 0.99
"""
_TARGET: typing.Final = """
[[services.{service}.targets]]
address = "{address}"
failure_domain = "a"
slots = {slots}
state = "{state}"
"""


def make_text(
    *,
    service: str,
    addresses: collections.abc.Sequence[str],
    slots: int,
    leaving: int = 0,
) -> str:
    """Return a text of one service in one failure domain.

    :param service: name of the service.
    :param addresses: addresses of its targets.
    :param slots: slots of each target.
    :param leaving: how many of the first targets are leaving.
    """
    parts = [_HEAD.format(service=service)]
    parts.extend(
        _TARGET.format(
            service=service,
            address=address,
            slots=slots,
            state="leaving" if position < leaving else "active",
        )
        for position, address in enumerate(addresses)
    )
    return "".join(parts)
