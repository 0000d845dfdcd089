import asyncio
import contextlib
import datetime
import json
import signal
import socket
import time

from behave import then
from behave import when

from features.support import platform_fleet
from features.support import scripted_http


@when(
    "a host gets SIGTERM and a request on an open connection after "
    "{late_s:g} s"
)
def describe_late_request(context, late_s):
    context.late_s = late_s


@when(
    "its route waits up to {timeout_ms:d} ms and its work takes {work_s:g} s"
)
def send_late_request(context, timeout_ms, work_s):
    async def scenario(fleet):
        fleet.publish(["/q/"], timeout_ms=timeout_ms)
        for target in fleet.targets:
            target.behaviour = "working"
            target.work_s = work_s
        await asyncio.sleep(1)
        await _stop_during_request(context, fleet, context.late_s, timeout_ms)

    platform_fleet.run(context.host_count, scenario)


@when("a host stops while a request waits for a target without capacity")
def stop_while_waiting(context):
    async def scenario(fleet):
        fleet.publish(["/q/"], timeout_ms=9000)
        for target in fleet.targets:
            target.load = b"6,20,6,100"
        await asyncio.sleep(1)
        await _stop_during_request(context, fleet, None, 9000)

    platform_fleet.run(context.host_count, scenario)


async def _stop_during_request(context, fleet, late_s, deadline_ms):
    """Send SIGTERM and a request, which comes first without a delay."""
    host = fleet.hosts[0]
    reader, writer = await asyncio.open_connection(host.ip, 8641)
    request = scripted_http.request_bytes(
        request_id=b"late",
        method=b"POST",
        deadline_ms=deadline_ms,
        extra_fields=b"Content-Length: 0\r\n",
    )
    if late_s is None:
        writer.write(request)
    await asyncio.sleep(0.2)
    host.send_signal(signal.SIGTERM)
    if late_s is not None:
        await asyncio.sleep(late_s)
        writer.write(request)
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 12)
        context.status = int(head.split()[1])
    except (OSError, asyncio.IncompleteReadError) as error:
        context.status = repr(error)
    writer.close()
    context.runs = [run for target in fleet.targets for run in target.runs]


@then("it gets a complete response, with status {status:d}")
def check_late_status(context, status):
    assert context.status == status, context.status


@then("it ran only if it was not refused")
def check_late_runs(context):
    expected = [b"late"] if context.status == 200 else []
    assert context.runs == expected, (context.status, context.runs)


@when(
    "a host gets SIGTERM and is frozen from {start_s:g} s to {end_s:g} s "
    "after it"
)
def freeze_stopping_host(context, start_s, end_s):
    async def scenario(fleet):
        host = fleet.hosts[0]
        # A caller's connection keeps the host from stopping earlier.
        _, writer = await asyncio.open_connection(host.ip, 8641)
        host.send_signal(signal.SIGTERM)
        terminated_s = time.monotonic()
        await asyncio.sleep(start_s)
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(terminated_s + end_s - time.monotonic())
        host.send_signal(signal.SIGCONT)

        async def has_exited():
            return host.process.poll() is not None

        await fleet.wait_for(has_exited, 5)
        writer.close()
        context.event_times = {
            event["event"]: datetime.datetime.fromisoformat(event["time"])
            for line in host.log_path.read_text().splitlines()
            if (event := json.loads(line))
        }

    platform_fleet.run(context.host_count, scenario)


@then("it stops less than {seconds:g} s after it has noticed the pause")
def check_stop_after_pause(context, seconds):
    elapsed = (
        context.event_times["process_stopped"]
        - context.event_times["process_paused"]
    )
    assert elapsed.total_seconds() < seconds, elapsed


async def _read_slowly(host, number):
    """Return the size of the response's body that a caller can read."""
    loop = asyncio.get_running_loop()
    data = b""
    with socket.socket() as caller:
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(caller, (host.ip, 8641))
        request = scripted_http.request_bytes(
            request_id=b"slow-%d" % number, deadline_ms=5000
        )
        await loop.sock_sendall(caller, request)
        with contextlib.suppress(OSError):
            while part := await loop.sock_recv(caller, 4096):
                if not data:
                    await loop.sock_sendall(caller, request)
                data += part
                await asyncio.sleep(0.05)
    return len(data.partition(b"\r\n\r\n")[2])


@when("a host stops while callers read slowly and send further requests")
def stop_while_callers_read(context):
    async def scenario(fleet):
        fleet.publish(["/q/"], timeout_ms=5000)
        for target in fleet.targets:
            target.behaviour = "large"
            target.work_s = 0.3
        await asyncio.sleep(1)
        host = fleet.hosts[0]
        callers = [
            asyncio.create_task(_read_slowly(host, number))
            for number in range(4)
        ]
        await asyncio.sleep(0.1)
        host.send_signal(signal.SIGTERM)
        stopped_s = time.monotonic()
        context.body_sizes = await asyncio.gather(*callers)
        await asyncio.to_thread(host.process.wait, 10)
        context.exit_s = time.monotonic() - stopped_s

    platform_fleet.run(context.host_count, scenario)


@then("each of them has read its whole response")
def check_whole_responses(context):
    assert context.body_sizes == [65536] * 4, context.body_sizes


@then("the host exits within {seconds:d} s")
def check_exit(context, seconds):
    assert context.exit_s <= seconds, context.exit_s
