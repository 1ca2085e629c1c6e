"""What callers get on connections that close: whole requests are answered."""

from __future__ import annotations

import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.caller_connection import CallerConnection
from endivegw.relay.messages import CallerRequest
from endivegw.routing import CallerLimits
from endivegw.tcp_stream import TcpStream, connect_tcp, serve_tcp
from endivegw_standins.ports import reserve_port

_BODY = b"POST /%d HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab"
_TIMEOUT_S = 5.0

#: Idle limits of a configuration and of the next one.
_SHORT_S = 0.3
_LONG_S = 1.5


class Router:
    """Serve callers' connections as a router does whose state tests change.

    :ivar closing: whether the router moves its callers elsewhere.
    :ivar connections: the open connections.
    :ivar answered: paths that were answered, in order.
    :ivar error: raised instead of an answer, unless it is None.
    """

    def __init__(self) -> None:
        self.limits = CallerLimits(idle_timeout_s=_TIMEOUT_S)
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.answered: list[str] = []
        self.error: Exception | None = None
        self.begun = anyio.Event()
        self.may_answer = anyio.Event()
        self.port = reserve_port()

    async def handle(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Answer a request once the test allows it."""
        self.begun.set()
        if self.error is not None:
            raise self.error
        await self.may_answer.wait()
        self.answered.append(request.path)
        await writer.send_complete(200, [], request.path.encode())

    async def serve(self, stream: TcpStream) -> None:
        """Serve one connection."""
        connection = CallerConnection(
            stream,
            self.handle,
            lambda: self.limits,
            lambda: self.closing,
            anyio.current_time,
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        except Exception:
            # The daemon logs exceptions of a connection and goes on.
            pass
        finally:
            self.connections.discard(connection)

    def drain(self) -> None:
        """Close connections like a router that stops."""
        self.closing = True
        for connection in self.connections:
            connection.close_when_idle()


_Scenario = Callable[[Router, TcpStream], Awaitable[None]]


def _run(scenario: _Scenario) -> None:
    async def run() -> None:
        router = Router()
        async with anyio.create_task_group() as tasks:

            async def listen() -> None:
                await serve_tcp(
                    router.serve, "127.0.0.1", router.port, backlog=8, tasks=tasks
                )

            tasks.start_soon(listen)
            await anyio.sleep(0.05)
            async with await connect_tcp("127.0.0.1", router.port) as stream:
                with anyio.fail_after(_TIMEOUT_S):
                    await scenario(router, stream)
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def _read_all(stream: TcpStream) -> bytes:
    """Return what is received until the connection ends."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def _wait_in_body(router: Router) -> None:
    """Wait until the router has read a part of a request."""
    while not any(connection.busy for connection in router.connections):
        await anyio.sleep(0.01)


async def _let_run() -> None:
    """Let the tasks of all connections run until they wait again."""
    for _ in range(10):
        await anyio.sleep(0)


class PipelinedRequestTests(unittest.TestCase):
    """Two whole requests are read before the router closes the connection."""

    # Guards against requests that a stop forgets because they wait behind another.
    def test_requests_behind_another_are_answered_by_a_stop(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            await stream.send(_BODY % 1 + _BODY % 2)
            await router.begun.wait()
            router.drain()
            router.may_answer.set()
            answer = await _read_all(stream)
            self.assertEqual(router.answered, ["/1", "/2"])
            self.assertEqual(answer.count(b"HTTP/1.1 200 "), 2)
            self.assertEqual(answer.count(b"connection: close"), 1)

        _run(scenario)

    # Guards against requests forgotten by a router that was draining before they came.
    def test_requests_that_come_together_are_answered_while_callers_move(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.closing = True
            router.may_answer.set()
            await stream.send(_BODY % 1 + _BODY % 2 + _BODY % 3)
            answer = await _read_all(stream)
            self.assertEqual(router.answered, ["/1", "/2", "/3"])
            self.assertEqual(answer.count(b"HTTP/1.1 200 "), 3)
            self.assertEqual(answer.count(b"connection: close"), 1)

        _run(scenario)


class PartialRequestTests(unittest.TestCase):
    """A connection is woken while a part of a request's body is still to come."""

    def _woken(self, wake: Callable[[Router], None]) -> _Scenario:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.may_answer.set()
            await stream.send((_BODY % 1)[:-1])
            await _wait_in_body(router)
            wake(router)
            await _let_run()
            await stream.send((_BODY % 1)[-1:])
            answer = await stream.receive()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertEqual(router.answered, ["/1"])

        return scenario

    # Guards against requests rejected by a new configuration that comes in their body.
    def test_a_new_configuration_rejects_no_request_in_its_body(self) -> None:
        def wake(router: Router) -> None:
            for connection in router.connections:
                connection.handle_new_limits()

        _run(self._woken(wake))

    # Guards against requests rejected by a stop that comes in their body.
    def test_a_stop_rejects_no_request_in_its_body(self) -> None:
        _run(self._woken(Router.drain))


class IdleLimitTests(unittest.TestCase):
    """The idle limit changes while a connection is idle."""

    async def answer_one(self, router: Router, stream: TcpStream) -> None:
        """Let the connection fall idle after an answer."""
        router.may_answer.set()
        await stream.send(_BODY % 1)
        self.assertIn(b"200", await stream.receive())

    # Guards against connections closed by the limit that held when they fell idle.
    def test_a_longer_limit_applies_to_idle_connections(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.limits = CallerLimits(idle_timeout_s=_SHORT_S)
            await self.answer_one(router, stream)
            router.limits = CallerLimits(idle_timeout_s=_LONG_S)
            await anyio.sleep(2 * _SHORT_S)
            await stream.send(_BODY % 2)
            self.assertIn(b"200", await stream.receive())

        _run(scenario)

    # Guards against a request refused by the limit that held when its connection idled.
    def test_a_larger_body_limit_applies_to_idle_connections(self) -> None:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.limits = CallerLimits(idle_timeout_s=_TIMEOUT_S, body_bytes=2)
            await self.answer_one(router, stream)
            router.limits = CallerLimits(idle_timeout_s=_TIMEOUT_S, body_bytes=100)
            await stream.send((_BODY % 2).replace(b"2\r\n\r\nab", b"4\r\n\r\nabcd"))
            self.assertIn(b" 200 ", await stream.receive())

        _run(scenario)


class HandlerErrorTests(unittest.TestCase):
    """A handler fails with the error of a connection that is not the caller's."""

    # Guards against an error of a target or the store taken for a caller that left.
    def test_a_caller_is_answered_if_another_connection_breaks(self) -> None:
        for error in (
            anyio.BrokenResourceError(),
            anyio.ClosedResourceError(),
            OSError("out of file descriptors"),
            LookupError("an unexpected error"),
        ):
            with self.subTest(type(error).__name__):
                _run(self._failing(error))

    def _failing(self, error: Exception) -> _Scenario:
        async def scenario(router: Router, stream: TcpStream) -> None:
            router.error = error
            await stream.send(_BODY % 1)
            self.assertIn(b" 502 ", await _read_all(stream))

        return scenario


if __name__ == "__main__":
    unittest.main()
