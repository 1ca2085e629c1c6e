"""Targets that run in threads, so that a blocked event loop does not stop them."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import Callable, Iterator

import h11

from endivegw_standins.platform_target import TARGET_ENTRY
from tests.platform_fleet import ClientFleet

__all__ = ["ThreadTarget", "thread_targets"]

#: Longer than any operation in a test.
_TIMEOUT_S = 10.0


class ThreadTarget:
    """A target in threads of its own, which a blocked event loop does not stop.

    :ivar reads: whether the target reads its connections.
    :ivar holds: ids of the requests that are held until :attr:`released` is set.
    :ivar breaks: set to break the connections of held requests.
    """

    def __init__(self, receive_bytes: int = 0) -> None:
        self.listener = socket.socket()
        if receive_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.reads = threading.Event()
        self.reads.set()
        self.holds: Callable[[str], bool] = lambda request_id: False
        self.released = threading.Event()
        self.breaks = threading.Event()
        self.held = threading.Event()
        self.streams = False
        self.received: list[str] = []
        self.fields: dict[str, dict[str, str]] = {}
        self.partial = 0
        self.stopped: list[str] = []
        self.broken = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Let all threads end."""
        self.reads.set()
        self.released.set()
        self.breaks.set()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while self._exchange(connection):
                pass

    def _exchange(self, connection: socket.socket) -> bool:
        parser = h11.Connection(h11.SERVER)
        fields: dict[str, str] = {}
        begun = False
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                fields = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
            elif not isinstance(event, h11.Data):
                self.reads.wait()
                connection.settimeout(0.02)
                try:
                    data = connection.recv(65536)
                except TimeoutError:
                    continue
                except OSError:
                    data = b""
                if not data:
                    self.partial += begun
                    return False
                begun = True
                parser.receive_data(data)
        request_id = fields.get("endivegw-attempt-id", "")
        self.received.append(request_id)
        self.fields[request_id] = fields
        head = f"HTTP/1.1 200 X\r\nendivegw-attempt-id: {request_id}\r\n"
        head += "endivegw-response-seal: s\r\n"
        if not self.holds(request_id):
            if self.streams:
                head += "transfer-encoding: chunked\r\n\r\n"
                event_data = b"id: 1\ndata: 1\n\n"
                chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(event_data), event_data)
                connection.sendall(head.encode() + chunk)
                return True
            connection.sendall(f"{head}content-length: 2\r\n\r\nok".encode())
            return True
        if self.streams:
            event_data = b"id: 1\ndata: 1\n\n"
            head += "transfer-encoding: chunked\r\n\r\n"
            connection.sendall(
                head.encode() + b"%x\r\n%b\r\n" % (len(event_data), event_data)
            )
        self.held.set()
        connection.settimeout(0.02)
        while not self.released.is_set():
            if self.breaks.is_set():
                connection.close()
                self.broken.set()
                return False
            try:
                ended = not connection.recv(1)
            except TimeoutError:
                continue
            except OSError:
                ended = True
            if ended:
                self.stopped.append(request_id)
                return False
        connection.settimeout(_TIMEOUT_S)
        connection.sendall(f"{head}content-length: 2\r\n\r\nok".encode())
        return True


@contextlib.contextmanager
def thread_targets(
    fleet: ClientFleet, service: str, count: int, receive_bytes: int = 0
) -> Iterator[list[ThreadTarget]]:
    """Replace the targets of a service."""
    targets = [ThreadTarget(receive_bytes) for _ in range(count)]
    for name in list(fleet.workers):
        if name.startswith("p" if service == "plain" else "e"):
            fleet.store.drop("servers", name)
    for number, target in enumerate(targets):
        entry = {"Service": service, "Address": target.address, "Zone": "z"}
        fleet.store.put("servers", f"t-{number}", {**TARGET_ENTRY, **entry})
    try:
        yield targets
    finally:
        for target in targets:
            target.close()
