"""Callers that disconnect from a router in front of sidecars, in one process."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import unittest
from typing import Any, AsyncIterator, Callable
from unittest import mock

import anyio
from grpclib.client import Stream

from endivegw.configuration import TargetKind
from endivegw.daemons.request_run import RequestRun
from endivegw.dev.fleet import DevFleet
from endivegw.dev.layout import MODEL, SERVICE
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw_standins.service_app import ServiceApp
from endivegw_standins.serving import serve_in
from tests.process_fleet import ProcessFleet

_TIMEOUT_S = 10.0
_CALLERS = 12
_STREAMED_BYTES = 1000 * 1024

#: How long a target may go on after its caller has left.
_STOP_S = 3.0


class HoldingService(ServiceApp):
    """A service that records whether its caller stays until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.holds = False
        self.begun = anyio.Event()
        self.read = anyio.Event()
        self.left = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer at once, or wait for the end of the connection."""
        if not self.holds or scope["type"] != "http":
            await super().__call__(scope, receive, send)
            return
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.left.set()
                return
            self.begun.set()
            if not message.get("more_body", False):
                self.read.set()


class HoldingFleet(DevFleet):
    """A fleet whose service waits for the end of its connections."""

    holding: HoldingService

    async def _start_target(self, tasks: Any, target: Any) -> str:
        if target.kind is not TargetKind.SERVICE:
            return await super()._start_target(tasks, target)
        self.holding = HoldingService()
        self.services[target.name] = self.holding
        return await serve_in(tasks, self.holding, lifespan=False)


def build_http(
    fleet: DevFleet | ProcessFleet, path: str, body: bytes, **fields: str
) -> bytes:
    """Return the bytes of one request of the first account."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"content-length: {len(body)}"]
    lines.append(f"authorization: Bearer {fleet.accounts[0].key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def build_chat(
    fleet: DevFleet | ProcessFleet, text: str, stream: bool, **fields: str
) -> bytes:
    message = {"role": "user", "content": text}
    document = {"model": MODEL, "messages": [message], "max_tokens": 250}
    body = json.dumps({**document, "stream": stream}).encode()
    return build_http(fleet, "/v1/chat/completions", body, **fields)


def build_service(
    fleet: DevFleet | ProcessFleet, path: str, body: bytes, **fields: str
) -> bytes:
    return build_http(fleet, f"/services/{SERVICE}/{path}", body, **fields)


def count_starts(fleet: DevFleet | ProcessFleet) -> int:
    """Return the number of requests that reached an engine or a service."""
    engines = fleet.engines.values()
    starts = sum(c.starts for engine in engines for c in engine.consumed.values())
    return starts + sum(len(service.bodies) for service in fleet.services.values())


@contextlib.asynccontextmanager
async def holding_fleet() -> AsyncIterator[HoldingFleet]:
    fleet = HoldingFleet(http_ports=(0,), log_level="error")
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        yield fleet
        tasks.cancel_scope.cancel()


def connect_to_router(fleet: DevFleet) -> socket.socket:
    host, _, port = fleet.routers[0].url.removeprefix("http://").partition(":")
    return socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)


def _exchange(fleet: DevFleet, request: bytes) -> bytes:
    with connect_to_router(fleet) as connection:
        connection.sendall(request)
        return connection.recv(12)


