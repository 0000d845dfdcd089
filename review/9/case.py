"""A host keeps sending work to an upstream whose answers say it leaves."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

DRAIN_S = 2.0
#: Time after the drain period for which the upstream goes on serving.
EXTRA_S = 2.5
REQUESTS_PER_S = 55
DAY_S = 10.0
NOTICE_AT_S = 2.0


class Traffic:
    """Send unsafe requests at a steady rate, and note their answers."""

    def __init__(self, *, host, record):
        self._host = host
        self._record = record
        #: Send times and statuses by request id.
        self.sent_s = {}
        self.statuses = {}
        #: When the host first passed on that an upstream leaves.
        self.told_s = None

    async def run(self):
        """Send requests for the whole case."""
        tasks = []
        started_s = time.monotonic()
        number = 0
        while (elapsed_s := time.monotonic() - started_s) < DAY_S:
            while number < elapsed_s * REQUESTS_PER_S:
                tasks.append(asyncio.create_task(self._send(f"q-{number}")))
                number += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    async def _send(self, request_id):
        self.sent_s[request_id] = time.monotonic()
        self._record.add("sent", request_id)
        status, fields, _ = await standins.send(
            self._host, request_id, "/lodge/x"
        )
        self.statuses[request_id] = status
        is_told = "server-leaving" in fields
        if is_told and self.told_s is None:
            self.told_s = time.monotonic()
        note = "server-leaving" if is_told else ""
        self._record.add("answered", request_id, status, note)


async def leave(deployment, upstream, record):
    """Announce the leaving of an upstream, and end it later."""
    upstream.is_leaving = True
    upstream.state = "draining"
    deployment.store.put(upstream.key, upstream.entry())
    record.add("the store accepted the draining of", upstream.upstream_id)
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    running = upstream.running
    upstream.stop()
    deployment.store.remove(upstream.key)
    record.add("ended", upstream.upstream_id, "with", running, "running")


async def run(record):
    """Let an upstream leave while the store turns the host away."""
    deployment = standins.Deployment(record=record, hosts=1)
    leaver, *_ = [
        deployment.add_upstream(service="lodge-svc", work_s=0.1, slots=4)
        for _ in range(2)
    ]
    host = deployment.hosts[0]
    try:
        await deployment.start(
            {"lodge": standins.make_route("/lodge/", "lodge-svc")}
        )
        traffic = Traffic(host=host, record=record)
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(NOTICE_AT_S - 0.3)
        if standins.is_troubled():
            deployment.store.refused_ips.add(host.ip)
            record.add("the store turns away", host.name)
        await asyncio.sleep(0.3)
        await leave(deployment, leaver, record)
        await sending
        if traffic.told_s is None:
            # The host has sent the upstream nothing since its notice.
            return False
        late = [
            request_id
            for request_id, _ in leaver.runs
            if traffic.sent_s[request_id] > traffic.told_s + DRAIN_S
        ]
        lost = [
            request_id
            for request_id, status in traffic.statuses.items()
            if status in (0, 502, 504)
        ]
        record.add("runs there, sent later than drain:", len(late))
        record.add("requests that ran and got no answer of it:", len(lost))
        return bool(late)
    finally:
        deployment.stop()


standins.main(FOLDER, run)
