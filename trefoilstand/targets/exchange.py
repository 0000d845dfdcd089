"""Exchange one request and one response with a target through libcurl.

HTTP/1.1 does not identify the request that a response belongs to, so a
stray or late response on a reused connection would be taken for the response
to the next request.  Each exchange therefore has an id of its own.
Connections are reused only for targets that echo the id, and on a reused
connection only a response with the same id is accepted.

libcurl retries a request on its own when a reused connection fails before
the response.  It calls the pre-request callback before every send, such a
retry included, so that callback is the only place that permits a send: once
per request, and only before the deadline.
"""

import secrets
import threading
import typing

import pycurl

from trefoilstand import const as project_const
from trefoilstand.decision import outcomes
from trefoilstand.targets import const
from trefoilstand.targets import models
from trefoilstand.targets import response
from trefoilstand.util import clock as clocks

_FAULTS_BY_ERROR_CODE: typing.Final = {
    pycurl.E_COULDNT_CONNECT: outcomes.Fault.CONNECTION_REFUSED,
    pycurl.E_GOT_NOTHING: outcomes.Fault.CONNECTION_RESET,
    pycurl.E_OPERATION_TIMEDOUT: outcomes.Fault.TIMED_OUT,
    pycurl.E_PARTIAL_FILE: outcomes.Fault.ANSWER_CUT,
    pycurl.E_RECV_ERROR: outcomes.Fault.CONNECTION_RESET,
    pycurl.E_SEND_ERROR: outcomes.Fault.CONNECTION_RESET,
}


class SendGate:
    """Permit at most one send of one request before its deadline.

    :param deadline_s: monotonic time in seconds after which nothing may
        be sent.
    :param clock: source of the time.
    """

    def __init__(self, *, deadline_s: float, clock: clocks.Clock) -> None:
        self._deadline_s = deadline_s
        self._clock = clock
        self.is_send_permitted = False
        self.fault: outcomes.Fault | None = None

    def permit_send(self, *_endpoint: object) -> int:
        """Permit or abort a send; libcurl calls this before each send.

        :returns: PREREQFUNC_OK for the first send before the deadline,
            otherwise PREREQFUNC_ABORT.
        """
        if self.is_send_permitted:
            self.fault = outcomes.Fault.ABORTED_REPEAT
            return int(pycurl.PREREQFUNC_ABORT)
        if self._clock.now_s() >= self._deadline_s:
            self.fault = outcomes.Fault.ABORTED_LATE
            return int(pycurl.PREREQFUNC_ABORT)
        self.is_send_permitted = True
        return int(pycurl.PREREQFUNC_OK)


