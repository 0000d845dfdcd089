"""Entry hosts as processes; store and targets run in the test's loop."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import uvloop

from features.support import scripted_http
from trefoilstand.http import server
from trefoilstand.standins import store_service

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_NETWORK = "127.50.0"
_STORE_HOST_NUMBER = 200
_HOST_NAME = "app.example"


class PlatformHost:
    """One daemon process with its own loopback address."""

    def __init__(self, *, number, folder, network, limits=None):
        self.network = network
        self.limits = limits
        self.ip = f"{network}.{number + 1}"
        self.path = folder / f"boot-{number}.json"
        self.log_path = folder / f"log-{number}.txt"
        self.process = None
        self.path.write_text(json.dumps(self._settings(number)))

    def _settings(self, number):
        return {
            "node": f"front-{number}",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": f"zone-{number % 2}",
            "listen": {
                "front": f"{self.ip}:8641",
                "ready": f"{self.ip}:8640",
                "control": f"{self.ip}:8649",
                "directory": f"{self.ip}:8644",
            },
            "internal-ports": [7620, 7635],
            "seeds": [
                f"{self.network}.{seed_number}:8649" for seed_number in (1, 2)
            ],
            "bootstrap": False,
            "bounds": ["drain=2000ms", "grace=6s", "budget-extra=56"],
            "platform": {
                "address": f"{self.network}.{_STORE_HOST_NUMBER}:8642"
            },
            "limits": self.limits,
        }

    def start(self):
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "trefoilstand.platform.daemon"],
                cwd=_ROOT,
                env={
                    **os.environ,
                    "TREFOILSTAND_SETTINGS": str(self.path),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def fetch_page(self, port, path):
        """Return status and body of a page; status 0 without a response."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, port), 1
            )
            with contextlib.closing(writer):
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                )
                status, _, body = await scripted_http.read_response(reader)
                return status, body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""

    async def is_ready(self):
        return (await self.fetch_page(8640, "/api/readiness"))[0] == 200

    async def send(self, path="/q/x", request_id=b"r", method=b"GET"):
        """Return the status and body of a request.

        Status 0 means that the connection was cut, -1 that the host could
        not be reached.
        """
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 8641), 1
            )
        except (OSError, TimeoutError):
            return -1, b""
        extra_fields = b"" if method == b"GET" else b"Content-Length: 0\r\n"
        with contextlib.closing(writer):
            try:
                writer.write(
                    scripted_http.request_bytes(
                        request_id=request_id,
                        path=path.encode(),
                        method=method,
                        deadline_ms=1000,
                        extra_fields=extra_fields,
                    )
                )
                status, _, body = await scripted_http.read_response(reader)
                return status, body
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                return 0, b""


class PlatformFleet:
    """Start store, targets and hosts, and act as their operator."""

    def __init__(self, *, hosts, targets=4, network=_NETWORK, limits=None):
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        self.hosts = [
            PlatformHost(
                number=number, folder=folder, network=network, limits=limits
            )
            for number in range(hosts)
        ]
        self.targets = [
            scripted_http.ScriptedTarget(
                target_id=f"i-{number}",
                behaviour="whole",
                domain=f"zone-{number % 2}",
            )
            for number in range(targets)
        ]
        self.version = 1
        self.store_ip = f"{network}.{_STORE_HOST_NUMBER}"

    @property
    def folder(self):
        """Return the folder of settings and logs while the fleet runs."""
        return pathlib.Path(self._folder.name)

    async def __aenter__(self):
        self.store = store_service.StoreService()
        self._store_server = server.Server(handler=self.store)
        await self._store_server.start(ip=self.store_ip, port=8642, backlog=64)
        for target in self.targets:
            await target.start()
            self.register(target)
        self.publish(["/q/"])
        for host in self.hosts:
            host.start()
        await self.wait_for(self.are_all_ready, 15)
        return self

    async def __aexit__(self, *_details):
        for host in self.hosts:
            host.stop()
        for target in self.targets:
            target.stop()
        self._store_server.stop_listening()
        self._folder.cleanup()

    async def are_all_ready(self):
        return all([await host.is_ready() for host in self.hosts])

    async def wait_for(self, check, timeout_s):
        """Wait until a check holds and return the elapsed seconds."""
        started_s = time.monotonic()
        while not await check():
            waited_s = time.monotonic() - started_s
            assert waited_s < timeout_s, f"{check} failed for {waited_s:.2f} s"
            await asyncio.sleep(0.02)
        return time.monotonic() - started_s

    def register(self, target, state="ready"):
        """Put the entry of a target into the store."""
        self.store.put(
            f"servers/{target.target_id}",
            json.dumps(
                {
                    "address": f"127.0.0.1:{target.port}",
                    "born": 1,
                    "info": {
                        "service": "quotes",
                        "version": "v1",
                        "zone": target.domain,
                        "slots": 6,
                    },
                    "status": {
                        "state": state,
                        "seq": 1,
                        "warmup-left": "0ms",
                    },
                }
            ).encode(),
        )

    def unregister(self, target):
        """Remove the entry of a target from the store."""
        self.store.remove(f"servers/{target.target_id}")

    def cut_watches(self):
        """Cut the connections on which watches of the store wait."""
        for connection in list(self._store_server.connections):
            if not connection.is_idle:
                connection._transport.abort()

    def publish(self, prefixes, safe=(), timeout_ms=1000, limits=None):
        """Publish a configuration with unsafe and safe routes."""
        self.version += 1
        routes = {
            f"r{number}": {
                "host": _HOST_NAME,
                "prefix": prefix,
                "route-type": "safe" if prefix in safe else "unsafe",
                "timeout": f"{timeout_ms}ms",
                "target-latency": "500ms",
                "priority": 1,
                "service": "quotes",
                "max-attempts": 2,
            }
            for number, prefix in enumerate([*prefixes, *safe])
        }
        self.store.put(
            "op/config",
            json.dumps(
                {
                    "version": f"r{self.version}",
                    "routes": routes,
                    "services": {"quotes": {"health-path": "/health"}},
                    "limits": limits or {},
                }
            ).encode(),
        )


def run(hosts, scenario, targets=4):
    """Run a coroutine function with a started fleet."""

    async def run_in_fleet():
        async with PlatformFleet(hosts=hosts, targets=targets) as fleet:
            await scenario(fleet)

    uvloop.run(run_in_fleet())
