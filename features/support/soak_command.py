"""Run the soak for a range of seeds; started by script/soak."""

import asyncio
import collections
import concurrent.futures
import dataclasses
import pathlib
import shutil
import sys
import typing

import cappa

from features.support import soak


def run_seed(seed, duration_s, hosts, keep):
    """Run one seed and return its violations and a summary line."""

    async def run_soak():
        async with soak.Soak(
            seed=seed, duration_s=duration_s, hosts=hosts
        ) as soak_run:
            await soak_run.run()
            if soak_run.violations and keep is not None:
                shutil.copytree(
                    soak_run.folder, keep / f"seed-{seed}", dirs_exist_ok=True
                )
        statuses = collections.Counter(
            result.status for result in soak_run.evidence.caller_results
        )
        line = f"seed {seed}: {dict(statuses)} {' '.join(soak_run.faults)}"
        return soak_run.violations, line

    return asyncio.run(run_soak())


@cappa.command(name="soak")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakCommand:
    """Run real entry hosts under random faults and check the guarantees.

    Exit code 0 means that no seed violated a guarantee.
    """

    first: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 1
    jobs: typing.Annotated[int, cappa.Arg(long=True)] = 1
    hosts: typing.Annotated[int, cappa.Arg(long=True)] = 4
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 12.0
    keep: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="folder for the logs of seeds that fail"),
    ] = None

    def __call__(self):
        """Run the seeds and return the exit code."""
        failed = []
        with concurrent.futures.ProcessPoolExecutor(self.jobs) as pool:
            runs = {
                pool.submit(
                    run_seed, seed, self.seconds, self.hosts, self.keep
                ): seed
                for seed in range(self.first, self.first + self.seeds)
            }
            for run in concurrent.futures.as_completed(runs):
                violations, line = run.result()
                print(line, flush=True)
                for violation in violations:
                    print(f"  violation: {violation}", flush=True)
                if violations:
                    failed.append(runs[run])
        print(f"{self.seeds} seeds, failed: {sorted(failed)}")
        return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cappa.parse(SoakCommand)())
