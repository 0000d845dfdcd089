"""Run real entry hosts under random faults and check the promises.

Faults come from outside the programs: signals to processes, a loopback
proxy before each target and between each host and the store, and a store
that fails.  They overlap.  What is checked is what callers and targets see.
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
#: Time in calm at the end, in which hosts must serve again.
_CALM_S = 6.0


class Soak(platform_fleet.PlatformFleet):
    """Play one seed.

    :param seed: decides all faults.
    :param hosts: entry hosts.
    :param duration_s: time under faults.
    """

    def __init__(self, *, seed, hosts=4, targets=6, duration_s=12.0):
        super().__init__(
            hosts=hosts, targets=0, network=f"127.50.{1 + seed % 250}"
        )
        self.seed = seed
        self.duration_s = duration_s
        self._random = random.Random(seed)
        self.evidence = soak_checks.Evidence(
            disturbed=[soak_checks.Disturbed() for _ in range(hosts)]
        )
        self.faults = []
        self.violations = []
        self._made = 0
        self._crashed = []
        self._store_proxies = []
        self.targets = [self._make_target() for _ in range(targets)]

    def _make_target(self):
        self._made += 1
        return soak_targets.SoakTarget(
            number=self._made,
            domain=f"zone-{self._made % 2}",
            seen=self.evidence.seen,
            random_source=random.Random(f"{self.seed}-{self._made}"),
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
            self.evidence.disturbed[number].note()
        return await super().__aenter__()

    async def __aexit__(self, *details):
        await super().__aexit__(*details)
        for proxy in self._store_proxies:
            proxy.stop()
        for target in self.evidence.gone:
            target.stop()

    def prefixes(self):
        """Return the path prefixes that callers use."""
        newest = len(self.evidence.published)
        versions = range(max(newest - 1, 1), newest + 1)
        extra = [(f"/v{version}/", True) for version in versions]
        return [("/q/", False), ("/q/", False), *extra]

    async def run(self):
        """Play the seed; violations are collected."""
        until_s = time.monotonic() + self.duration_s
        callers = [
            soak_targets.SoakCaller(
                number=number,
                hosts=self.hosts,
                told=self.evidence.told,
                prefixes=self.prefixes,
                seed=self.seed,
            )
            for number in range(_CALLERS)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.repeat(until_s + _CALM_S))
            while time.monotonic() < until_s:
                fault = self._random.choice(_FAULTS)
                self.faults.append(fault.__name__.strip("_"))
                group.create_task(fault(self))
                await asyncio.sleep(self._random.expovariate(1 / 0.8))
        self.evidence.ended_s = time.monotonic()
        self.evidence.remaining = list(self.targets)
        self.violations += soak_checks.check(self.evidence)

    # Faults.

    def _any_host(self):
        number = self._random.randrange(len(self.hosts))
        return number, self.hosts[number], self.evidence.disturbed[number]

    async def _kill(self):
        _, host, state = self._any_host()
        if host.process.poll() is not None:
            return
        state.killed_s.append(time.monotonic())
        state.note(1.5)
        host.stop()
        await asyncio.sleep(self._random.uniform(0.0, 0.8))
        self._start(host, state)

    async def _kill_all(self):
        for host, state in zip(
            self.hosts, self.evidence.disturbed, strict=True
        ):
            state.killed_s.append(time.monotonic())
            host.stop()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        for host, state in zip(
            self.hosts, self.evidence.disturbed, strict=True
        ):
            self._start(host, state)

    def _start(self, host, state):
        if host.process.poll() is not None:
            state.note(1.5)
            host.start()

    async def _freeze(self):
        _, host, state = self._any_host()
        seconds = self._random.uniform(0.1, 3.0)
        if host.process.poll() is not None:
            return
        state.note(seconds)
        frozen = host.process
        frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if frozen.poll() is None:
            frozen.send_signal(signal.SIGCONT)
        state.note()

    async def _terminate(self):
        _, host, state = self._any_host()
        ending = host.process
        if ending.poll() is not None:
            return
        ending.send_signal(signal.SIGTERM)
        state.note(7.0)
        until_s = time.monotonic() + 7.0
        while ending.poll() is None and time.monotonic() < until_s:
            state.note()
            await asyncio.sleep(0.05)
        if ending.poll() is None:
            self.violations.append("a host did not end after SIGTERM")
            state.killed_s.append(time.monotonic())
            host.stop()
        if host.process is ending:
            self._start(host, state)

    async def _reload(self):
        host = self._random.choice(self.hosts)
        if host.process.poll() is None:
            host.process.send_signal(signal.SIGHUP)

    async def _disturb_store_of_one(self):
        number, _, state = self._any_host()
        await self._disturb(self._store_proxies[number], state)

    async def _disturb_target(self):
        target = self._random.choice(self.targets)
        await self._disturb(target.proxy, soak_checks.Disturbed())

    async def _disturb(self, proxy, state):
        fault = self._random.choice(list(fault_proxy.Fault)[1:])
        seconds = self._random.uniform(0.2, 3.0)
        state.note(seconds)
        proxy.set(fault, delay_s=self._random.uniform(0.01, 0.5))
        await asyncio.sleep(seconds)
        proxy.set(fault_proxy.Fault.NONE)
        # Connections that went silent are noticed by time-outs alone.
        state.note(soak_checks.STABLE_S)

    async def _store_down(self):
        seconds = self._random.uniform(0.2, 3.0)
        self.evidence.store.note(seconds)
        self.store.is_down = True
        await asyncio.sleep(seconds)
        self.store.is_down = False
        self.evidence.store.note()

    async def _compact(self):
        self.evidence.store.note()
        self.store.compact()

    async def _drain_target(self):
        if len(self.targets) <= 3 or self.store.is_down:
            return
        leaving = self._random.choice(self.targets)
        self.targets.remove(leaving)
        self.evidence.gone.append(leaving)
        if self._random.random() < 0.7:
            self.register(leaving, state="draining")
        else:
            self.unregister(leaving)
        leaving.left_s = time.monotonic()
        await self._add_target()

    async def _crash_target(self):
        if len(self.targets) <= 3:
            return
        crashed = self._random.choice(self.targets)
        self.targets.remove(crashed)
        self._crashed.append(crashed)
        crashed.stop()
        await asyncio.sleep(1.0)
        if not self.store.is_down:
            self.unregister(crashed)
        await self._add_target()

    async def _add_target(self):
        await asyncio.sleep(0.5)
        if self.store.is_down:
            return
        added = self._make_target()
        await added.start()
        self.targets.append(added)
        self.register(added)

    async def _configure(self):
        if self.store.is_down:
            return
        newest = len(self.evidence.published) + 1
        self.publish(["/q/"], safe=[f"/v{newest}/"])
        self.evidence.published.append(time.monotonic())


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
