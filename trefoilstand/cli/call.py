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
    """Print the entry host addresses that a caller should use.

    Example: trefoilstand resolve 127.0.1.1:8100

    Exit code 0 means that the entry host answered, 3 that it did not.
    """

    address: arguments.HostAddress
    failure_domain: typing.Annotated[
        str, cappa.Arg(long=True, help="Failure domain of the caller.")
    ] = ""
    tickets: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of tickets to request.")
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
            resolved = client.resolve(tickets=self.tickets)
        except entry_client.NoEntryHostError as error:
            output.print_error(error)
            return const.EXIT_UNREACHABLE
        if self.json:
            output.print_json(dataclasses.asdict(resolved))
            return 0
        output.print_table(
            ("address", "failure domain"),
            (
                (item.address, item.failure_domain)
                for item in resolved.addresses
            ),
        )
        for ticket in resolved.tickets:
            print(f"ticket {ticket}")
        return 0


@cappa.command(name="call")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CallCommand:
    """Send one request to a service and print its response.

    Example: trefoilstand call 127.0.1.1:8100 quotes GET /quotes/17

    Example: trefoilstand call 127.0.1.1:8100 bookings POST /bookings
    --body '{"roof": 4}'

    Exit code 0 means that the service answered, 3 that no entry host
    answered, 4 that the call was not run or its outcome is unknown.
    """

    address: arguments.HostAddress
    service: arguments.ServiceName
    method: typing.Annotated[str, cappa.Arg(help="HTTP method.")]
    path: typing.Annotated[str, cappa.Arg(help="Path, starting with a slash.")]
    body: typing.Annotated[str, cappa.Arg(long=True, help="Request body.")] = (
        ""
    )
    timeout_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="Timeout of the call in ms.")
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
            result = client.call(request)
        except entry_client.NoEntryHostError as error:
            output.print_error(error)
            return const.EXIT_UNREACHABLE
        self._print_result(result)
        if result.outcome is decision_models.Outcome.ANSWERED:
            return 0
        return const.EXIT_NOT_ANSWERED

    def _print_result(self, result: models.ClientEnd) -> None:
        if self.json:
            content = dataclasses.asdict(result)
            content["body"] = result.body.decode("utf-8", "replace")
            output.print_json(content)
            return
        print(f"{result.outcome}: {result.reason}, status {result.status}")
        sys.stdout.buffer.write(result.body)
        print()
