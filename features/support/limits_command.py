"""Check request limits under random faults; started by script/limits."""

import concurrent.futures
import dataclasses
import sys
import typing

import cappa

from features.support import limit_faults
from features.support import limited_fleet
from trefoilstand.cli import output


def run_seed(seed, hosts):
    """Return the largest share of the permitted messages in a window."""
    plan = limit_faults.FaultPlan(seed=seed, hosts=hosts)
    fleet = limited_fleet.simulate(
        hosts=hosts,
        rate_per_s=plan.rate_per_s,
        limits_per_s=plan.limits_per_s,
        events=plan.events,
        loss=plan.loss,
        seed=seed,
    )
    largest_share = max(
        fleet.targets[target_id].largest_told_count()
        / limited_fleet.allowed_count(limit_per_s)
        for target_id, limit_per_s in plan.highest_per_s.items()
    )
    return {
        "seed": seed,
        "hosts": hosts,
        "limited_targets": len(plan.limits_per_s),
        "limit_per_s": next(iter(plan.limits_per_s.values())),
        "requests_per_s": plan.rate_per_s,
        "loss": plan.loss,
        "faults": plan.names,
        "largest_share_of_allowed": round(largest_share, 2),
    }


@cappa.command(name="limits")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsCommand:
    """Run fleets before limited targets under random faults.

    Exit code 0 means that no target got more than the rule allows.
    """

    first: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 1
    hosts: typing.Annotated[int, cappa.Arg(long=True)] = 13
    jobs: typing.Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self):
        """Print one JSON line for each seed and return the exit code."""
        failed = []
        with concurrent.futures.ProcessPoolExecutor(self.jobs) as pool:
            seeds = range(self.first, self.first + self.seeds)
            for result in pool.map(run_seed, seeds, [self.hosts] * self.seeds):
                output.print_json(result)
                if result["largest_share_of_allowed"] > 1.0:
                    failed.append(result["seed"])
        output.print_json({"seeds": self.seeds, "failed": failed})
        return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cappa.parse(LimitsCommand)())
