"""What is reported about the end of a caller's connection."""

from __future__ import annotations

import unittest
from typing import Awaitable, Callable

import anyio
import anyio.abc

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.caller_connection import CallerConnection
from endivegw.relay.connection_end import ConnectionEnd, EndCause
from endivegw.relay.messages import CallerRequest
from endivegw.routing import CallerLimits
from endivegw.tcp_stream import TcpStream, connect_tcp, serve_tcp
from endivegw_standins.ports import reserve_port

_REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab"

_Handler = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]
_Client = Callable[[TcpStream], Awaitable[None]]


async def _answer(request: CallerRequest, writer: AnswerWriter) -> None:
    await writer.send_complete(200, [], b"")


async def _answer_in_part(request: CallerRequest, writer: AnswerWriter) -> None:
    await writer.start(200, [], b"part")


async def _fail(request: CallerRequest, writer: AnswerWriter) -> None:
    raise LookupError("not found")


def end_of(
    client: _Client,
    handler: _Handler = _answer,
    idle_timeout_s: float = 5.0,
    closing: bool = False,
) -> ConnectionEnd:
    """Return what is reported about the connection of a client.

    :param closing: whether the router moves its callers elsewhere.
    """
    ends: list[ConnectionEnd] = []

    async def scenario() -> None:
        ended = anyio.Event()

        def record(end: ConnectionEnd) -> None:
            ends.append(end)
            ended.set()

        async def serve(stream: TcpStream) -> None:
            connection = CallerConnection(
                stream,
                handler,
                lambda: CallerLimits(idle_timeout_s=idle_timeout_s),
                lambda: closing,
                anyio.current_time,
                record,
            )
            try:
                await connection.serve()
            except Exception:
                # The daemon logs exceptions of a connection and goes on.
                pass

        port = reserve_port()
        async with anyio.create_task_group() as tasks:

            async def listen() -> None:
                await serve_tcp(serve, "127.0.0.1", port, backlog=8, tasks=tasks)

            tasks.start_soon(listen)
            await anyio.sleep(0.05)
            async with await connect_tcp("127.0.0.1", port) as stream:
                await client(stream)
                with anyio.fail_after(5.0):
                    await ended.wait()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    return ends[0]


class ConnectionEndTests(unittest.TestCase):
    """The report names the cause of the end and what was left unanswered."""

    def check(self, end: ConnectionEnd, cause: EndCause, unanswered: int) -> None:
        """Compare a report with the expected cause and number of requests."""
        self.assertIs(end.cause, cause)
        self.assertEqual(len(end.unanswered), unanswered)

    def test_a_caller_that_leaves_after_its_answer(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(_REQUEST)
            await stream.receive()
            await stream.aclose()

        self.check(end_of(client), EndCause.CALLER_CLOSED, 0)

    def test_a_caller_that_leaves_before_its_answer(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(_REQUEST)
            await anyio.sleep(0.1)
            await stream.aclose()

        async def wait(request: CallerRequest, writer: AnswerWriter) -> None:
            await anyio.sleep_forever()

        end = end_of(client, wait)
        self.check(end, EndCause.CALLER_CLOSED, 1)
        self.assertTrue(end.cause.by_caller)

    def test_an_idle_connection(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(_REQUEST)
            await stream.receive()

        end = end_of(client, idle_timeout_s=0.1)
        self.check(end, EndCause.IDLE_LIMIT, 0)
        self.assertFalse(end.cause.by_caller)
        self.assertIsNotNone(end.idle_s)

    def test_an_answer_that_stops_in_its_middle(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(_REQUEST + _REQUEST)

        end = end_of(client, _answer_in_part)
        self.check(end, EndCause.ANSWER_CUT, 2)
        self.assertEqual(end.answer_bytes, len(b"part"))

    def test_a_request_that_is_not_valid(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(b"POST x HTTP/1.1\r\nhost: h\r\n\r\n")
            await stream.receive()

        self.check(end_of(client), EndCause.MALFORMED, 0)

    def test_a_handler_that_fails(self) -> None:
        async def client(stream: TcpStream) -> None:
            await stream.send(_REQUEST)

        self.check(end_of(client, _fail), EndCause.HANDLER_FAILED, 0)


if __name__ == "__main__":
    unittest.main()
