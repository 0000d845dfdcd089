"""Kill the two hosts that read the store as an upstream leaves."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOSTS = 3
KILLED_HOSTS = 2
CLIENTS_PER_HOST = 12
#: Pause of a client between an answer and its next request.
PAUSE_S = 0.15
LEAVES_AFTER_S = 2.0
#: Time from the end of the readers to the removal of the entry.
REMOVAL_DELAY_S = 0.02
#: A reader that has had an answer of the store within this time has just
#: read it.
JUST_READ_S = 0.02
RESTART_DELAY_S = 2.0
RUN_LENGTH_S = 8.0
#: Bound `drain`, and how much longer the upstream serves before it exits.
DRAIN_S = 2.0
STAYS_LONGER_S = 0.2


async def case(record):
    """Send requests while an upstream leaves, and judge their arrival."""
    deployment = standins.Deployment(record=record, host_count=HOSTS)
    upstreams = [
        deployment.make_upstream(number, "lodgement", slots=16)
        for number in range(1, 3)
    ]
    deployment.add_service("lodgement", upstreams, route_type="unsafe")
    leaving = upstreams[0]
    statuses = {}
    ids_of_calm_hosts = set()
    killed = []
    is_over = asyncio.Event()

    async def send_requests(host, number):
        await asyncio.sleep(number * PAUSE_S / CLIENTS_PER_HOST)
        client = standins.Client(host=host)
        while not is_over.is_set():
            request_id = deployment.next_id("lodgement")
            if host not in killed:
                ids_of_calm_hosts.add(request_id)
            status, _, _ = await client.send(
                request_id=request_id, path="/lodgement/x", method="POST"
            )
            if host not in killed:
                statuses[status] = statuses.get(status, 0) + 1
            record.write(f"{host.name} answers {request_id}: {status}")
            await asyncio.sleep(PAUSE_S)
        client.close()

    async def kill_readers():
        reader_ips = deployment.store.waiting_ips()
        for host in deployment.hosts:
            if host.ip in reader_ips and len(killed) < KILLED_HOSTS:
                killed.append(host)
                host.send_signal(signal.SIGKILL)
                record.write(f"{host.name} is killed")
        if len(killed) < KILLED_HOSTS:
            raise standins.NotRunError(f"readers found: {reader_ips}")
        for host in killed:
            host.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for host in killed:
            host.start()

    try:
        await deployment.start(settle_s=5.0)
        tasks = [
            asyncio.create_task(send_requests(host, number))
            for host in deployment.hosts
            for number in range(CLIENTS_PER_HOST)
        ]
        await asyncio.sleep(LEAVES_AFTER_S)
        # The hosts killed are those that have just read the store.
        while time.monotonic() - deployment.store.watched_s > JUST_READ_S:
            await asyncio.sleep(JUST_READ_S / 4)
        if standins.has_trouble():
            tasks.append(asyncio.create_task(kill_readers()))
        await asyncio.sleep(REMOVAL_DELAY_S)
        deployment.unregister(leaving)
        gone_s = time.monotonic()
        record.write(f"the store accepts that {leaving.upstream_id} is gone")
        await asyncio.sleep(DRAIN_S + STAYS_LONGER_S)
        leaving.end()
        record.write(f"{leaving.upstream_id} exits")
        await asyncio.sleep(RUN_LENGTH_S - LEAVES_AFTER_S - DRAIN_S)
        is_over.set()
        await asyncio.gather(*tasks)
    finally:
        deployment.end()
    late_s = [
        run_s - gone_s
        for run_s, request_id in leaving.runs
        if run_s - gone_s > DRAIN_S and request_id in ids_of_calm_hosts
    ]
    text = (
        f"answers of the other hosts: {statuses}; {len(late_s)} requests"
        f" reached {leaving.upstream_id} through them more than {DRAIN_S} s"
        f" after the store's acknowledgement, the last one"
        f" {max(late_s, default=0):.2f} s after it"
    )
    record.write(text)
    print(text)
    return not late_s


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
