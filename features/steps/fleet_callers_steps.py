import json
import socket
import subprocess
import sys
import threading
import time

from behave import then
from behave import when

from trefoilstand.cli import fetch
from trefoilstand.client import models as client_models
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import load

_POST = (
    b"POST /services/quotes/quotes HTTP/1.1\r\nHost: x\r\nCaller-Mark: bad\r\n"
)
_GET = b"GET /services/%s/quotes HTTP/1.1\r\nHost: x\r\nCaller-Mark: bad\r\n"
_REQUESTS = {
    "a header that is too large": _GET % b"quotes"
    + b"X: "
    + b"x" * 100_000
    + b"\r\n\r\n",
    "a body that is too large": _POST
    + b"Content-Length: 9000000\r\n\r\n"
    + b"x" * 100_000,
    "garbage": b"\x00\x01\x02 what\r\n\r\n",
    "both lengths": _POST
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"0\r\n\r\nGET /services/quotes/quotes HTTP/1.1\r\nHost: x\r\n"
    + b"Caller-Mark: bad\r\n\r\n",
    "two different lengths": _POST
    + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    "a length that is no number": _POST + b"Content-Length: +5\r\n\r\nhello",
    "a length after a space": _POST + b"Content-Length : 5\r\n\r\nhello",
    "a length on two lines": _POST + b"Content-Length:\r\n 5\r\n\r\nhello",
    "an unknown coding": _POST
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "half a body and leaves": _POST + b"Content-Length: 50\r\n\r\nhello",
    "half a header and waits": _POST + b"X: y",
    "a deadline that is no number": _GET % b"quotes"
    + b"Trefoilstand-Deadline-Ms: soon\r\n\r\n",
    "a call depth above the limit": _GET % b"quotes"
    + b"Trefoilstand-Depth: 13\r\n\r\n",
    "an unknown service": _GET % b"nobody" + b"\r\n",
    "a chunked body that is cut": _POST
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
}
_LOOKUP = load.Operation(
    service="quotes", method="GET", path="/quotes/1", is_repeatable=True
)


def _connect(context):
    host, port = context.fleet.entries[0].caller_address.split(":")
    return socket.create_connection((host, int(port)), 5.0)


@when("a caller sends {name}")
def send_bad_request(context, name):
    context.received = b""
    context.mark = f"bad{time.monotonic_ns()}"
    data = _REQUESTS[name].replace(b"bad", context.mark.encode())
    with _connect(context) as connection:
        try:
            connection.sendall(data)
            if "leaves" in name or "cut" in name:
                connection.shutdown(socket.SHUT_WR)
            while data_part := connection.recv(65536):
                context.received += data_part
                if b"\r\n\r\n" in context.received:
                    break
        except OSError:
            context.received = context.received or b""


@then("it gets status {status:d} or a closed connection")
def check_status(context, status):
    if not context.received:
        return
    received_status = int(context.received.split()[1])
    assert received_status == status, context.received


@then("no target ran anything for it")
def check_no_run(context):
    time.sleep(0.1)
    runs = load.count_runs(item.address for item in context.fleet.targets())
    assert runs[context.mark] == 0


@then("the host still responds")
def check_host_responds(context):
    calls = load.run(context.client, (_LOOKUP,), calls=20, callers=4, seed=1)
    assert all(
        call.outcome is decision_models.Outcome.ANSWERED for call in calls
    )


@when("{count:d} callers send their header one byte a second")
def send_slowly(context, count):
    context.stop_sending = threading.Event()

    def send_bytes_slowly():
        with _connect(context) as connection:
            for byte in _GET % b"quotes":
                if context.stop_sending.wait(1.0):
                    return
                try:
                    connection.sendall(bytes([byte]))
                except OSError:
                    return

    for _ in range(count):
        threading.Thread(target=send_bytes_slowly, daemon=True).start()
    context.add_cleanup(context.stop_sending.set)
    time.sleep(1.5)


@then("other callers still get responses within a second")
def check_other_callers(context):
    address = context.fleet.entries[0].caller_address
    for _ in range(20):
        started_s = time.monotonic()
        request = client_models.ClientRequest(
            service="quotes", method="GET", path="/quotes/1"
        )
        response = context.client.exchange(
            address, request, (), started_s + 5.0
        )
        assert response.status == 200, response
        assert time.monotonic() - started_s < 1.0


def _exchange(context, service, method, path, body=b""):
    request = client_models.ClientRequest(
        service=service, method=method, path=path, body=body
    )
    return context.client.exchange(
        context.fleet.entries[0].caller_address,
        request,
        (("Trefoilstand-Request-Id", "my-id"),),
        time.monotonic() + 5.0,
    )


@when("a call with an encoded path and a query is sent")
def send_encoded(context):
    context.path = "/quotes/a%2Fb%20c//d/../e"
    context.response = _exchange(
        context, "quotes", "GET", context.path + "?q=1&q=%26"
    )


@then("the target saw the same path and query")
def check_path(context):
    document = json.loads(context.response.body)
    assert document["target"] == context.path + "?q=1&q=%26", document


@when("a call to an unknown service is sent")
def send_unknown_service(context):
    context.response = _exchange(context, "nobody", "GET", "/")


@then("the refusal names outcome, reason and request identity")
def check_refusal_document(context):
    document = json.loads(context.response.body)
    assert document == {
        "outcome": "not run",
        "reason": "unknown_service",
        "request_id": "my-id",
        "retry_after_ms": 0,
    }, document
    assert context.response.header("Trefoilstand-Request-Id") == "my-id"


def _run_cli(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "trefoilstand.cli.main", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@then("the command line shows status, explanation and report")
def check_cli(context):
    hosts = [item.caller_address for item in context.fleet.entries]
    check_host_responds(context)
    status = _run_cli("status", *hosts, "--json")
    assert status.returncode == 0, status
    phases = {item["document"]["phase"] for item in json.loads(status.stdout)}
    assert phases == {"ready"}, phases
    explanation = _run_cli("explain", hosts[0], "quotes")
    assert explanation.stdout.count("eligible") == 6, explanation
    report = json.loads(_run_cli("report", *hosts, "--json").stdout)
    calls = [row["calls"] for row in report["rows"]]
    assert max(calls) >= 20, report
    missing = _run_cli("report", hosts[0], "127.40.9.9:1")
    assert missing.returncode == 3, missing
    assert "127.40.9.9:1: no answer" in missing.stderr
    called = _run_cli(
        "call", hosts[0], "bookings", "POST", "/bookings", "--body", "4"
    )
    assert called.returncode == 0, called
    refused = _run_cli("call", hosts[0], "nobody", "GET", "/")
    assert refused.returncode == 4, refused
    resolved = _run_cli("resolve", hosts[0], "--json", "--tickets", "2")
    resolution = json.loads(resolved.stdout)
    assert len(resolution["addresses"]) == 3, resolution
    assert len(resolution["tickets"]) == 2, resolution


@then("the metrics are in the Prometheus format")
def check_metrics(context):
    response = fetch.http.HttpFetcher(max_body_bytes=10**7).get(
        f"http://{context.fleet.entries[0].caller_address}/metrics",
        timeout_s=5.0,
    )
    assert b"# TYPE trefoilstand_calls_total counter" in response.body
    assert b'outcome="answered"' in response.body
