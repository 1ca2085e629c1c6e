"""Blank lines between requests, and answers without a body, on callers' connections."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.messages import CallerRequest
from endivegw.routing import CallerLimits
from endivegw.tcp_stream import TcpStream
from tests.test_caller_connections import _BODY, Router, _read_all, _run


class BlankLineTests(unittest.TestCase):
    """A caller sends a blank line behind a request, which counts as nothing."""

    # Guards against a connection that closes although its last answer did not say so.
    def test_the_last_answer_of_a_stop_says_that_the_connection_closes(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            await stream.send(_BODY % 1 + b"\r\n")
            await router.begun.wait()
            router.drain()
            router.may_answer.set()
            answer = await _read_all(stream)
            self.assertEqual(answer.count(b"HTTP/1.1 200 "), 1)
            self.assertEqual(answer.count(b"connection: close"), 1)

        _run(scenario)

    # Guards against a request in two parts that is late by an earlier blank line.
    def test_the_time_for_a_head_begins_with_the_head(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.limits = CallerLimits(head_timeout_s=0.5, idle_timeout_s=4.0)
            router.may_answer.set()
            await stream.send(_BODY % 1 + b"\r\n")
            self.assertIn(b" 200 ", await stream.receive())
            await anyio.sleep(1.0)
            await stream.send((_BODY % 2)[:10])
            await anyio.sleep(0.1)
            await stream.send((_BODY % 2)[10:])
            self.assertIn(b" 200 ", await stream.receive())

        _run(scenario)


class HeadTests(unittest.TestCase):
    """A HEAD request is answered by a stream."""

    # Guards against bytes behind the head of an answer that has no body.
    def test_the_answer_to_head_has_no_chunks(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            await stream.send(b"HEAD /1 HTTP/1.1\r\nhost: h\r\n\r\n")
            answer = await stream.receive()
            with anyio.move_on_after(0.3):
                answer += await stream.receive()
            self.assertTrue(answer.endswith(b"\r\n\r\n"))
            self.assertEqual(answer.partition(b"\r\n\r\n")[2], b"")

        async def handle(request: CallerRequest, writer: AnswerWriter) -> None:
            await writer.start(200, [], b"")
            await writer.finish()

        with mock.patch.object(Router, "handle", staticmethod(handle)):
            _run(scenario)


if __name__ == "__main__":
    unittest.main()