class TargetClient:
    """Send requests to targets, with one libcurl handle per thread.

    :param clock: source of the time for deadlines.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._thread_local = threading.local()
        self._echoing_addresses: set[str] = set()

    def exchange(self, request: models.TargetRequest) -> models.TargetResponse:
        """Send a request and wait for its complete response.

        Failures are not raised; they are part of the returned
        observations.

        :param request: the request and its deadline.
        """
        started_s = self._clock.now_s()
        send_gate = SendGate(deadline_s=request.deadline_s, clock=self._clock)
        collector = response.ResponseCollector(
            max_body_bytes=request.max_response_bytes
        )
        remaining_ms = int((request.deadline_s - started_s) * 1000)
        fault: outcomes.Fault | None = outcomes.Fault.ABORTED_LATE
        status = 0
        if remaining_ms >= const.MIN_TIMEOUT_MS:
            handle = self._thread_handle()
            exchange_id = secrets.token_hex(8)
            _set_options(handle, request, send_gate, collector, remaining_ms)
            handle.setopt(
                pycurl.HTTPHEADER, _make_header_lines(request, exchange_id)
            )
            if request.address not in self._echoing_addresses:
                handle.setopt(pycurl.FORBID_REUSE, 1)
            fault = _perform(handle, send_gate, collector)
            status = int(handle.getinfo(pycurl.RESPONSE_CODE))
            if fault is None:
                is_reused = handle.getinfo(pycurl.NUM_CONNECTS) == 0
                fault = self._check_exchange_id(
                    request.address, collector, exchange_id, is_reused
                )
                if fault is not None:
                    self._close_handle()
        return models.TargetResponse(
            send_permitted=send_gate.is_send_permitted,
            fault=fault,
            is_framed=collector.is_framed(request.method, status),
            status=status,
            headers=collector.end_to_end_headers(),
            body=collector.body(),
            latency_ms=(self._clock.now_s() - started_s) * 1000,
        )

    def _check_exchange_id(
        self,
        address: str,
        collector: response.ResponseCollector,
        exchange_id: str,
        is_reused: bool,
    ) -> outcomes.Fault | None:
        """Return a fault if the response belongs to another request."""
        echoed_id = collector.header(project_const.HEADER_EXCHANGE_ID)
        if echoed_id == exchange_id:
            self._echoing_addresses.add(address)
            return None
        self._echoing_addresses.discard(address)
        if echoed_id or is_reused:
            return outcomes.Fault.ANSWER_FOREIGN
        return None

    def _close_handle(self) -> None:
        """Close the handle of this thread and its idle connections."""
        self._thread_local.handle.close()
        del self._thread_local.handle

    def _thread_handle(self) -> pycurl.Curl:
        handle = getattr(self._thread_local, "handle", None)
        if handle is None:
            handle = pycurl.Curl()
            self._thread_local.handle = handle
        return handle


def _set_options(
    handle: pycurl.Curl,
    request: models.TargetRequest,
    send_gate: SendGate,
    collector: response.ResponseCollector,
    remaining_ms: int,
) -> None:
    """Set every option, so that no option of an earlier request remains."""
    # reset() keeps the open connections of the handle.
    handle.reset()
    set_option = handle.setopt
    set_option(pycurl.URL, f"http://{request.address}{request.path}")
    set_option(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    set_option(pycurl.PATH_AS_IS, 1)
    set_option(pycurl.PROXY, "")
    set_option(pycurl.NOSIGNAL, 1)
    set_option(pycurl.TCP_NODELAY, 1)
    set_option(pycurl.MAXCONNECTS, const.IDLE_CONNECTIONS_PER_THREAD)
    set_option(pycurl.TIMEOUT_MS, remaining_ms)
    set_option(
        pycurl.CONNECTTIMEOUT_MS, min(remaining_ms, const.CONNECT_TIMEOUT_MS)
    )
    set_option(pycurl.PREREQFUNCTION, send_gate.permit_send)
    set_option(pycurl.HEADERFUNCTION, collector.add_header_line)
    set_option(pycurl.WRITEFUNCTION, collector.add_body)
    if not request.is_repeatable:
        # A reused connection may have failed unnoticed, which would leave
        # the outcome unknown although a new connection avoids that.
        set_option(pycurl.FRESH_CONNECT, 1)
        set_option(pycurl.FORBID_REUSE, 1)
    if request.method == "HEAD":
        set_option(pycurl.NOBODY, 1)
    elif request.body or request.method in ("POST", "PUT", "PATCH"):
        set_option(pycurl.POSTFIELDS, request.body)
    set_option(pycurl.CUSTOMREQUEST, request.method)


def _make_header_lines(
    request: models.TargetRequest, exchange_id: str
) -> list[str]:
    lines = [
        f"{name}: {value}" if value else f"{name};"
        for name, value in request.headers
        if name.lower() not in const.HOP_BY_HOP_HEADERS
    ]
    given_names = {name.lower() for name, _ in request.headers}
    # libcurl adds these fields by default; an empty value disables them.
    lines.append("Expect:")
    lines.append(f"{project_const.HEADER_EXCHANGE_ID}: {exchange_id}")
    lines.extend(
        f"{name}:"
        for name in ("Accept", "Content-Type", "User-Agent")
        if name.lower() not in given_names
    )
    return lines


def _perform(
    handle: pycurl.Curl,
    send_gate: SendGate,
    collector: response.ResponseCollector,
) -> outcomes.Fault | None:
    try:
        handle.perform()
    except pycurl.error as error:
        if send_gate.fault is not None:
            return send_gate.fault
        if collector.is_too_large:
            return outcomes.Fault.ANSWER_TOO_LARGE
        return _FAULTS_BY_ERROR_CODE.get(
            error.args[0], outcomes.Fault.MALFORMED_ANSWER
        )
    if not collector.is_header_complete:
        # libcurl accepts a header that is truncated by the end of the
        # connection as complete.
        return outcomes.Fault.ANSWER_CUT
    return None
