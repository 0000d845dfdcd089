"""HTTP server that runs the WSGI application for callers."""

import concurrent.futures
import typing

import cheroot.wsgi

from trefoilstand import const as project_const
from trefoilstand import core
from trefoilstand.callers import const
from trefoilstand.callers import framing
from trefoilstand.util import address as addresses


class CallerServer(core.Component):
    """Serve callers with a fixed-size thread pool.

    :param address: numeric address with port to listen on.
    :param wsgi_application: WSGI application that handles requests.
    :param threads: size of the pool, the most requests that are served
        at the same time.
    :param read_timeout_s: timeout of reads from a caller's connection, in
        seconds.
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
            request_queue_size=const.LISTEN_BACKLOG,
            timeout=read_timeout_s,
            shutdown_timeout=const.STOP_TIMEOUT_S,
        )
        self._server.ConnectionClass = framing.StrictConnection
        self._server.keep_alive_conn_limit = const.MAX_KEEP_ALIVE_CONNECTIONS
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
        """Listen and accept connections.

        :raises OSError: the address cannot be bound.
        """
        self._server.prepare()
        self._executor.submit(self._server.serve)

    def stop(self) -> None:
        """Finish the requests in flight and close all connections."""
        self._server.stop()
        self._executor.shutdown(wait=True)
