"""A target on a real socket that follows a script."""

import dataclasses
import socket
import struct
import threading
import time


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a script: read, send, respond, sleep, close or reset."""

    kind: str
    data: bytes = b""
    seconds: float = 0.0


READ = Step(kind="read")
READ_SOME = Step(kind="read_some")
CLOSE = Step(kind="close")
RESET = Step(kind="reset")


def send(data: bytes) -> Step:
    return Step(kind="send", data=data)


def respond_with_echo(body: bytes) -> Step:
    """Return a step that sends a response with the last exchange id."""
    return Step(kind="respond", data=body)


def sleep(seconds: float) -> Step:
    return Step(kind="sleep", seconds=seconds)


def make_response(body: bytes, extra_headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s" % (
        len(body),
        extra_headers,
        body,
    )


class ScriptedTarget:
    """Run one script per accepted connection; the last one is reused."""

    def __init__(self, *scripts: list[Step]) -> None:
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.requests: list[bytes] = []
        self._lock = threading.Lock()
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            script = self._scripts[0]
            if len(self._scripts) > 1:
                self._scripts.pop(0)
            threading.Thread(
                target=self._run_script, args=(connection, script), daemon=True
            ).start()

    def _run_script(
        self, connection: socket.socket, script: list[Step]
    ) -> None:
        try:
            for step in script:
                if step.kind == "read":
                    self._read_request(connection)
                elif step.kind == "read_some":
                    connection.recv(16)
                elif step.kind == "send":
                    connection.sendall(step.data)
                elif step.kind == "respond":
                    exchange_id_header = self._last_exchange_id_header()
                    connection.sendall(
                        make_response(step.data, exchange_id_header)
                    )
                elif step.kind == "sleep":
                    time.sleep(step.seconds)
                elif step.kind == "reset":
                    connection.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                    connection.close()
                    return
                else:
                    connection.close()
                    return
            connection.recv(1)
        except OSError:
            pass
        finally:
            connection.close()

    def _last_exchange_id_header(self) -> bytes:
        for line in self.requests[-1].split(b"\r\n"):
            if line.lower().startswith(b"trefoilstand-exchange-id:"):
                return line + b"\r\n"
        return b""

    def _read_request(self, connection: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = connection.recv(65536)
            if not chunk:
                raise ConnectionError
            data += chunk
        header_section, _, body = data.partition(b"\r\n\r\n")
        content_length = 0
        for line in header_section.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                content_length = int(line.split(b":")[1])
        while len(body) < content_length:
            body += connection.recv(65536)
        with self._lock:
            self.requests.append(header_section + b"\r\n\r\n" + body)


def closed_address() -> str:
    """Return an address at which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
