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
    """Hold the registered targets and those known to be leaving.

    :param staleness: tells how old the known entries may be and when the
        store was unavailable.
    :param drain_s: seconds from the removal of an entry by the store after
        which its target must get no new requests.
    """

    def __init__(
        self,
        *,
        staleness: staleness_tracker.StalenessTracker,
        drain_s: float,
    ) -> None:
        self._staleness = staleness
        self._drain_s = drain_s
        self._records: dict[str, models.TargetRecord] = {}
        self._leaving: dict[str, int] = {}
        self._expired: dict[str, _ExpiredEntry] = {}

    def set(self, record: models.TargetRecord) -> None:
        """Add or update the entry of a target.

        A target that was leaving is used again only as another incarnation.
        Its number may be lower, since it is a time of day and clocks may
        step back; entries themselves never revert to older ones.
        """
        self._expired.pop(record.target_id, None)
        leaving_incarnation = self._leaving.get(record.target_id)
        if record.state is models.TargetState.DRAINING:
            self._leaving[record.target_id] = record.incarnation
        elif (
            leaving_incarnation is not None
            and record.incarnation != leaving_incarnation
        ):
            del self._leaving[record.target_id]
        self._records[record.target_id] = record

    def remove(self, target_ids: list[str], now_s: float) -> None:
        """Remove entries that disappeared in one batch.

        :param target_ids: identities of their targets.
        :param now_s: monotonic time.
        """
        present_counts = collections.Counter(
            record.service
            for target_id, record in self._records.items()
            if target_id not in self._leaving
        )
        removed = [
            record
            for target_id in target_ids
            if (record := self._records.pop(target_id, None)) is not None
            and target_id not in self._leaving
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

    def discard(self, target_ids: list[str]) -> None:
        """Drop targets whose entries are not expected to return.

        :param target_ids: identities of the targets.
        """
        for target_id in target_ids:
            self._records.pop(target_id, None)
            self._expired.pop(target_id, None)

    def _retain(
        self,
        record: models.TargetRecord,
        now_s: float,
        *,
        is_mass_removal: bool,
    ) -> None:
        """Keep a removed target eligible if its entry may have expired."""
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
        dropped_ids = [
            target_id
            for target_id, entry in self._expired.items()
            if now_s >= self._retained_until_s(entry, now_s)
        ]
        for target_id in dropped_ids:
            del self._expired[target_id]
        return bool(dropped_ids)

    def _retained_until_s(self, entry: _ExpiredEntry, now_s: float) -> float:
        if entry.cause is RetentionCause.MASS_REMOVAL:
            return entry.until_s
        if self._staleness.is_stale(now_s):
            # The entry may be back, unknown to this host.
            return math.inf
        return max(entry.until_s, self._outage_grace_end_s(now_s))

    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target has announced that it leaves."""
        return target_id in self._leaving

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
            if target_id not in self._leaving
        }
