"""Let an upstream leave while the store cuts some of the waiting watches."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOSTS = 2
UPSTREAMS = 5
CLIENTS_PER_HOST = 6
#: A host holds a watch for 1 s at most, so about half of them are cut.
CUT_INTERVAL_S = 1.5
LEAVES_AFTER_S = 4.0
RUN_LENGTH_S = 12.0
#: Bound `drain`, and how much longer the upstream serves before it exits.
DRAIN_S = 2.0
STAYS_LONGER_S = 3.0


async def case(record):
    """Send requests while an upstream leaves, and judge their arrival."""
    deployment = standins.Deployment(record=record, host_count=HOSTS)
    upstreams = [
        deployment.make_upstream(number, "lodgement")
        for number in range(1, UPSTREAMS + 1)
    ]
    deployment.add_service("lodgement", upstreams, route_type="unsafe")
    leaving = upstreams[0]
    statuses = {}
    is_over = asyncio.Event()

    async def send_requests(host):
        client = standins.Client(host=host)
        while not is_over.is_set():
            request_id = deployment.next_id("lodgement")
            status, _, _ = await client.send(
                request_id=request_id, path="/lodgement/x", method="POST"
            )
            statuses[status] = statuses.get(status, 0) + 1
            record.write(f"{host.name} answers {request_id}: {status}")
        client.close()

    async def cut_watches():
        while True:
            await asyncio.sleep(CUT_INTERVAL_S)
            count = deployment.store.cut_watches()
            record.write(f"the store cuts {count} waiting watches")

    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(send_requests(host))
            for host in deployment.hosts
            for _ in range(CLIENTS_PER_HOST)
        ]
        cutting = None
        if standins.has_trouble():
            cutting = asyncio.create_task(cut_watches())
        await asyncio.sleep(LEAVES_AFTER_S)
        deployment.unregister(leaving)
        gone_s = time.monotonic()
        record.write(f"the store accepts that {leaving.upstream_id} is gone")
        await asyncio.sleep(DRAIN_S + STAYS_LONGER_S)
        leaving.end()
        record.write(f"{leaving.upstream_id} exits")
        await asyncio.sleep(
            RUN_LENGTH_S - LEAVES_AFTER_S - DRAIN_S - STAYS_LONGER_S
        )
        is_over.set()
        await asyncio.gather(*tasks)
        if cutting is not None:
            cutting.cancel()
    finally:
        deployment.end()
    late_s = [
        run_s - gone_s for run_s, _ in leaving.runs if run_s - gone_s > DRAIN_S
    ]
    text = (
        f"{statuses}; {len(late_s)} requests reached {leaving.upstream_id}"
        f" more than {DRAIN_S} s after the store's acknowledgement, the last"
        f" one {max(late_s, default=0):.2f} s after it"
    )
    record.write(text)
    print(text)
    return not late_s


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
