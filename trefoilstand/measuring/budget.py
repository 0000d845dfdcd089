"""Share of one process in the probe budget of the fleet.

The share is derived from the operators' text: the budget of each window,
divided by the maximum number of entry processes that may live at once.  It
does not grow when fewer processes are known to be alive, so differing views
of the fleet, a partition, or a replaced host that still runs cannot raise
the total.  The share limits every sliding window of the fixed length, so
there is no burst after an idle period or a process freeze.
"""

import collections
import dataclasses
import threading

from trefoilstand import exceptions
from trefoilstand.configuration import const as configuration_const
from trefoilstand.configuration import models as configuration_models
from trefoilstand.measuring import const


class BudgetExceededError(exceptions.InvariantError):
    """Represent a probe that exceeds the share of this process."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Limit how many probes one process may send in any window.

    :param window_probes: probes to all targets together.
    :param target_window_probes: probes to any one target.
    """

    window_probes: int
    target_window_probes: int


def compute_share(
    budget: configuration_models.MeasuringBudget, known_processes: int
) -> Share:
    """Return the share of one process.

    :param budget: budget of the fleet in the operators' text.
    :param known_processes: entry processes that are known; if there are
        more than the text allows for, the share shrinks immediately.
    """
    processes = max(budget.max_entry_processes, known_processes)
    probes_per_second = min(
        budget.fleet_probes_per_second,
        budget.fleet_bytes_per_second / configuration_const.PROBE_BYTES,
    )
    return Share(
        window_probes=int(
            probes_per_second * const.BUDGET_WINDOW_S / processes
        ),
        target_window_probes=int(
            budget.target_probes_per_second * const.BUDGET_WINDOW_S / processes
        ),
    )


class ProbeRateLimiter:
    """Limit the probes of this process in each sliding window.

    All methods may be called from several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._share = Share(window_probes=0, target_window_probes=0)
        self._probes_in_window: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._probe_count_by_target: collections.Counter[str] = (
            collections.Counter()
        )

    def set_share(self, share: Share) -> None:
        """Replace the share; probes already sent stay counted.

        :param share: limits of this process from now on.
        """
        with self._lock:
            self._share = share

    def has_capacity(self, now_s: float) -> bool:
        """Return whether the share allows another probe now.

        :param now_s: monotonic time in seconds.
        """
        with self._lock:
            self._expire(now_s)
            return len(self._probes_in_window) < self._share.window_probes

    def try_spend(self, address: str, now_s: float) -> bool:
        """Count one probe if the share allows it.

        :param address: target of the probe.
        :param now_s: monotonic time in seconds.
        :returns: True where the probe is counted and may be sent.
        """
        with self._lock:
            self._expire(now_s)
            if len(self._probes_in_window) >= self._share.window_probes:
                return False
            max_target_probes = self._share.target_window_probes
            if self._probe_count_by_target[address] >= max_target_probes:
                return False
            self._probes_in_window.append((now_s, address))
            self._probe_count_by_target[address] += 1
            self._check_share()
            return True

    def _check_share(self) -> None:
        if len(self._probes_in_window) > self._share.window_probes:
            raise BudgetExceededError(
                f"{len(self._probes_in_window)} probes in one window "
                f"exceed the share of {self._share.window_probes}"
            )

    def _expire(self, now_s: float) -> None:
        while (
            self._probes_in_window
            and self._probes_in_window[0][0] <= now_s - const.BUDGET_WINDOW_S
        ):
            _, address = self._probes_in_window.popleft()
            self._probe_count_by_target[address] -= 1
            if not self._probe_count_by_target[address]:
                del self._probe_count_by_target[address]
