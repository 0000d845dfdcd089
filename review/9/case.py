"""Hosts keep sending work to an upstream whose answers say it leaves."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

HOSTS = 3
DRAIN_S = 2.0
#: The upstream is gone this long after its notice, as its zone is reclaimed.
NOTICE_S = 2.5
OUTAGE_S = 4.5
#: The upstream that stays finishes 40 requests a second.
REQUESTS_PER_S = 70
DAY_S = 8.0
OUTAGE_AT_S = 1.7
NOTICE_AT_S = 2.0


class Traffic:
    """Send unsafe requests at a steady rate, and note their answers.

    :param hosts: entry hosts that get them in turn.
    :param record: record of the case.
    """

    def __init__(self, *, hosts, record):
        self._hosts = hosts
        self._record = record
        #: Host, send time and status of each request.
        self.hosts = {}
        self.sent_s = {}
        self.statuses = {}
        #: When each host first passed on that an upstream leaves.
        self.told_s = {}

    async def run(self):
        """Send requests for the whole case."""
        tasks = []
        started_s = time.monotonic()
        number = 0
        while (elapsed_s := time.monotonic() - started_s) < DAY_S:
            while number < elapsed_s * REQUESTS_PER_S:
                host = self._hosts[number % len(self._hosts)]
                tasks.append(
                    asyncio.create_task(self._send(host, f"q-{number}"))
                )
                number += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    async def _send(self, host, request_id):
        self.hosts[request_id] = host.name
        self.sent_s[request_id] = time.monotonic()
        self._record.add("sent", request_id, "to", host.name)
        status, fields, _ = await standins.send(host, request_id, "/lodge/x")
        self.statuses[request_id] = status
        note = ""
        if "server-leaving" in fields:
            note = "server-leaving"
            self.told_s.setdefault(host.name, time.monotonic())
        self._record.add("answered", request_id, status, note)


async def leave(deployment, upstream, record):
    """Give an upstream its notice, and end it when that is over."""
    store = deployment.store
    upstream.is_leaving = True
    upstream.state = "draining"
    record.add(upstream.upstream_id, "leaves, and says so in its answers")
    is_reported = not store.refused_ips
    if is_reported:
        store.put(upstream.key, upstream.entry())
        record.add("the store accepted its report")
    await asyncio.sleep(NOTICE_S)
    running = upstream.running
    upstream.stop()
    record.add("ended", upstream.upstream_id, "with", running, "running")
    if is_reported:
        store.remove(upstream.key)


async def go_down(store, hosts, record):
    """Let the store refuse all calls for a while."""
    store.refused_ips.update(host.ip for host in hosts)
    record.add("the store is down")
    await asyncio.sleep(OUTAGE_S)
    store.refused_ips.clear()
    record.add("the store is back")


async def run(record):
    """Let an upstream leave while the store is down; True if it gets work."""
    deployment = standins.Deployment(record=record, hosts=HOSTS)
    deployment.add_upstream(service="lodge-svc", work_s=0.1, slots=4)
    leaver = deployment.add_upstream(
        service="lodge-svc", work_s=0.1, slots=4, zone="z-b"
    )
    try:
        await deployment.start(
            {"lodge": standins.make_route("/lodge/", "lodge-svc")}
        )
        traffic = Traffic(hosts=deployment.hosts, record=record)
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(OUTAGE_AT_S)
        outage = None
        if standins.is_troubled():
            outage = asyncio.create_task(
                go_down(deployment.store, deployment.hosts, record)
            )
        await asyncio.sleep(NOTICE_AT_S - OUTAGE_AT_S)
        await leave(deployment, leaver, record)
        await sending
        if outage is not None:
            await outage
        late = [
            request_id
            for request_id, _ in leaver.runs
            if (host := traffic.hosts[request_id]) in traffic.told_s
            and traffic.sent_s[request_id] > traffic.told_s[host] + DRAIN_S
        ]
        lost = [
            request_id
            for request_id, _ in leaver.runs
            if traffic.statuses[request_id] != 200
        ]
        record.add("runs there, sent later than drain:", len(late), *late)
        record.add("runs there without their answer:", len(lost), *lost)
        return bool(late)
    finally:
        deployment.stop()


standins.main(FOLDER, run)
