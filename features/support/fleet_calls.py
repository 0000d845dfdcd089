"""Single sends of bookings and questions to the targets of a fleet."""

import dataclasses
import json
import time

from trefoilstand import const as project_const
from trefoilstand.client import models as client_models
from trefoilstand.standins import control
from trefoilstand.standins import load


@dataclasses.dataclass
class Copy:
    """One send of a booking under a ticket, as its caller sees it."""

    outcome: str
    status: int
    document: dict


def target_control(target):
    return control.TargetControl(address=target.address)


def count_runs(context):
    return load.count_runs(item.address for item in context.fleet.targets())


def send_copy(context, address, ticket, mark, timeout_s=3.0):
    """Send one booking once and return what was told."""
    headers = ((load.MARK_HEADER, mark),)
    if ticket:
        headers += ((project_const.HEADER_TICKET, ticket),)
    request = client_models.ClientRequest(
        service="bookings",
        method="POST",
        path="/bookings",
        body=mark.encode(),
        is_repeatable=False,
    )
    answer = context.client.exchange(
        address, request, headers, time.monotonic() + timeout_s
    )
    if answer.fault is not None:
        return Copy(outcome="", status=0, document={})
    return Copy(
        outcome=answer.header(project_const.HEADER_OUTCOME),
        status=answer.status,
        document=json.loads(answer.body),
    )


def take_ticket(context):
    held = context.client.take_ticket()
    context.owner = next(
        entry
        for entry in context.fleet.entries
        if entry.caller_address == held.owner_address
    )
    context.other = next(
        entry for entry in context.fleet.entries if entry != context.owner
    )
    context.ticket = held.text
    context.mark = f"booking-{held.text[-12:]}"
