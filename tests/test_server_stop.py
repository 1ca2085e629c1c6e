"""Connections of a server that stops, and whose process then ends."""

import contextlib
import socket
import threading
import time
import unittest

import anyio
import anyio.from_thread

from endivegw.daemons.http_messages import header_limit
from endivegw.daemons.router import CLOSE_CONNECTIONS_S
from endivegw.http_server import serve_asgi

#: More than the kernel holds for one connection.
ANSWER_BYTES = 32 * 2**20
LIMIT_S = 30.0
REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


class Application:
    """Answer with the request's path, or with a large body; wait on one path."""

    def __init__(self):
        self.started = threading.Event()
        self.may_answer = threading.Event()

    async def __call__(self, scope, receive, send):
        path = scope["path"].encode()
        if path == b"/1":
            self.started.set()
            while not self.may_answer.is_set():
                await anyio.sleep(0.005)
        body = b"x" * ANSWER_BYTES if path == b"/0" else path
        fields = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": body})
        self.started.set()


@contextlib.contextmanager
def stopping_server(application):
    """Serve in an event loop of its own; yield the address, and how to stop it."""
    addresses, ended = [], threading.Event()
    listening = threading.Event()
    stop = threading.Event()

    async def run():
        async with anyio.create_task_group() as tasks:

            async def serve(*, task_status):
                await serve_asgi(
                    application,
                    "127.0.0.1",
                    0,
                    graceful_s=CLOSE_CONNECTIONS_S,
                    header_limit=header_limit(4096),
                    task_status=task_status,
                )

            addresses.append(await tasks.start(serve))
            listening.set()
            while not stop.is_set():
                await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    thread = threading.Thread(target=lambda: (anyio.run(run), ended.set()))
    thread.start()
    try:
        listening.wait(LIMIT_S)
        yield addresses[0], stop
    finally:
        stop.set()
        application.may_answer.set()
        thread.join(LIMIT_S)


def read_to_end(caller):
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := caller.recv(2**20):
            received += data
    return bytes(received)


class ServerStopTests(unittest.TestCase):
    # Guards against a stop that discards what was not yet sent of a whole answer.
    def test_slowly_read_answer_is_whole(self):
        application = Application()
        with stopping_server(application) as (address, stop):
            with socket.create_connection(address, LIMIT_S) as caller:
                caller.sendall(REQUEST % 0)
                application.started.wait(LIMIT_S)
                stop.set()
                time.sleep(0.5)
                received = read_to_end(caller)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), ANSWER_BYTES)

    # Guards against a stop that forgets requests received behind one in progress.
    def test_requests_behind_one_in_progress_are_answered(self):
        application = Application()
        with stopping_server(application) as (address, stop):
            with socket.create_connection(address, LIMIT_S) as caller:
                caller.sendall(REQUEST % 1)
                application.started.wait(LIMIT_S)
                caller.sendall(REQUEST % 2)
                time.sleep(0.1)
                # Reading has stopped: this one waits in the kernel.
                caller.sendall(REQUEST % 3)
                time.sleep(0.1)
                stop.set()
                time.sleep(0.3)
                application.may_answer.set()
                received = read_to_end(caller)
        paths = [part[-2:] for part in received.split(b"HTTP/1.1 200")[1:]]
        self.assertEqual(paths, [b"/1", b"/2", b"/3"])


if __name__ == "__main__":
    unittest.main()
