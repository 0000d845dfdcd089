"""Share of one process in the measuring budget of the fleet.

The share follows from the operators' text alone: the budget of each
window, divided by the greatest number of entry processes that may live at
once.  It does not depend on who is alive, so two views of the fleet, a
partition, or a replaced host that still runs cannot raise the sum.  Every
window of the fixed length is held to the share, so there is no burst after
an idle or frozen time.
"""

import collections
import dataclasses
import threading

from trefoilstand import exceptions
from trefoilstand.configuration import const as configuration_const
from trefoilstand.configuration import models as configuration_models
from trefoilstand.measuring import const


class BudgetExceededError(exceptions.InvariantError):
    """Represent a probe beyond the share of this process."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Hold what one process may spend in any window.

    :param window_probes: probes to all targets together.
    :param target_window_probes: probes to one target.
    """

    window_probes: int
    target_window_probes: int


def compute_share(
    budget: configuration_models.MeasuringBudget, known_processes: int
) -> Share:
    """Return the share of one process.

    :param budget: budget of the fleet in the operators' text.
    :param known_processes: entry processes that are known; more than the
        text allows for shrink the share at once.
    """
    processes = max(budget.max_entry_processes, known_processes)
    probes_per_second = min(
        budget.fleet_probes_per_second,
        budget.fleet_bytes_per_second / configuration_const.PROBE_BYTES,
    )
    return Share(
        window_probes=int(probes_per_second * const.WINDOW_S / processes),
        target_window_probes=int(
            budget.target_probes_per_second * const.WINDOW_S / processes
        ),
    )


class ProbeLedger:
    """Record the probes of the last window and permit further ones."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._share = Share(window_probes=0, target_window_probes=0)
        self._sent: collections.deque[tuple[float, str]] = collections.deque()
        self._by_target: collections.Counter[str] = collections.Counter()

    def set_share(self, share: Share) -> None:
        """Replace the share; what was spent stays counted."""
        with self._lock:
            self._share = share

    def has_room(self, now_s: float) -> bool:
        """Return whether any probe may be sent now."""
        with self._lock:
            self._expire(now_s)
            return len(self._sent) < self._share.window_probes

    def try_spend(self, address: str, now_s: float) -> bool:
        """Charge one probe and return whether it may be sent."""
        with self._lock:
            self._expire(now_s)
            if len(self._sent) >= self._share.window_probes:
                return False
            limit = self._share.target_window_probes
            if self._by_target[address] >= limit:
                return False
            self._sent.append((now_s, address))
            self._by_target[address] += 1
            self._check()
            return True

    def _check(self) -> None:
        if len(self._sent) > self._share.window_probes:
            raise BudgetExceededError(
                f"{len(self._sent)} probes in one window"
            )

    def _expire(self, now_s: float) -> None:
        while self._sent and self._sent[0][0] <= now_s - const.WINDOW_S:
            _, address = self._sent.popleft()
            self._by_target[address] -= 1
            if not self._by_target[address]:
                del self._by_target[address]
