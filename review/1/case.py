"""Let upstreams send a few answers that never end, in small chunks."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

#: Dose of `garble` in `fleetbench kinds`: half of the upstreams of a service
#: spoil 2 in 100 of their answers for 5 s.
TROUBLED_UPSTREAMS = 2
RUNS_PER_SPOILED_ANSWER = 50
TROUBLE_START_S = 4.0
TROUBLE_LENGTH_S = 5.0
RUN_LENGTH_S = 16.0
#: Bytes that an endless answer sends: 10 MB/s, where a link of the sites
#: carries 125 MB/s.
BLOCK = b"1\r\ny\r\n" * 10_000
BLOCK_INTERVAL_S = len(BLOCK) / 10e6

REQUESTS_PER_S = 40
ROUTE_TIMEOUT_S = 1.2
DEADLINE_MS = 4000
#: CONFIG: time after the route's timeout by which there has to be an answer,
#: and the least number of requests that are judged.
ANSWER_SLACK_S = 0.5
MIN_JUDGED = 8


class TroubledUpstream(standins.Upstream):
    """Upstream that never ends some of its answers while in trouble."""

    is_in_trouble = False
    runs_in_trouble = 0

    async def answer(self, request_id, writer):
        """Work, then send an answer that may have no end."""
        if not self.is_in_trouble:
            await super().answer(request_id, writer)
            return
        self.runs_in_trouble += 1
        if self.runs_in_trouble % RUNS_PER_SPOILED_ANSWER:
            await super().answer(request_id, writer)
            return
        self.record.write(f"{self.upstream_id} answers {request_id} endlessly")
        await asyncio.sleep(self.work_s)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"Request-Id: {request_id}\r\n"
                f"Server-Stamp: {self.upstream_id}.{request_id}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        sent_bytes = 0
        try:
            while True:
                writer.write(BLOCK)
                sent_bytes += len(BLOCK)
                await writer.drain()
                await asyncio.sleep(BLOCK_INTERVAL_S)
        finally:
            self.record.write(
                f"{self.upstream_id} sent {sent_bytes} bytes to {request_id}"
            )


async def check_readiness(host, record):
    """Ask for readiness once a second, as the platform does."""
    while True:
        started_s = time.monotonic()
        is_ready = await host.is_ready()
        record.write(
            f"readiness {is_ready} after {time.monotonic() - started_s:.3f} s,"
            f" memory {host.memory_in_use_mb():.0f} MB"
        )
        await asyncio.sleep(max(started_s + 1 - time.monotonic(), 0))


async def case(record):
    """Send requests to two services and judge those of the sound one."""
    deployment = standins.Deployment(
        record=record, timeout_ms=int(ROUTE_TIMEOUT_S * 1000)
    )
    lookups = [
        deployment.make_upstream(number, "lookup", TroubledUpstream)
        for number in range(1, 5)
    ]
    deployment.add_service("lookup", lookups, route_type="safe")
    lodgements = [
        deployment.make_upstream(number, "lodgement") for number in range(1, 5)
    ]
    deployment.add_service("lodgement", lodgements, route_type="unsafe")
    durations_s = []
    statuses = {}

    async def send(service, method):
        request_id = deployment.next_id(service)
        client = standins.Client(host=deployment.hosts[0])
        started_s = time.monotonic()
        record.write(f"client sends {request_id}")
        status, _, _ = await client.send(
            request_id=request_id,
            path=f"/{service}/x",
            method=method,
            deadline_ms=DEADLINE_MS,
        )
        client.close()
        elapsed_s = time.monotonic() - started_s
        record.write(f"client gets {request_id}: {status}, {elapsed_s:.3f} s")
        if service == "lodgement":
            durations_s.append(elapsed_s)
            statuses[status] = statuses.get(status, 0) + 1

    try:
        await deployment.start()
        readiness = asyncio.create_task(
            check_readiness(deployment.hosts[0], record)
        )
        started_s = time.monotonic()
        tasks = []
        sent_count = 0
        while (elapsed_s := time.monotonic() - started_s) < RUN_LENGTH_S:
            is_in_trouble = standins.has_trouble() and (
                0 <= elapsed_s - TROUBLE_START_S < TROUBLE_LENGTH_S
            )
            for upstream in lookups[:TROUBLED_UPSTREAMS]:
                upstream.is_in_trouble = is_in_trouble
            tasks.append(asyncio.create_task(send("lookup", "GET")))
            tasks.append(asyncio.create_task(send("lodgement", "POST")))
            sent_count += 1
            due_s = started_s + sent_count / REQUESTS_PER_S
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
        await asyncio.gather(*tasks)
        readiness.cancel()
    finally:
        deployment.end()
    unanswered = [
        duration_s
        for duration_s in durations_s
        if duration_s > ROUTE_TIMEOUT_S
    ]
    late = [
        duration_s
        for duration_s in unanswered
        if duration_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S
    ]
    text = (
        f"lodgement: {len(durations_s)} sent, {statuses}; {len(unanswered)}"
        f" unanswered at the route's timeout, {len(late)} of them"
        f" {ANSWER_SLACK_S} s later; longest {max(durations_s):.2f} s"
    )
    record.write(text)
    print(text)
    return len(late) < MIN_JUDGED or len(late) <= len(unanswered) / 2


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
