"""Decide which target processes leave, by all that this host has heard.

A process that leaves may be listed as draining, lose its entry in the store,
or say so in its responses while the store is down and shows it as ready.  What
it says itself is final for that process: no list revokes it, only another
incarnation of the target gets requests again.  An entry that was removed may
return, if its target is alive and only its entry had expired.
"""

import collections
import collections.abc
import dataclasses
import enum
import random
import typing

from trefoilstand.fleet import report_schedule
from trefoilstand.telemetry import events

#: Marks of targets that are not registered are kept for this long, as older
#: state may still show their entries.
_MARK_LIFETIME_S: typing.Final = 600.0
#: Other hosts are told of a mark for this long.
_REPORT_LIFETIME_S: typing.Final = 60.0
#: Most marks that other hosts are told of, as each message looks at all; the
#: newest ones go first.
_MAX_REPORTABLE: typing.Final = 256
#: Most marks that are kept; the oldest ones are dropped first.
_MAX_MARKS: typing.Final = 65_536


class Source(enum.StrEnum):
    """Enumerate where a host learned that a target leaves."""

    STORE = "store"
    REMOVAL = "removal"
    RESPONSE = "response"
    HEALTH_CHECK = "health check"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingMark:
    """Hold that one process of a target leaves.

    :param target_id: id of the target.
    :param incarnation: number that distinguishes starts under one id.
    :param source: where this host learned it first.
    :param marked_s: monotonic time at which any host learned it first, as far
        as this one knows.
    """

    target_id: str
    incarnation: int
    source: Source
    marked_s: float

    @property
    def is_from_store(self) -> bool:
        """Return whether other hosts learn the same from the store."""
        return self.source in (Source.STORE, Source.REMOVAL)


#: Called with a mark that was not known before.
Listener: typing.TypeAlias = collections.abc.Callable[[LeavingMark], None]


class LeavingTargets:
    """Hold the marks of processes that leave.

    :param random_source: chooses reports when not all fit a message.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._marks: collections.OrderedDict[tuple[str, int], LeavingMark] = (
            collections.OrderedDict()
        )
        #: Marks that other hosts cannot learn from the store, by their key in
        #: the schedule.
        self._reportable: dict[str, LeavingMark] = {}
        self._schedule = report_schedule.ReportSchedule(
            random_source=random_source
        )
        self._listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self._marks)

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called with each new mark."""
        self._listeners.append(listener)

    def add(self, mark: LeavingMark, now_s: float) -> bool:
        """Add a mark unless the process is known to leave.

        :param mark: what this host has heard.
        :param now_s: monotonic time.
        :returns: whether this was not known before.
        """
        key = (mark.target_id, mark.incarnation)
        known = self._marks.get(key)
        if known is not None and mark.source is Source.STORE:
            # All hosts learn it from there as well.
            self._stop_reporting(key)
        if known is not None and (
            known.source is not Source.REMOVAL or mark.source is Source.REMOVAL
        ):
            return False
        self._marks[key] = mark
        if len(self._marks) > _MAX_MARKS:
            self._drop(next(iter(self._marks)))
        if not mark.is_from_store:
            self._start_reporting(mark, now_s)
        if known is None:
            events.info(
                events.TargetLeaveNoticed(
                    target=mark.target_id,
                    incarnation=mark.incarnation,
                    source=mark.source,
                    age_s=round(now_s - mark.marked_s, 3),
                )
            )
        for listener in self._listeners:
            listener(mark)
        return True

    def withdraw_removal(self, target_id: str, incarnation: int) -> None:
        """Drop the mark of a process whose removed entry has returned.

        A mark that rests on what the process said stays.

        :param target_id: id of the target.
        :param incarnation: start of the target that the entry shows.
        """
        known = self.find(target_id, incarnation)
        if known is not None and known.source is Source.REMOVAL:
            self._drop((target_id, incarnation))

    def find(self, target_id: str, incarnation: int) -> LeavingMark | None:
        """Return the mark of a process, None if it does not leave.

        :param target_id: id of the target.
        :param incarnation: start of the target that is asked for.
        """
        return self._marks.get((target_id, incarnation))

    def choose_reports(
        self, max_count: int, now_s: float, *, is_new_receiver: bool = False
    ) -> list[LeavingMark]:
        """Return marks for the next message to another host.

        :param max_count: most marks that fit the message.
        :param now_s: monotonic time.
        :param is_new_receiver: whether the receiver has just started and
            knows no marks.
        """
        chosen = self._schedule.choose(
            self._reportable,
            max_count,
            now_s,
            is_new_receiver=is_new_receiver,
        )
        return [self._reportable[key] for key in chosen]

    def expire(
        self,
        now_s: float,
        is_registered: collections.abc.Callable[[str, int], bool],
    ) -> None:
        """End old reports, and drop old marks without a registered process.

        :param now_s: monotonic time.
        :param is_registered: returns whether an entry shows a process, by its
            target's id and its incarnation.
        """
        while self._reportable:
            oldest = next(iter(self._reportable.values()))
            if now_s - oldest.marked_s <= _REPORT_LIFETIME_S:
                break
            self._stop_reporting((oldest.target_id, oldest.incarnation))
        expired: list[tuple[str, int]] = []
        for key, mark in self._marks.items():
            if now_s - mark.marked_s <= _MARK_LIFETIME_S:
                # The others were added later.
                break
            if not is_registered(*key):
                expired.append(key)
        for key in expired:
            self._drop(key)

    def add_suspension(self, duration_s: float) -> None:
        """Correct the times of reports for a suspension of this host.

        :param duration_s: time that the monotonic clock did not count.
        """
        self._schedule.add_suspension(duration_s)

    def _drop(self, key: tuple[str, int]) -> None:
        del self._marks[key]
        self._stop_reporting(key)

    def _start_reporting(self, mark: LeavingMark, now_s: float) -> None:
        report_key = _report_key((mark.target_id, mark.incarnation))
        self._reportable[report_key] = mark
        self._schedule.record_news(report_key, now_s)
        if len(self._reportable) > _MAX_REPORTABLE:
            oldest = next(iter(self._reportable.values()))
            self._stop_reporting((oldest.target_id, oldest.incarnation))

    def _stop_reporting(self, key: tuple[str, int]) -> None:
        self._reportable.pop(_report_key(key), None)
        self._schedule.forget(_report_key(key))


def _report_key(key: tuple[str, int]) -> str:
    target_id, incarnation = key
    return f"{target_id} {incarnation}"
