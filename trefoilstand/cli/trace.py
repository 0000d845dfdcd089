"""Command `trace`, which finds a request in logs of entry hosts."""

import collections.abc
import dataclasses
import json
import pathlib
import sys
import typing

import cappa

#: Events that change the state known to a host.  Those shortly before a
#: request may explain its outcome.
_STATE_CHANGE_EVENTS: typing.Final = frozenset(
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
        "target_leave_noticed",
        "target_removed",
    }
)
_EXIT_NOT_FOUND: typing.Final = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """Hold one JSON line of a log.

    :param source: file name, and the prefix that stands before the JSON.
    :param fields: decoded JSON object.
    """

    source: str
    fields: dict[str, typing.Any]

    @property
    def event(self) -> str:
        """Return the name of the logged event, empty without one."""
        return str(self.fields.get("event", ""))


def read_lines(
    source: str, lines: collections.abc.Iterable[str]
) -> collections.abc.Iterator[LogLine]:
    """Yield the JSON lines of a log and skip all others.

    Log collectors may put a prefix such as a time and a host name before
    the JSON object; it becomes part of the source.

    :param source: name of the log.
    :param lines: lines of the log.
    """
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            fields = json.loads(line[json_start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            prefix = line[:json_start].strip()
            yield LogLine(source=f"{source} {prefix}".strip(), fields=fields)


def find_request(
    lines: collections.abc.Iterable[LogLine], request_id: str, context: int
) -> list[LogLine]:
    """Return the lines of a request and the state changes before them.

    :param lines: lines of one host, oldest first.
    :param request_id: id of the request.
    :param context: most state changes to return before each line.
    """
    recent_changes: collections.deque[LogLine] = collections.deque(
        maxlen=context
    )
    matching: list[LogLine] = []
    for line in lines:
        if line.fields.get("request_id") == request_id:
            matching += [*recent_changes, line]
            recent_changes.clear()
        elif line.event in _STATE_CHANGE_EVENTS:
            recent_changes.append(line)
    return matching


@cappa.command(name="trace")
@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceCommand:
    """Show the log lines of a request and earlier state changes.

    Exit code 0 means that lines were found, 1 that no line has the
    request id.
    """

    request_id: typing.Annotated[str, cappa.Arg(help="Id of the request.")]
    logs: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(
            help="Log files, one per host; without any, standard input."
        ),
    ] = dataclasses.field(default_factory=list)
    context: typing.Annotated[
        int,
        cappa.Arg(long=True, help="State changes to show before each line."),
    ] = 8

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        matching: list[LogLine] = []
        if not self.logs:
            matching = find_request(
                read_lines("-", sys.stdin), self.request_id, self.context
            )
        for path in self.logs:
            with path.open(encoding="utf-8", errors="replace") as stream:
                matching += find_request(
                    read_lines(path.name, stream),
                    self.request_id,
                    self.context,
                )
        for line in matching:
            print(f"{line.source}: {json.dumps(line.fields)}")
        if not matching:
            print(
                f"no log line has request id {self.request_id}",
                file=sys.stderr,
            )
            return _EXIT_NOT_FOUND
        return 0
