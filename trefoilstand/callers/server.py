"""The HTTP server under the WSGI application."""

import concurrent.futures
import typing

import cheroot.wsgi

from trefoilstand import const as project_const
from trefoilstand import core
from trefoilstand.callers import const
from trefoilstand.callers import framing
from trefoilstand.util import address as addresses


class CallerServer(core.Component):
    """Serve callers with a bounded pool of threads.

    :param address: numeric address with port.
    :param wsgi_application: application that answers.
    :param threads: calls that are served at the same time.
    :param read_timeout_s: longest wait for the next bytes of a caller.
    """

    def __init__(
        self,
        *,
        address: str,
        wsgi_application: typing.Any,
        threads: int,
        read_timeout_s: int,
    ) -> None:
        endpoint = addresses.parse_address(address)
        self._server = cheroot.wsgi.Server(
            (endpoint.ip, endpoint.port),
            wsgi_application,
            numthreads=threads,
            max=threads,
            request_queue_size=const.REQUEST_QUEUE_SIZE,
            timeout=read_timeout_s,
            shutdown_timeout=const.STOP_TIMEOUT_S,
        )
        self._server.ConnectionClass = framing.StrictConnection
        self._server.keep_alive_conn_limit = const.MAX_KEPT_CONNECTIONS
        self._server.max_request_body_size = (
            project_const.MAX_REQUEST_BODY_BYTES
        )
        self._server.max_request_header_size = (
            project_const.MAX_REQUEST_HEADER_BYTES
        )
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="caller_server"
        )

    def start(self) -> None:
        """Accept connections.

        :raises OSError: the address cannot be served.
        """
        self._server.prepare()
        self._executor.submit(self._server.serve)

    def stop(self) -> None:
        """Finish the calls in flight and close all connections."""
        self._server.stop()
        self._executor.shutdown(wait=True)