class BlockedRouterTests(unittest.TestCase):
    """
    Callers ask and leave while the event loop is blocked. No request may be handed
    to a sidecar afterwards.
    """

    def _leave(self, build: Callable[[Any, int], bytes]) -> int:
        """Return the number of requests that were handed to sidecars."""
        handed: list[str] = []
        send_message = Stream.send_message

        async def record(self_: Any, message: Any, *, end: bool = False) -> None:
            if isinstance(message, pb.ExecuteMessage) and message.HasField("start"):
                handed.append(message.start.attempt_id)
            await send_message(self_, message, end=end)

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                for number in range(6):
                    request = build_chat(fleet, f"warm {number} len=5", False)
                    await anyio.to_thread.run_sync(_exchange, fleet, request)
                request = build_service(fleet, "status/1", b"warm")
                await anyio.to_thread.run_sync(_exchange, fleet, request)
                connections = [
                    await anyio.to_thread.run_sync(connect_to_router, fleet)
                    for _ in range(_CALLERS)
                ]
                await anyio.sleep(0.1)

                def act() -> None:
                    for number, connection in enumerate(connections):
                        connection.sendall(build(fleet, number))
                        connection.close()

                with mock.patch.object(Stream, "send_message", record):
                    thread = threading.Thread(target=act)
                    thread.start()
                    thread.join()
                    await anyio.sleep(0.5)

        anyio.run(scenario)
        return len(handed)

    def test_chat(self) -> None:
        """Complete answers."""
        self.assertEqual(
            self._leave(lambda f, n: build_chat(f, f"c{n} len=200", False)), 0
        )

    def test_chat_stream(self) -> None:
        """Streams."""
        self.assertEqual(
            self._leave(lambda f, n: build_chat(f, f"s{n} len=200", True)), 0
        )

    def test_keyed_chat(self) -> None:
        """A control: a claim is awaited, during which the router reads the end."""
        count = self._leave(
            lambda f, n: build_chat(f, f"k{n} len=200", False, idempotency_key=f"k{n}")
        )
        self.assertEqual(count, 0)

    def test_service(self) -> None:
        """Small requests to a plain service."""
        self.assertEqual(
            self._leave(lambda f, n: build_service(f, "status/1", b"x%d" % n)), 0
        )

    def test_notice(self) -> None:
        """A control, like that of keyed chat requests."""
        count = self._leave(
            lambda f, n: build_service(
                f, "notices", b"n%d" % n, idempotency_key=f"n{n}"
            )
        )
        self.assertEqual(count, 0)


class AnsweredClaimTests(unittest.TestCase):
    """
    The answer to a claim and the end of the caller's connection are unread together.
    The request then starts although its caller has left, also one that runs once.
    """

    def _leave(self, build: Callable[[Any, int], bytes]) -> tuple[int, int]:
        """Return how many requests were handed to sidecars, and started at targets."""
        handed: list[str] = []
        send_message = Stream.send_message
        claim = RequestRun.claim
        leaving: list[socket.socket] = []
        unclaimed: list[socket.socket] = []
        started: list[int] = []

        async def record(self_: Any, message: Any, *, end: bool = False) -> None:
            if isinstance(message, pb.ExecuteMessage) and message.HasField("start"):
                handed.append(message.start.attempt_id)
            await send_message(self_, message, end=end)

        async def claim_then_leave(self_: RequestRun, proposal: Any) -> Any:
            answer = await claim(self_, proposal)
            thread = threading.Thread(target=leaving.pop().close)
            thread.start()
            thread.join()
            return answer

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                request = build_service(fleet, "status/1", b"warm")
                await anyio.to_thread.run_sync(_exchange, fleet, request)
                request = build_chat(fleet, "warm len=5", False)
                await anyio.to_thread.run_sync(_exchange, fleet, request)
                before = count_starts(fleet)
                with (
                    mock.patch.object(Stream, "send_message", record),
                    mock.patch.object(RequestRun, "claim", claim_then_leave),
                ):
                    for number in range(6):
                        leaving.append(
                            await anyio.to_thread.run_sync(connect_to_router, fleet)
                        )
                        request = build(fleet, number)
                        await anyio.to_thread.run_sync(leaving[0].sendall, request)
                        with anyio.move_on_after(_TIMEOUT_S):
                            while leaving:
                                await anyio.sleep(0.01)
                        unclaimed.extend(leaving)
                        await anyio.sleep(0.2)
                started.append(count_starts(fleet) - before)

        anyio.run(scenario)
        self.assertEqual(unclaimed, [])
        return len(handed), started[0]

    def test_notice(self) -> None:
        """Requests to a plain service that may not be repeated."""
        count = self._leave(
            lambda f, n: build_service(
                f, "notices", b"n%d" % n, idempotency_key=f"n{n}"
            )
        )
        self.assertEqual(count, (0, 0))

    def test_chat(self) -> None:
        """Chat requests that may not be repeated."""
        count = self._leave(
            lambda f, n: build_chat(
                f,
                f"o{n} len=200",
                False,
                idempotency_key=f"o{n}",
                endivegw_repeatable="no",
            )
        )
        self.assertEqual(count, (0, 0))


