"""Run real entry hosts under random faults and check the guarantees.

All faults are injected from outside the programs: signals to processes, a
loopback proxy in front of each target and between each host and the store,
and a store that fails.  Faults overlap.  The checks use only what callers
and targets observe.
"""

import asyncio
import json
import random
import signal
import time

from features.support import fault_proxy
from features.support import platform_fleet
from features.support import soak_checks
from features.support import soak_targets

_CALLERS = 12
#: Fault-free time at the end, in which hosts must serve again.
_RECOVERY_S = 6.0
#: Grace period of the hosts, and the time after SIGTERM at which they must
#: have exited.  One that is frozen gets the difference from its resumption.
_GRACE_S = 6.0
_STOP_TIMEOUT_S = 7.0


class Soak(platform_fleet.PlatformFleet):
    """Run a fleet under the random faults of one seed.

    :param seed: seed of the random sequence of faults.
    :param hosts: number of entry hosts.
    :param targets: number of targets at the start.
    :param duration_s: seconds during which faults are injected.
    """

    def __init__(self, *, seed, hosts=4, targets=6, duration_s=12.0):
        super().__init__(
            hosts=hosts, targets=0, network=f"127.50.{1 + seed % 250}"
        )
        self.seed = seed
        self.duration_s = duration_s
        self._random = random.Random(seed)
        self.evidence = soak_checks.Evidence(
            host_disturbances=[soak_checks.Disturbance() for _ in range(hosts)]
        )
        self.faults = []
        self.violations = []
        self._target_count = 0
        self._crashed_targets = []
        #: Times at which frozen processes resume, by process id.
        self._resumes_s = {}
        self._store_proxies = []
        self.targets = [self._make_target() for _ in range(targets)]

    def _make_target(self):
        self._target_count += 1
        return soak_targets.SoakTarget(
            number=self._target_count,
            domain=f"zone-{self._target_count % 2}",
            target_records=self.evidence.target_records,
            random_source=random.Random(f"{self.seed}-{self._target_count}"),
        )

    async def __aenter__(self):
        for number, host in enumerate(self.hosts):
            proxy = fault_proxy.FaultProxy(
                ip=host.ip,
                port=8642,
                upstream=(self.store_ip, 8642),
            )
            await proxy.start()
            self._store_proxies.append(proxy)
            settings = json.loads(host.path.read_text())
            settings["platform"]["address"] = f"{host.ip}:8642"
            host.path.write_text(json.dumps(settings))
            self.evidence.host_disturbances[number].extend()
        return await super().__aenter__()

    async def __aexit__(self, *details):
        await super().__aexit__(*details)
        for proxy in self._store_proxies:
            proxy.stop()
        for target in self.evidence.withdrawn_targets:
            target.stop()

    def prefixes(self):
        """Return pairs of a path prefix and whether it is idempotent."""
        newest_version = len(self.evidence.published_s)
        versions = range(max(newest_version - 1, 1), newest_version + 1)
        version_prefixes = [(f"/v{version}/", True) for version in versions]
        return [("/q/", False), ("/q/", False), *version_prefixes]

    async def run(self):
        """Inject the faults of the seed and collect violations."""
        until_s = time.monotonic() + self.duration_s
        callers = [
            soak_targets.SoakCaller(
                number=number,
                hosts=self.hosts,
                results=self.evidence.caller_results,
                prefixes=self.prefixes,
                seed=self.seed,
            )
            for number in range(_CALLERS)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.send_until(until_s + _RECOVERY_S))
            while time.monotonic() < until_s:
                fault = self._random.choice(_FAULTS)
                self.faults.append(fault.__name__.strip("_"))
                group.create_task(fault(self))
                await asyncio.sleep(self._random.expovariate(1 / 0.8))
        self.evidence.ended_s = time.monotonic()
        self.evidence.remaining_targets = list(self.targets)
        self.violations += soak_checks.check(self.evidence)

    # Faults.

    def _random_host(self):
        number = self._random.randrange(len(self.hosts))
        return (
            number,
            self.hosts[number],
            self.evidence.host_disturbances[number],
        )

    async def _kill(self):
        _, host, disturbance = self._random_host()
        if host.process.poll() is not None:
            return
        disturbance.killed_s.append(time.monotonic())
        disturbance.extend(1.5)
        host.stop()
        await asyncio.sleep(self._random.uniform(0.0, 0.8))
        self._start(host, disturbance)

    async def _kill_all(self):
        for host, disturbance in zip(
            self.hosts, self.evidence.host_disturbances, strict=True
        ):
            disturbance.killed_s.append(time.monotonic())
            host.stop()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        for host, disturbance in zip(
            self.hosts, self.evidence.host_disturbances, strict=True
        ):
            self._start(host, disturbance)

    def _start(self, host, disturbance):
        if host.process.poll() is not None:
            disturbance.extend(1.5)
            host.start()

    async def _freeze(self):
        _, host, disturbance = self._random_host()
        seconds = self._random.uniform(0.1, 3.0)
        if host.process.poll() is not None:
            return
        disturbance.extend(seconds)
        frozen_process = host.process
        frozen_process.send_signal(signal.SIGSTOP)
        resumes_s = time.monotonic() + seconds
        self._resumes_s[frozen_process.pid] = max(
            resumes_s, self._resumes_s.get(frozen_process.pid, 0.0)
        )
        await asyncio.sleep(seconds)
        if frozen_process.poll() is None:
            frozen_process.send_signal(signal.SIGCONT)
        disturbance.extend()

    def _earliest_kill_s(self, process):
        """Return until when a process that was frozen may still run."""
        resumes_s = self._resumes_s.get(process.pid, float("-inf"))
        return resumes_s + _STOP_TIMEOUT_S - _GRACE_S

    async def _terminate(self):
        _, host, disturbance = self._random_host()
        terminating_process = host.process
        if terminating_process.poll() is not None:
            return
        terminating_process.send_signal(signal.SIGTERM)
        disturbance.extend(_STOP_TIMEOUT_S)
        until_s = time.monotonic() + _STOP_TIMEOUT_S
        while terminating_process.poll() is None and time.monotonic() < max(
            until_s, self._earliest_kill_s(terminating_process)
        ):
            disturbance.extend()
            await asyncio.sleep(0.05)
        if terminating_process.poll() is None:
            self.violations.append(
                f"{host.ip} did not exit within 7 s of SIGTERM"
            )
            disturbance.killed_s.append(time.monotonic())
            host.stop()
        if host.process is terminating_process:
            self._start(host, disturbance)

    async def _reload(self):
        host = self._random.choice(self.hosts)
        if host.process.poll() is None:
            host.process.send_signal(signal.SIGHUP)

    async def _disturb_store_of_one(self):
        number, _, disturbance = self._random_host()
        await self._disturb(self._store_proxies[number], disturbance)

    async def _disturb_target(self):
        target = self._random.choice(self.targets)
        await self._disturb(target.proxy, soak_checks.Disturbance())

    async def _disturb(self, proxy, disturbance):
        fault = self._random.choice(list(fault_proxy.Fault)[1:])
        seconds = self._random.uniform(0.2, 3.0)
        disturbance.extend(seconds)
        proxy.set_fault(fault, delay_s=self._random.uniform(0.01, 0.5))
        await asyncio.sleep(seconds)
        proxy.set_fault(fault_proxy.Fault.NONE)
        # Silent connections are detected by timeouts only.
        disturbance.extend(soak_checks.STABLE_S)

    async def _store_down(self):
        seconds = self._random.uniform(0.2, 3.0)
        self.evidence.store_disturbance.extend(seconds)
        self.store.is_down = True
        await asyncio.sleep(seconds)
        self.store.is_down = False
        self.evidence.store_disturbance.extend()

    async def _compact(self):
        self.evidence.store_disturbance.extend()
        self.store.compact()

    async def _drain_target(self):
        if len(self.targets) <= 3 or self.store.is_down:
            return
        drained_target = self._random.choice(self.targets)
        self.targets.remove(drained_target)
        self.evidence.withdrawn_targets.append(drained_target)
        if self._random.random() < 0.7:
            self.register(drained_target, state="draining")
        else:
            self.unregister(drained_target)
        drained_target.withdrawn_s = time.monotonic()
        await self._add_target()

    async def _crash_target(self):
        if len(self.targets) <= 3:
            return
        crashed_target = self._random.choice(self.targets)
        self.targets.remove(crashed_target)
        self._crashed_targets.append(crashed_target)
        crashed_target.stop()
        await asyncio.sleep(1.0)
        if not self.store.is_down:
            self.unregister(crashed_target)
        await self._add_target()

    async def _add_target(self):
        await asyncio.sleep(0.5)
        if self.store.is_down:
            return
        new_target = self._make_target()
        await new_target.start()
        self.targets.append(new_target)
        self.register(new_target)

    async def _configure(self):
        if self.store.is_down:
            return
        newest_version = len(self.evidence.published_s) + 1
        self.publish(["/q/"], safe=[f"/v{newest_version}/"])
        self.evidence.published_s.append(time.monotonic())


_FAULTS = (
    Soak._kill,
    Soak._kill_all,
    Soak._freeze,
    Soak._freeze,
    Soak._terminate,
    Soak._terminate,
    Soak._reload,
    Soak._disturb_store_of_one,
    Soak._disturb_store_of_one,
    Soak._disturb_target,
    Soak._disturb_target,
    Soak._disturb_target,
    Soak._store_down,
    Soak._compact,
    Soak._drain_target,
    Soak._drain_target,
    Soak._crash_target,
    Soak._configure,
    Soak._configure,
)
