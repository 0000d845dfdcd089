"""Commands `resolve` and `call`."""

import dataclasses
import sys
import typing

import cappa

from trefoilstand.cli import arguments
from trefoilstand.cli import const
from trefoilstand.cli import output
from trefoilstand.client import entry_client
from trefoilstand.client import models
from trefoilstand.configuration import const as configuration_const
from trefoilstand.decision import models as decision_models


@cappa.command(name="resolve")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ResolveCommand:
    """Ask an entry host which addresses a caller is to use.

    Example: trefoilstand resolve 127.0.1.1:8100

    Exit code 0 means an answer, 3 means none.
    """

    address: arguments.HostAddress
    failure_domain: typing.Annotated[
        str, cappa.Arg(long=True, help="Failure domain of the caller.")
    ] = ""
    tickets: typing.Annotated[
        int, cappa.Arg(long=True, help="How many tickets to ask for.")
    ] = 0
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        client = entry_client.EntryClient(
            seeds=(self.address,), failure_domain=self.failure_domain
        )
        try:
            found = client.resolve(tickets=self.tickets)
        except entry_client.NoEntryHostError as error:
            output.print_error(error)
            return const.EXIT_UNREACHABLE
        if self.json:
            output.print_json(dataclasses.asdict(found))
            return 0
        output.print_table(
            ("address", "failure domain"),
            ((item.address, item.failure_domain) for item in found.addresses),
        )
        for ticket in found.tickets:
            print(f"ticket {ticket}")
        return 0


@cappa.command(name="call")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CallCommand:
    """Send one request to a service and print its answer.

    Example: trefoilstand call 127.0.1.1:8100 quotes GET /quotes/17

    Example: trefoilstand call 127.0.1.1:8100 bookings POST /bookings
    --body '{"roof": 4}'

    Exit code 0 means an answer, 3 that no entry host answered, 4 that
    the call was not run or its end is unknown.
    """

    address: arguments.HostAddress
    service: arguments.ServiceName
    method: typing.Annotated[str, cappa.Arg(help="HTTP method.")]
    path: typing.Annotated[str, cappa.Arg(help="Path, with a slash.")]
    body: typing.Annotated[
        str, cappa.Arg(long=True, help="Body of the request.")
    ] = ""
    timeout_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="Longest time for the call.")
    ] = configuration_const.DEFAULT_DEADLINE_MS
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        client = entry_client.EntryClient(seeds=(self.address,))
        method = self.method.upper()
        request = models.ClientRequest(
            service=self.service,
            method=method,
            path=self.path,
            body=self.body.encode(),
            is_repeatable=method in configuration_const.REPEATABLE_METHODS,
            timeout_ms=self.timeout_ms,
        )
        try:
            end = client.call(request)
        except entry_client.NoEntryHostError as error:
            output.print_error(error)
            return const.EXIT_UNREACHABLE
        self._print(end)
        if end.outcome is decision_models.Outcome.ANSWERED:
            return 0
        return const.EXIT_NOT_ANSWERED

    def _print(self, end: models.ClientEnd) -> None:
        if self.json:
            content = dataclasses.asdict(end)
            content["body"] = end.body.decode("utf-8", "replace")
            output.print_json(content)
            return
        print(f"{end.outcome}: {end.reason}, status {end.status}")
        sys.stdout.buffer.write(end.body)
        print()
