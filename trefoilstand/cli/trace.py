"""Show what the logs of entry hosts tell of one request."""

import collections.abc
import dataclasses
import json
import pathlib
import sys
import typing

import cappa

#: Events that change what a host believes; those shortly before a request
#: may explain it.
_BELIEFS: typing.Final = frozenset(
    {
        "configuration_accepted",
        "configuration_rejected",
        "dependency_lost",
        "dependency_regained",
        "member_changed",
        "phase_changed",
        "process_paused",
        "process_started",
        "store_history_lost",
        "target_removed",
    }
)
_EXIT_NOT_FOUND: typing.Final = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """Hold one line of a log.

    :param source: file that it comes from.
    :param fields: its decoded content.
    """

    source: str
    fields: dict[str, typing.Any]

    @property
    def event(self) -> str:
        """Return the kind of the line."""
        return str(self.fields.get("event", ""))


def read_lines(
    source: str, lines: collections.abc.Iterable[str]
) -> collections.abc.Iterator[LogLine]:
    """Return the JSON lines of a log, whatever stands before each.

    Collectors may put a time and a host name before a line.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            prefix = line[:start].strip()
            yield LogLine(source=f"{source} {prefix}".strip(), fields=fields)


def find_request(
    lines: collections.abc.Iterable[LogLine], request_id: str, context: int
) -> list[LogLine]:
    """Return the lines of a request with the beliefs before them.

    :param lines: lines of one host in their order.
    :param request_id: identity of the request.
    :param context: how many changes of belief are shown before it.
    """
    recent: collections.deque[LogLine] = collections.deque(maxlen=context)
    found: list[LogLine] = []
    for line in lines:
        if line.fields.get("request_id") == request_id:
            found += [*recent, line]
            recent.clear()
        elif line.event in _BELIEFS:
            recent.append(line)
    return found


@cappa.command(name="trace")
@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceCommand:
    """Show the log lines of a request and what its host knew.

    Exit code 1 means that no line tells of the request.
    """

    request_id: typing.Annotated[str, cappa.Arg(help="Id of the request.")]
    logs: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Log files, one a host; standard input without."),
    ] = dataclasses.field(default_factory=list)
    context: typing.Annotated[
        int, cappa.Arg(long=True, help="Changes of belief shown before.")
    ] = 8

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        found: list[LogLine] = []
        if not self.logs:
            found = find_request(
                read_lines("-", sys.stdin), self.request_id, self.context
            )
        for path in self.logs:
            with path.open(encoding="utf-8", errors="replace") as stream:
                found += find_request(
                    read_lines(path.name, stream),
                    self.request_id,
                    self.context,
                )
        for line in found:
            print(f"{line.source}: {json.dumps(line.fields)}")
        if not found:
            print(f"no line tells of {self.request_id}", file=sys.stderr)
            return _EXIT_NOT_FOUND
        return 0
