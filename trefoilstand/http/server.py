"""HTTP server for the requests of callers on one event loop."""

import asyncio
import socket
import typing

from trefoilstand.http import buffer_budget
from trefoilstand.http import caller_connection
from trefoilstand.http import connection_limit
from trefoilstand.http import handling
from trefoilstand.http import input_admission
from trefoilstand.http import input_scheduler
from trefoilstand.http import request_reception

#: Part of the connections that may wait to be accepted, as all of those are
#: accepted before the first is closed for another one.
_BACKLOG_SHARE: typing.Final = 0.5
#: Connections beyond the limit, as a share of it, whose refusal is still being
#: delivered.
_CLOSING_SHARE: typing.Final = 0.0625


class Server:
    """Accept connections of callers on one address.

    :param handler: produces the responses.
    :param buffers: memory for bodies, None for no limit.
    :param admission: grants it to requests, None for no limit.
    :param max_connections: open connections, None for no limit.
    :param scheduler: shares the event loop with other connections, None to
        share it only among those of this server.
    """

    def __init__(
        self,
        *,
        handler: handling.RequestHandler,
        buffers: buffer_budget.BufferBudget | None = None,
        admission: input_admission.InputAdmission | None = None,
        max_connections: int | None = None,
        scheduler: input_scheduler.InputScheduler | None = None,
    ) -> None:
        self.handler = handler
        self.buffers = buffers
        self.admission = admission
        self._max_connections = max_connections
        self.input_scheduler = scheduler or input_scheduler.InputScheduler()
        self.limits = handling.Limits()
        #: Open connections, in the order in which they were accepted.
        self.connections: dict[caller_connection.CallerConnection, None] = {}
        #: Connections that were closed because there were too many.
        self.excess_count = 0
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(
        self,
        *,
        ip: str,
        port: int,
        backlog: int,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Start to listen.

        :param ip: IP address to listen on.
        :param port: TCP port, 0 for any free one.
        :param backlog: connections that may wait to be accepted.
        :param listening_socket: socket that listens on the address already.
        :raises OSError: the address cannot be listened on.
        """
        if self._max_connections is not None:
            backlog = min(
                backlog, max(int(self._max_connections * _BACKLOG_SHARE), 1)
            )
        loop = asyncio.get_running_loop()
        if listening_socket is not None:
            self._server = await loop.create_server(
                lambda: caller_connection.CallerConnection(server=self),
                sock=listening_socket,
                backlog=backlog,
            )
        else:
            self._server = await loop.create_server(
                lambda: caller_connection.CallerConnection(server=self),
                ip,
                port,
                backlog=backlog,
                reuse_address=True,
            )
        if self.admission is not None:
            # Accepted sockets inherit it.
            self._server.sockets[0].setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                request_reception.SOCKET_BUFFER_BYTES,
            )

    def register(self, connection: caller_connection.CallerConnection) -> None:
        """Add an accepted connection, and close one if there are too many.

        :param connection: accepted connection.
        """
        limit = self._max_connections
        if limit is None or len(self.connections) < limit:
            self.connections[connection] = None
            return
        self.excess_count += 1
        excess = connection_limit.choose_excess(self.connections)
        if excess is None:
            connection.give_up()
            return
        self.connections[connection] = None
        excess.give_up()
        if len(self.connections) > limit * (1 + _CLOSING_SHARE):
            excess.close()

    @property
    def port(self) -> int:
        """Return the TCP port of the listening socket, 0 without one."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def drain(self) -> None:
        """Accept nothing more, and close connections once they are idle."""
        self.is_draining = True
        self.stop_listening()
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy_count(self) -> int:
        """Return how many connections would lose something if closed now."""
        return sum(not connection.is_idle for connection in self.connections)