class StreamedBodyTests(unittest.TestCase):
    """
    While a streamed body is forwarded and after it, nothing watched its caller: the
    service worked on until the deadline.
    """

    def _leave(self, sent_bytes: int) -> bool:
        """Return whether the service's connection ended soon after the caller left."""
        result: list[bool] = []

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                service = fleet.holding
                service.holds = True
                request = build_service(fleet, "status/1", b"b" * _STREAMED_BYTES)
                missing = _STREAMED_BYTES - sent_bytes
                connection = await anyio.to_thread.run_sync(connect_to_router, fleet)
                data = request[: len(request) - missing]
                await anyio.to_thread.run_sync(connection.sendall, data)
                with anyio.fail_after(_TIMEOUT_S):
                    await (service.begun if missing else service.read).wait()
                connection.close()
                with anyio.move_on_after(_STOP_S):
                    await service.left.wait()
                result.append(service.left.is_set())

        anyio.run(scenario)
        return result[0]

    def test_caller_that_leaves_within_its_body(self) -> None:
        """A part of the body is missing."""
        self.assertTrue(self._leave(_STREAMED_BYTES - 10_000))

    def test_caller_that_leaves_after_its_body(self) -> None:
        """The body is complete and the service works on it."""
        self.assertTrue(self._leave(_STREAMED_BYTES))

    def test_streamed_body_arrives_complete(self) -> None:
        """The part that the router had read before it streamed the rest was lost."""
        received: list[int] = []

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                request = build_service(fleet, "status/1", b"b" * _STREAMED_BYTES)
                await anyio.to_thread.run_sync(_exchange, fleet, request)
                received.extend(len(body) for body in fleet.holding.bodies)

        anyio.run(scenario)
        self.assertEqual(received, [_STREAMED_BYTES])

    def test_caller_with_a_small_body(self) -> None:
        """A body that is not streamed; this is watched."""
        with mock.patch(f"{__name__}._STREAMED_BYTES", 1000):
            self.assertTrue(self._leave(1000))


class PipelinedTests(unittest.TestCase):
    """
    A caller sends a second request before the first is answered, and leaves. The HTTP
    server reads no further then, and the caller's end is not noticed.
    """

    def _leave(self, seconds: int, together: bool) -> bool:
        """Return whether the service's connection ended soon after the caller left."""
        result: list[bool] = []

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                service = fleet.holding
                service.holds = True
                request = build_service(fleet, "status/1", b"first")
                more = build_service(fleet, "status/1", b"second") * seconds
                connection = await anyio.to_thread.run_sync(connect_to_router, fleet)
                first = request + more if together else request
                await anyio.to_thread.run_sync(connection.sendall, first)
                with anyio.fail_after(_TIMEOUT_S):
                    await service.read.wait()
                if more and not together:
                    await anyio.to_thread.run_sync(connection.sendall, more)
                    await anyio.sleep(0.1)
                connection.close()
                with anyio.move_on_after(_STOP_S):
                    await service.left.wait()
                result.append(service.left.is_set())

        anyio.run(scenario)
        return result[0]

    def test_no_second_request(self) -> None:
        """A control: one request."""
        self.assertTrue(self._leave(0, True))

    def test_second_request_with_the_first(self) -> None:
        """Both requests arrive in one read."""
        self.assertTrue(self._leave(1, True))

    def test_second_request_after_the_first(self) -> None:
        """The second request arrives while the service works on the first."""
        self.assertTrue(self._leave(1, False))


if __name__ == "__main__":
    unittest.main()
