"""Exchange one request and one answer with a target by libcurl.

Nothing in HTTP/1.1 tells to which request an answer belongs, so a stray or
late answer on a kept connection would pass for that of the next request.
Each exchange therefore carries an identity of its own.  A connection is
kept only for targets that echo it, and on a kept connection only an answer
with the right echo counts.

libcurl repeats a request by itself when a kept connection dies before the
answer.  It asks the pre-request callback before every send, the repeat
included, so that callback is the one place that permits a send: once per
request, and only while the deadline has not passed.
"""

import secrets
import threading
import typing

import pycurl

from trefoilstand import const as project_const
from trefoilstand.decision import outcomes
from trefoilstand.targets import answer
from trefoilstand.targets import const
from trefoilstand.targets import models
from trefoilstand.util import clock as clocks

_FAULTS: typing.Final = {
    pycurl.E_COULDNT_CONNECT: outcomes.Fault.CONNECTION_REFUSED,
    pycurl.E_GOT_NOTHING: outcomes.Fault.CONNECTION_RESET,
    pycurl.E_OPERATION_TIMEDOUT: outcomes.Fault.TIMED_OUT,
    pycurl.E_PARTIAL_FILE: outcomes.Fault.ANSWER_CUT,
    pycurl.E_RECV_ERROR: outcomes.Fault.CONNECTION_RESET,
    pycurl.E_SEND_ERROR: outcomes.Fault.CONNECTION_RESET,
}


class SendGate:
    """Permit at most one send of one request before its deadline.

    :param deadline_s: monotonic time after which nothing may be sent.
    :param clock: source of the time.
    """

    def __init__(self, *, deadline_s: float, clock: clocks.Clock) -> None:
        self._deadline_s = deadline_s
        self._clock = clock
        self.is_used = False
        self.fault: outcomes.Fault | None = None

    def ask(self, *_endpoint: object) -> int:
        """Answer libcurl, which is about to send the request."""
        if self.is_used:
            self.fault = outcomes.Fault.ABORTED_REPEAT
            return int(pycurl.PREREQFUNC_ABORT)
        if self._clock.now_s() >= self._deadline_s:
            self.fault = outcomes.Fault.ABORTED_LATE
            return int(pycurl.PREREQFUNC_ABORT)
        self.is_used = True
        return int(pycurl.PREREQFUNC_OK)


class TargetClient:
    """Send requests to targets, with one libcurl handle per thread.

    :param clock: source of the time for deadlines.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._local = threading.local()
        self._echoing: set[str] = set()

    def exchange(self, request: models.TargetRequest) -> models.TargetAnswer:
        """Send a request and wait for its whole answer.

        Failures are not raised; they are part of the returned
        observation.
        """
        started_s = self._clock.now_s()
        gate = SendGate(deadline_s=request.deadline_s, clock=self._clock)
        collector = answer.AnswerCollector(
            max_body_bytes=request.max_answer_bytes
        )
        left_ms = int((request.deadline_s - started_s) * 1000)
        fault: outcomes.Fault | None = outcomes.Fault.ABORTED_LATE
        status = 0
        if left_ms >= const.MIN_TIMEOUT_MS:
            handle = self._handle()
            exchange_id = secrets.token_hex(8)
            _prepare(handle, request, gate, collector, left_ms)
            handle.setopt(
                pycurl.HTTPHEADER, _header_lines(request, exchange_id)
            )
            if request.address not in self._echoing:
                handle.setopt(pycurl.FORBID_REUSE, 1)
            fault = _perform(handle, gate, collector)
            status = int(handle.getinfo(pycurl.RESPONSE_CODE))
            if fault is None:
                is_kept = handle.getinfo(pycurl.NUM_CONNECTS) == 0
                fault = self._check_echo(
                    request.address, collector, exchange_id, is_kept
                )
                if fault is not None:
                    self._drop_handle()
        return models.TargetAnswer(
            send_permitted=gate.is_used,
            fault=fault,
            is_framed=collector.is_framed(request.method, status),
            status=status,
            headers=collector.end_to_end_fields(),
            body=collector.body(),
            latency_ms=(self._clock.now_s() - started_s) * 1000,
        )

    def _check_echo(
        self,
        address: str,
        collector: answer.AnswerCollector,
        exchange_id: str,
        is_kept: bool,
    ) -> outcomes.Fault | None:
        """Return a fault where the answer belongs to another request."""
        echo = collector.field(project_const.HEADER_EXCHANGE_ID)
        if echo == exchange_id:
            self._echoing.add(address)
            return None
        self._echoing.discard(address)
        if echo or is_kept:
            return outcomes.Fault.ANSWER_FOREIGN
        return None

    def _drop_handle(self) -> None:
        """Close the kept connections of this thread."""
        self._local.handle.close()
        del self._local.handle

    def _handle(self) -> pycurl.Curl:
        handle = getattr(self._local, "handle", None)
        if handle is None:
            handle = pycurl.Curl()
            self._local.handle = handle
        return handle


def _prepare(
    handle: pycurl.Curl,
    request: models.TargetRequest,
    gate: SendGate,
    collector: answer.AnswerCollector,
    left_ms: int,
) -> None:
    """Set every option, so that nothing of an earlier request remains."""
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
    set_option(pycurl.TIMEOUT_MS, left_ms)
    set_option(
        pycurl.CONNECTTIMEOUT_MS, min(left_ms, const.CONNECT_TIMEOUT_MS)
    )
    set_option(pycurl.PREREQFUNCTION, gate.ask)
    set_option(pycurl.HEADERFUNCTION, collector.add_header_line)
    set_option(pycurl.WRITEFUNCTION, collector.add_body)
    if not request.is_repeatable:
        # A kept connection may have died unseen, which would leave the
        # outcome unknown for no good reason.
        set_option(pycurl.FRESH_CONNECT, 1)
        set_option(pycurl.FORBID_REUSE, 1)
    if request.method == "HEAD":
        set_option(pycurl.NOBODY, 1)
    elif request.body or request.method in ("POST", "PUT", "PATCH"):
        set_option(pycurl.POSTFIELDS, request.body)
    set_option(pycurl.CUSTOMREQUEST, request.method)


def _header_lines(
    request: models.TargetRequest, exchange_id: str
) -> list[str]:
    lines = [
        f"{name}: {value}" if value else f"{name};"
        for name, value in request.headers
        if name.lower() not in const.HOP_BY_HOP_HEADERS
    ]
    names = {name.lower() for name, _ in request.headers}
    # libcurl adds these fields by itself unless they are switched off.
    lines.append("Expect:")
    lines.append(f"{project_const.HEADER_EXCHANGE_ID}: {exchange_id}")
    lines.extend(
        f"{name}:"
        for name in ("Accept", "Content-Type", "User-Agent")
        if name.lower() not in names
    )
    return lines


def _perform(
    handle: pycurl.Curl,
    gate: SendGate,
    collector: answer.AnswerCollector,
) -> outcomes.Fault | None:
    try:
        handle.perform()
    except pycurl.error as error:
        if gate.fault is not None:
            return gate.fault
        if collector.is_too_large:
            return outcomes.Fault.ANSWER_TOO_LARGE
        return _FAULTS.get(error.args[0], outcomes.Fault.MALFORMED_ANSWER)
    if not collector.is_header_complete:
        # libcurl takes a header that ends with the connection as whole.
        return outcomes.Fault.ANSWER_CUT
    return None
