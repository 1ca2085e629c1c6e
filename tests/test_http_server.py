"""What a stranger's connection can make the HTTP server hold, over a socket."""

import contextlib
import json
import socket
import unittest

import anyio

from endivegw.daemons.http_messages import header_bound
from endivegw.http_server import serve_asgi

MAX_HEADER_BYTES = 4096
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


class Application:
    """Read each request to its end, then answer with the body's length."""

    def __init__(self):
        self.paths = []

    async def __call__(self, scope, receive, send):
        self.paths.append(scope["path"])
        length = 0
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            length += len(message["body"])
            more = message["more_body"]
        body = str(length).encode()
        fields = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": body})


async def read_all(stream):
    received = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await stream.receive()
    return received


async def send_endlessly(stream, piece, limit_bytes=8 * 2**20):
    """Return how much went out before the server closed."""
    sent_bytes = 0
    with contextlib.suppress(anyio.BrokenResourceError):
        while sent_bytes < limit_bytes:
            await stream.send(piece)
            sent_bytes += len(piece)
            await anyio.sleep(0.001)
    return sent_bytes


class DelayTest(unittest.TestCase):
    """An answer's pieces wait in the kernel for the client's acknowledgement.

    Clients put their acknowledgements off for some 40 ms, and a caller sees each
    token late by so much.
    """

    def test_pieces_leave_at_once(self):
        """Each connection of the server sends small pieces at once."""
        delays = []

        async def application(scope, receive, send):
            transport = receive.__self__.transport
            accepted = transport.get_extra_info("socket")
            level, option = socket.IPPROTO_TCP, socket.TCP_NODELAY
            delays.append(accepted.getsockopt(level, option))
            await send({"type": "http.response.start", "status": 204, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        async def run():
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(serve_asgi, application, "127.0.0.1", 0)
                async with await anyio.connect_tcp(*address) as stream:
                    await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                    await stream.receive()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertNotEqual(delays, [])
        self.assertNotIn(0, delays)


class HeaderBoundTest(unittest.TestCase):
    """A client without a key sends a head that is longer than the settings allow.

    Without a bound the router would keep it all, and be stopped by its machine
    with every open answer.
    """

    def run_with_server(self, job):
        application = Application()

        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    bound = header_bound(MAX_HEADER_BYTES)

                    async def serve(*, task_status):
                        await serve_asgi(
                            application,
                            "127.0.0.1",
                            0,
                            graceful_s=0,
                            header_bound=bound,
                            task_status=task_status,
                        )

                    address = await tasks.start(serve)
                    async with await anyio.connect_tcp(*address) as stream:
                        result = await job(stream)
                    tasks.cancel_scope.cancel()
            return result

        return anyio.run(run), application

    def assert_refused(self, received):
        head, _, body = received.partition(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        self.assertTrue(lines[0].startswith(b"http/1.1 431 "), lines[0])
        self.assertIn(b"endivegw-outcome: not-run", lines)
        self.assertIn(b"x-should-retry: false", lines)
        error = json.loads(body)["error"]
        self.assertEqual(error["code"], "headers_too_large")
        self.assertEqual(error["type"], "invalid_request_error")

    def test_whole_head_above_the_bound(self):
        """A head that is complete but too long is refused and not run."""

        async def job(stream):
            value = b"x" * MAX_HEADER_BYTES
            await stream.send(
                b"GET / HTTP/1.1\r\nhost: a\r\nx-a: " + value + b"\r\n\r\n"
            )
            return await read_all(stream)

        received, application = self.run_with_server(job)
        self.assert_refused(received)
        self.assertEqual(application.paths, [])

    def test_many_small_fields(self):
        """Fields that are too long only together are refused."""

        async def job(stream):
            fields = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 40) for n in range(200))
            await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\n" + fields + b"\r\n")
            return await read_all(stream)

        received, application = self.run_with_server(job)
        self.assert_refused(received)
        self.assertEqual(application.paths, [])

    def test_long_request_line(self):
        """The request's path counts too."""

        async def job(stream):
            path = b"/" + b"p" * MAX_HEADER_BYTES
            await stream.send(b"GET " + path + b" HTTP/1.1\r\nhost: a\r\n\r\n")
            return await read_all(stream)

        received, application = self.run_with_server(job)
        self.assert_refused(received)
        self.assertEqual(application.paths, [])

    def test_field_without_end(self):
        """A field that never ends is cut off soon after the bound."""

        async def job(stream):
            await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\nx-a: ")
            return await send_endlessly(stream, b"y" * 1000)

        sent_bytes, application = self.run_with_server(job)
        self.assertLess(sent_bytes, 2**20)
        self.assertEqual(application.paths, [])

    def test_trailer_without_end(self):
        """A trailer after a body is bounded like a header field."""

        async def job(stream):
            await stream.send(CHUNKED_HEAD + b"5\r\nhello\r\n0\r\nx-a: ")
            return await send_endlessly(stream, b"y" * 1000)

        sent_bytes, _ = self.run_with_server(job)
        self.assertLess(sent_bytes, 2**20)

    def test_ordinary_requests(self):
        """Requests within the bound run, one after another, whatever their bodies."""

        async def job(stream):
            received = b""
            for size in (0, 3 * MAX_HEADER_BYTES, 200_000):
                chunk = b"%x\r\n%s\r\n" % (size, b"b" * size) if size else b""
                field = b"x-a: " + b"y" * (MAX_HEADER_BYTES // 2) + b"\r\n"
                head = CHUNKED_HEAD.replace(b"host: a\r\n", b"host: a\r\n" + field)
                await stream.send(head)
                for start in range(0, len(chunk), 1000):
                    await stream.send(chunk[start : start + 1000])
                await stream.send(b"0\r\n\r\n")
                answer = await stream.receive()
                while not answer.endswith(str(size).encode()):
                    answer += await stream.receive()
                received += answer
            return received

        received, application = self.run_with_server(job)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(len(application.paths), 3)
