"""Random faults for a fleet before targets with request limits."""

import random

from features.support import limited_fleet

_TARGETS = 12
_LIMITS_PER_S = (0.5, 1.0, 2.5, 3.6, 4.2, 9.0)
#: Faults begin up to this long before the limits.
_LEAD_S = 4.0


class FaultPlan:
    """Limits, load and overlapping faults that follow from a seed.

    :param seed: seed of all random choices.
    :param hosts: number of entry hosts.
    """

    def __init__(self, *, seed, hosts):
        self._random = random.Random(seed)
        self._hosts = hosts
        limit_per_s = self._random.choice(_LIMITS_PER_S)
        limited = self._random.sample(
            range(_TARGETS), self._random.choice((1, 2, 6, _TARGETS))
        )
        self.limits_per_s = {str(number): limit_per_s for number in limited}
        self.rate_per_s = self._random.choice((100.0, 200.0, 400.0))
        self.loss = self._random.choice((0.0, 0.0, 0.1, 0.3))
        #: Highest limit that each target states.
        self.highest_per_s = dict(self.limits_per_s)
        self.events = []
        self.names = []
        faults = (
            self._restart_one,
            self._restart_many,
            self._restart_in_turn,
            self._cut_domain,
            self._change_limits,
        )
        for _ in range(self._random.randrange(1, 5)):
            start_s = self._random.uniform(
                limited_fleet.LIMIT_START_S - _LEAD_S,
                limited_fleet.LIMIT_END_S - _LEAD_S,
            )
            fault = self._random.choice(faults)
            self.names.append(f"{fault.__name__[1:]} at {start_s:.1f} s")
            fault(start_s)

    def _restart(self, time_s, number, down_s):
        async def restart(fleet):
            await fleet.restart(number, down_s)

        self.events.append((time_s, restart))

    def _restart_one(self, start_s):
        self._restart(
            start_s,
            self._random.randrange(self._hosts),
            self._random.uniform(0.1, 3.0),
        )

    def _restart_many(self, start_s):
        count = self._hosts * self._random.randrange(3, 11) // 10
        for number in self._random.sample(range(self._hosts), max(count, 1)):
            self._restart(start_s, number, self._random.uniform(0.2, 2.0))

    def _restart_in_turn(self, start_s):
        numbers = self._random.sample(range(self._hosts), min(self._hosts, 8))
        for index, number in enumerate(numbers):
            self._restart(start_s + index, number, 0.3)

    def _cut_domain(self, start_s):
        domain = f"d{self._random.randrange(3)}"

        async def cut(fleet):
            fleet.net.cut_domains = {domain}

        async def heal(fleet):
            fleet.net.cut_domains = set()

        end_s = start_s + self._random.uniform(1.0, 8.0)
        self.events += [(start_s, cut), (end_s, heal)]

    def _change_limits(self, start_s):
        for target_id, limit_per_s in self.limits_per_s.items():
            for index in range(4):
                time_s = start_s + index * self._random.uniform(0.5, 1.5)
                changed_per_s = round(
                    max(limit_per_s * self._random.uniform(0.7, 1.3), 0.1), 1
                )
                if (
                    limited_fleet.LIMIT_START_S
                    < time_s
                    < limited_fleet.LIMIT_END_S
                ):
                    self._change_limit(time_s, target_id, changed_per_s)

    def _change_limit(self, time_s, target_id, limit_per_s):
        async def change(fleet):
            fleet.targets[target_id].limit_per_s = limit_per_s

        self.events.append((time_s, change))
        self.highest_per_s[target_id] = max(
            self.highest_per_s[target_id], limit_per_s
        )
