"""Decide which registered targets may get new work.

An entry that disappears means that its target leaves, unless the store was
unavailable: entries lapse then although their targets live, and are back
soon after the store's return.  When most entries of a service disappear at
once, an outage that nobody here has seen is the likelier cause.
"""

import collections
import dataclasses

from trefoilstand.gateway import const
from trefoilstand.gateway import models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Lapsed:
    """Remember an entry that may have lapsed in an outage."""

    record: models.TargetRecord
    until_s: float


class TargetRegistry:
    """Hold the registered targets and remember those that leave."""

    def __init__(self) -> None:
        self._records: dict[str, models.TargetRecord] = {}
        self._leaving: dict[str, int] = {}
        self._lapsed: dict[str, _Lapsed] = {}
        self._outage_until_s = float("-inf")

    def note_outage(self, now_s: float) -> None:
        """Record that the store did not answer a moment ago."""
        self._outage_until_s = now_s + const.LAPSE_GRACE_S

    def set(self, record: models.TargetRecord) -> None:
        """Take over a newer entry."""
        self._lapsed.pop(record.target_id, None)
        left = self._leaving.get(record.target_id)
        if record.state is models.TargetState.DRAINING:
            self._leaving[record.target_id] = record.incarnation
        elif left is not None and record.incarnation > left:
            del self._leaving[record.target_id]
        self._records[record.target_id] = record

    def remove(self, target_ids: list[str], now_s: float) -> None:
        """Take over the removal of entries that disappeared together."""
        present = collections.Counter(
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
        lost = collections.Counter(record.service for record in removed)
        for record in removed:
            until_s = self._outage_until_s
            share = lost[record.service] / present[record.service]
            if share >= const.MASS_REMOVAL_SHARE:
                until_s = max(until_s, now_s + const.MASS_REMOVAL_GRACE_S)
            if now_s < until_s:
                self._lapsed[record.target_id] = _Lapsed(
                    record=record, until_s=until_s
                )

    def expire(self, now_s: float) -> bool:
        """Drop lapsed entries that did not return; tell if any did."""
        ended = [
            target_id
            for target_id, lapsed in self._lapsed.items()
            if now_s >= lapsed.until_s and now_s >= self._outage_until_s
        ]
        for target_id in ended:
            del self._lapsed[target_id]
        return bool(ended)

    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target was seen to leave."""
        return target_id in self._leaving

    def eligible(self) -> dict[str, models.TargetRecord]:
        """Return the targets that may get new work."""
        records = {
            target_id: lapsed.record
            for target_id, lapsed in self._lapsed.items()
        }
        records.update(self._records)
        return {
            target_id: record
            for target_id, record in records.items()
            if target_id not in self._leaving
        }
