"""Generate small operators' texts with one service."""

import collections.abc
import typing

_SERVICE_TEMPLATE: typing.Final = """format_version = 1
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
_TARGET_TEMPLATE: typing.Final = """
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
    """Return an operators' text with one service in one failure domain.

    :param service: name of the service.
    :param addresses: addresses of its targets.
    :param slots: number of slots of each target.
    :param leaving: number of targets, from the first, that are leaving.
    """
    sections = [_SERVICE_TEMPLATE.format(service=service)]
    sections.extend(
        _TARGET_TEMPLATE.format(
            service=service,
            address=address,
            slots=slots,
            state="leaving" if position < leaving else "active",
        )
        for position, address in enumerate(addresses)
    )
    return "".join(sections)
