"""Decide which registered targets may get new requests.

An entry that disappears means that its target leaves, unless the store was
unavailable: entries then expire although their targets are alive, and are
registered again soon after the store recovers.  When most entries of a
service disappear at once, an outage that this host has not observed is the
more likely cause.
"""

import collections
import dataclasses
import enum
import math

from trefoilstand.fleet import leaving_targets
from trefoilstand.fleet import staleness_tracker
from trefoilstand.gateway import const
from trefoilstand.gateway import models
from trefoilstand.telemetry import events


class RetentionCause(enum.StrEnum):
    """Enumerate why a target without an entry stays in use."""

    OUTAGE = "outage"
    MASS_REMOVAL = "mass_removal"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ExpiredEntry:
    """Hold an entry that may have expired because of an outage.

    :param record: the registration.
    :param cause: why its target stays eligible.
    :param until_s: monotonic time up to which it does so.
    """

    record: models.TargetRecord
    cause: RetentionCause
    until_s: float


class TargetRegistry:
    """Hold the registered targets, and leave out those that leave.

    :param leaving: targets that are known to leave, from any source.
    :param staleness: tells how old the known entries may be and when the
        store was unavailable.
    :param drain_s: seconds from the removal of an entry by the store after
        which its target must get no new requests.
    """

    def __init__(
        self,
        *,
        leaving: leaving_targets.LeavingTargets,
        staleness: staleness_tracker.StalenessTracker,
        drain_s: float,
    ) -> None:
        self.leaving = leaving
        self._staleness = staleness
        self._drain_s = drain_s
        self._records: dict[str, models.TargetRecord] = {}
        self._expired: dict[str, _ExpiredEntry] = {}

    def set(self, record: models.TargetRecord, now_s: float) -> None:
        """Add or update the entry of a target.

        :param record: the entry.
        :param now_s: monotonic time.
        """
        self._expired.pop(record.target_id, None)
        self._records[record.target_id] = record
        if record.state is models.TargetState.DRAINING:
            self._mark(record, leaving_targets.Source.STORE, now_s)
        else:
            self.leaving.withdraw_removal(record.target_id, record.incarnation)

    def remove(self, target_ids: list[str], now_s: float) -> None:
        """Remove entries that disappeared in one batch.

        :param target_ids: identities of their targets.
        :param now_s: monotonic time.
        """
        present_counts = collections.Counter(
            record.service
            for record in self._records.values()
            if not self.is_leaving(record)
        )
        removed = [
            record
            for target_id in target_ids
            if (record := self._records.pop(target_id, None)) is not None
            and not self.is_leaving(record)
        ]
        removed_counts = collections.Counter(
            record.service for record in removed
        )
        for record in removed:
            removed_share = (
                removed_counts[record.service] / present_counts[record.service]
            )
            self._retain(
                record,
                now_s,
                is_mass_removal=removed_share >= const.MASS_REMOVAL_SHARE,
            )

    def discard(self, target_ids: list[str], now_s: float) -> None:
        """Drop targets whose entries are not expected to return.

        :param target_ids: identities of the targets.
        :param now_s: monotonic time.
        """
        for target_id in target_ids:
            record = self._records.pop(target_id, None)
            expired = self._expired.pop(target_id, None)
            if record is None and expired is not None:
                record = expired.record
            if record is not None:
                self._mark(record, leaving_targets.Source.REMOVAL, now_s)

    def _retain(
        self,
        record: models.TargetRecord,
        now_s: float,
        *,
        is_mass_removal: bool,
    ) -> None:
        """Mark a removed target, unless its entry may have expired."""
        cause = RetentionCause.OUTAGE
        until_s = self._outage_grace_end_s(now_s)
        if now_s >= until_s and is_mass_removal:
            cause = RetentionCause.MASS_REMOVAL
            # The store removed the entries after the last confirmation.
            until_s = (
                self._staleness.confirmed_s
                + self._drain_s
                - const.DRAIN_MARGIN_S
            )
        if now_s >= until_s:
            self._mark(record, leaving_targets.Source.REMOVAL, now_s)
            return
        self._expired[record.target_id] = _ExpiredEntry(
            record=record, cause=cause, until_s=until_s
        )
        events.info(
            events.TargetRetained(
                target=record.target_id,
                service=record.service,
                cause=cause,
                retained_s=round(until_s - now_s, 3),
            )
        )

    def _outage_grace_end_s(self, now_s: float) -> float:
        """Return when entries that expired in an outage must be back."""
        outage_s = self._staleness.last_outage_s(now_s)
        return outage_s + const.OUTAGE_EXPIRY_GRACE_S

    def expire(self, now_s: float) -> bool:
        """Drop expired entries that were not registered again in time.

        :param now_s: monotonic time.
        :returns: whether any entry was dropped.
        """
        self.leaving.expire(now_s, self._is_registered)
        dropped_ids = [
            target_id
            for target_id, entry in self._expired.items()
            if now_s >= self._retained_until_s(entry, now_s)
        ]
        for target_id in dropped_ids:
            record = self._expired.pop(target_id).record
            self._mark(record, leaving_targets.Source.REMOVAL, now_s)
        return bool(dropped_ids)

    def _retained_until_s(self, entry: _ExpiredEntry, now_s: float) -> float:
        if entry.cause is RetentionCause.MASS_REMOVAL:
            return entry.until_s
        if self._staleness.is_stale(now_s):
            # The entry may be back, unknown to this host.
            return math.inf
        return max(entry.until_s, self._outage_grace_end_s(now_s))

    def _is_registered(self, target_id: str, incarnation: int) -> bool:
        """Return whether an entry shows this process of a target."""
        record = self._records.get(target_id)
        expired = self._expired.get(target_id)
        if record is None and expired is not None:
            record = expired.record
        return record is not None and record.incarnation == incarnation

    def _mark(
        self,
        record: models.TargetRecord,
        source: leaving_targets.Source,
        now_s: float,
    ) -> None:
        self.leaving.add(
            leaving_targets.LeavingMark(
                target_id=record.target_id,
                incarnation=record.incarnation,
                source=source,
                marked_s=now_s,
            ),
            now_s,
        )

    def is_leaving(self, record: models.TargetRecord) -> bool:
        """Return whether the registered process of a target leaves."""
        return self._find_mark(record) is not None

    def is_draining(self, record: models.TargetRecord) -> bool:
        """Return whether a target has itself said that it leaves."""
        mark = self._find_mark(record)
        return (
            mark is not None
            and mark.source is not leaving_targets.Source.REMOVAL
        )

    def _find_mark(
        self, record: models.TargetRecord
    ) -> leaving_targets.LeavingMark | None:
        return self.leaving.find(record.target_id, record.incarnation)

    def eligible_targets(self) -> dict[str, models.TargetRecord]:
        """Return the targets that may get new requests, by identity."""
        records = {
            target_id: entry.record
            for target_id, entry in self._expired.items()
        }
        records.update(self._records)
        return {
            target_id: record
            for target_id, record in records.items()
            if not self.is_leaving(record)
        }
