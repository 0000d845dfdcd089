"""A stop of the host cuts off an answer that its client is still reading."""

import asyncio
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

ANSWER_BYTES = 30_000
DEADLINE_MS = 5000
CLIENTS = 4
#: Each client reads this much, then pauses: 0.4 s for a whole answer.
READ_BYTES = 4096
READ_PAUSE_S = 0.05
#: A small window, as clients on slow links have.
WINDOW_BYTES = 8192


async def read_slowly(loop, raw_socket, record, number, upstream):
    """Send a request, and a further one while its answer is being read.

    :returns: whether the first answer was whole.
    """
    request_id = f"first-{number}"
    await loop.sock_sendall(
        raw_socket,
        standins.encode_request(
            request_id, "/maps/a", method="GET", deadline_ms=DEADLINE_MS
        ),
    )
    record.add("sent", request_id)
    expected = upstream.body_for(request_id)
    data = b""
    has_sent_next = False
    try:
        while True:
            part = await loop.sock_recv(raw_socket, READ_BYTES)
            data += part
            head, _, body = data.partition(b"\r\n\r\n")
            if len(body) >= len(expected) or not part:
                break
            if not has_sent_next:
                has_sent_next = True
                await loop.sock_sendall(
                    raw_socket,
                    standins.encode_request(
                        f"next-{number}",
                        "/maps/b",
                        method="GET",
                        deadline_ms=DEADLINE_MS,
                    ),
                )
                record.add("sent", f"next-{number}", "behind", request_id)
            await asyncio.sleep(READ_PAUSE_S)
    except OSError as error:
        record.add("connection of", request_id, "failed:", repr(error))
    head, _, body = data.partition(b"\r\n\r\n")
    is_whole = body[: len(expected)] == expected
    record.add(
        "answered",
        request_id,
        head.split(b"\r\n")[0].decode(),
        len(body),
        "of",
        len(expected),
        "bytes",
    )
    return is_whole


async def run(record):
    """Stop a host while clients read its answers; True if one is cut."""
    deployment = standins.Deployment(record=record, hosts=1)
    upstream = deployment.add_upstream(
        service="maps-svc", work_s=0.3, body_bytes=ANSWER_BYTES
    )
    routes = {
        "maps": standins.make_route(
            "/maps/", "maps-svc", kind="safe", timeout_ms=DEADLINE_MS
        )
    }
    try:
        await deployment.start(routes)
        host = deployment.hosts[0]
        loop = asyncio.get_running_loop()
        clients = []
        for number in range(CLIENTS):
            raw_socket = socket.socket()
            raw_socket.setblocking(False)
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
            )
            await loop.sock_connect(raw_socket, (host.ip, host.ports["front"]))
            clients.append(
                asyncio.create_task(
                    read_slowly(loop, raw_socket, record, number, upstream)
                )
            )
        await asyncio.sleep(0.15)
        if standins.is_troubled():
            host.send_signal(signal.SIGTERM)
            record.add("SIGTERM to", host.name)
        results = await asyncio.gather(*clients)
        record.add("cut answers:", results.count(False))
        return not all(results)
    finally:
        deployment.stop()


standins.main(FOLDER, run)
