"""Whole requests that are followed on their connection by one that cannot be read."""

import contextlib
import unittest

import anyio

from endivegw.daemons.http_messages import header_limit
from endivegw.http_server import serve_asgi

MAX_HEADER_BYTES = 4096
LIMIT_S = 20.0
WHOLE = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
MALFORMED = b"no request\r\n\r\n"
MALFORMED_BODY = (
    b"POST /3 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n"
)
TOO_LARGE = b"GET / HTTP/1.1\r\nhost: a\r\nx-a: %b\r\n\r\n" % (b"y" * MAX_HEADER_BYTES)


class SlowApplication:
    """Answer each request with its path, in two parts, once it is allowed to."""

    def __init__(self):
        self.started = anyio.Event()
        self.may_answer = anyio.Event()

    async def __call__(self, scope, receive, send):
        path = scope["path"].encode()
        start = {"type": "http.response.start", "status": 200, "headers": []}
        body = {"type": "http.response.body", "body": path, "more_body": True}
        begins_early = path == b"/1"
        if begins_early:
            await send(start)
            await send(body)
        self.started.set()
        await self.may_answer.wait()
        if not begins_early:
            await send(start)
            await send(body)
        await send({"type": "http.response.body", "body": b" end"})


async def read_all(stream):
    received = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await stream.receive()
    return received


async def exchange(sent):
    """Send bytes at once; return all answers, given once the first has begun."""
    application = SlowApplication()
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as tasks:

            async def serve(*, task_status):
                await serve_asgi(
                    application,
                    "127.0.0.1",
                    0,
                    header_limit=header_limit(MAX_HEADER_BYTES),
                    task_status=task_status,
                )

            address = await tasks.start(serve)
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(sent)
                await application.started.wait()
                await anyio.sleep(0.2)
                application.may_answer.set()
                received = await read_all(stream)
            tasks.cancel_scope.cancel()
    return received


class PipelinedErrorTests(unittest.TestCase):
    """A request that cannot be parsed follows whole ones."""

    # Guards against errors of a later request that end the answers to earlier ones.
    def test_requests_before_an_unreadable_one_are_answered(self):
        for number in (0, 1):
            for wrong, status in ((MALFORMED, b"400"), (TOO_LARGE, b"431")):
                with self.subTest(number=number, status=status):
                    whole = WHOLE % number + WHOLE % 2
                    received = anyio.run(exchange, whole + wrong)
                    first, second, error = received.split(b"HTTP/1.1 ")[1:]
                    self.assertTrue(first.startswith(b"200"))
                    self.assertIn(b"/%d" % number, first)
                    self.assertIn(b" end", first)
                    self.assertTrue(second.startswith(b"200"))
                    self.assertIn(b"/2", second)
                    self.assertIn(b" end", second)
                    self.assertTrue(error.startswith(status), error)

    # Guards against taking a request with a malformed body for the one before it.
    def test_only_the_request_with_a_malformed_body_fails(self):
        received = anyio.run(exchange, WHOLE % 0 + WHOLE % 2 + MALFORMED_BODY)
        first, second, error = received.split(b"HTTP/1.1 ")[1:]
        self.assertIn(b"/0", first)
        self.assertIn(b"/2", second)
        self.assertTrue(error.startswith(b"400"), error)


if __name__ == "__main__":
    unittest.main()
