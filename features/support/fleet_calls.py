"""Single sends of bookings, and controls of the targets of a fleet."""

import dataclasses
import json
import time

from trefoilstand import const as project_const
from trefoilstand.client import models as client_models
from trefoilstand.standins import control
from trefoilstand.standins import load


@dataclasses.dataclass
class SendResult:
    """Result of one send of a booking, as its caller observes it."""

    outcome: str
    status: int
    document: dict


def target_control(target):
    return control.TargetControl(address=target.address)


def count_runs(context):
    return load.count_runs(item.address for item in context.fleet.targets())


def send_booking(context, address, ticket, mark, timeout_s=3.0):
    """Send a booking once and return the result that the caller gets."""
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
    response = context.client.exchange(
        address, request, headers, time.monotonic() + timeout_s
    )
    if response.fault is not None:
        return SendResult(outcome="", status=0, document={})
    return SendResult(
        outcome=response.header(project_const.HEADER_OUTCOME),
        status=response.status,
        document=json.loads(response.body),
    )


def acquire_ticket(context):
    """Acquire a ticket and set its owner and another host."""
    held_ticket = context.client.take_ticket()
    context.owner = next(
        entry
        for entry in context.fleet.entries
        if entry.caller_address == held_ticket.owner_address
    )
    context.non_owner = next(
        entry for entry in context.fleet.entries if entry != context.owner
    )
    context.ticket = held_ticket.text
    context.mark = f"booking-{held_ticket.text[-12:]}"
