"""Play many seeds of the soak; script/soak starts this."""

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


def play(seed, duration_s, hosts, keep):
    """Play one seed and return its violations and a line on it."""

    async def whole():
        async with soak.Soak(
            seed=seed, duration_s=duration_s, hosts=hosts
        ) as played:
            await played.run()
            if played.violations and keep is not None:
                shutil.copytree(
                    played.folder, keep / f"seed-{seed}", dirs_exist_ok=True
                )
        statuses = collections.Counter(
            told.status for told in played.evidence.told
        )
        line = f"seed {seed}: {dict(statuses)} {' '.join(played.faults)}"
        return played.violations, line

    return asyncio.run(whole())


@cappa.command(name="soak")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakCommand:
    """Run real entry hosts under random faults and check the promises.

    Exit code 0 means that no seed broke a promise.
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
        """Play the seeds and return the exit code."""
        failed = []
        with concurrent.futures.ProcessPoolExecutor(self.jobs) as pool:
            runs = {
                pool.submit(
                    play, seed, self.seconds, self.hosts, self.keep
                ): seed
                for seed in range(self.first, self.first + self.seeds)
            }
            for run in concurrent.futures.as_completed(runs):
                violations, line = run.result()
                print(line, flush=True)
                for violation in violations:
                    print(f"  broken: {violation}", flush=True)
                if violations:
                    failed.append(runs[run])
        print(f"{self.seeds} seeds, failed: {sorted(failed)}")
        return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cappa.parse(SoakCommand)())
