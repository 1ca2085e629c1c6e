"""Tests of the HTTP server's limits and socket options, over sockets."""

import contextlib
import json
import socket
import unittest

import anyio

from endivegw.daemons.http_messages import header_limit
from endivegw.http_server import serve_asgi

MAX_HEADER_BYTES = 4096
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


class Application:
    """Read each request completely, then respond with the length of its body."""

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
    """Return the number of bytes sent before the server closed the connection."""
    sent_bytes = 0
    with contextlib.suppress(anyio.BrokenResourceError):
        while sent_bytes < limit_bytes:
            await stream.send(piece)
            sent_bytes += len(piece)
            await anyio.sleep(0.001)
    return sent_bytes


class DelayTest(unittest.TestCase):
    """With Nagle's algorithm, response chunks wait for the client's acknowledgement.

    Clients delay acknowledgements by about 40 ms, and each token would reach the
    caller that much later.
    """

    def test_chunks_are_sent_immediately(self):
        """Each connection of the server has TCP_NODELAY set."""
        nodelay_values = []

        async def application(scope, receive, send):
            transport = receive.__self__.transport
            accepted = transport.get_extra_info("socket")
            level, option = socket.IPPROTO_TCP, socket.TCP_NODELAY
            nodelay_values.append(accepted.getsockopt(level, option))
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
        self.assertNotEqual(nodelay_values, [])
        self.assertNotIn(0, nodelay_values)


class HeaderLimitTest(unittest.TestCase):
    """An unauthenticated client sends a header section larger than the settings allow.

    Without a limit the router would buffer it all until the machine kills the process
    together with all responses in progress.
    """

    def run_with_server(self, job):
        application = Application()

        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    limit = header_limit(MAX_HEADER_BYTES)

                    async def serve(*, task_status):
                        await serve_asgi(
                            application,
                            "127.0.0.1",
                            0,
                            graceful_s=0,
                            header_limit=limit,
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

    def test_complete_header_above_the_limit(self):
        """A complete but too large header section is refused and not run."""

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
        """Small fields that exceed the limit only in total are refused."""

        async def job(stream):
            fields = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 40) for n in range(200))
            await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\n" + fields + b"\r\n")
            return await read_all(stream)

        received, application = self.run_with_server(job)
        self.assert_refused(received)
        self.assertEqual(application.paths, [])

    def test_long_request_line(self):
        """The request target counts towards the limit."""

        async def job(stream):
            path = b"/" + b"p" * MAX_HEADER_BYTES
            await stream.send(b"GET " + path + b" HTTP/1.1\r\nhost: a\r\n\r\n")
            return await read_all(stream)

        received, application = self.run_with_server(job)
        self.assert_refused(received)
        self.assertEqual(application.paths, [])

    def test_field_without_end(self):
        """The connection of a field without end is closed soon after the limit."""

        async def job(stream):
            await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\nx-a: ")
            return await send_endlessly(stream, b"y" * 1000)

        sent_bytes, application = self.run_with_server(job)
        self.assertLess(sent_bytes, 2**20)
        self.assertEqual(application.paths, [])

    def test_trailer_without_end(self):
        """The limit applies to a trailer field after the body as well."""

        async def job(stream):
            await stream.send(CHUNKED_HEAD + b"5\r\nhello\r\n0\r\nx-a: ")
            return await send_endlessly(stream, b"y" * 1000)

        sent_bytes, _ = self.run_with_server(job)
        self.assertLess(sent_bytes, 2**20)

    def test_ordinary_requests(self):
        """Requests within the limit run one after another, regardless of body size."""

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
