"""Answers of targets that are not valid HTTP, or that break off."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import unittest
from typing import Any, Awaitable, Callable, Iterator

import anyio
from anyio.abc import SocketStream

from endivegw.relay.target_connection import (
    AnswerBroken,
    OutgoingRequest,
    TargetConnection,
)
from endivegw.services.http_calls import ResponseLost
from endivegw.targets import EngineFailed
from endivegw.tcp_stream import connect_tcp
from endivegw_standins.platform_worker import PlatformWorker
from tests.platform_fleet import ClientFleet
from tests.raw_target import call_service, call_store, raw_target
from tests.test_attempt_races import run_script

#: Statuses that are none, as sent in the first line of an answer.
_STATUSES = ("000", "001", "099", "600", "999")

#: Names of fields that are none.
_NAMES = (
    b"x y",
    b"x\ty",
    b"x\x01y",
    b"x\x00y",
    b"x\x7fy",
    b"x\x80y",
    b"x ",
    b" x",
    b"",
    b"content-length ",
    b"content length",
)

#: First lines of other protocols, and of versions whose messages differ.
_PROTOCOLS = (b"HTTP/2.0", b"HTTP/0.9", b"RTSP/1.0", b"ICE/1.0")

_START = b"HTTP/1.1 200 OK\r\n"
_FRAMINGS = (
    b"content-length: 5\r\n\r\nhello",
    b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"connection: close\r\n\r\nhello",
)


def _forms() -> dict[str, tuple[bytes, bytes]]:
    """Return the first line and the first field of each broken answer, by name."""
    forms = {}
    for status in _STATUSES:
        forms[f"status-{status}"] = f"HTTP/1.1 {status} OK\r\n".encode(), b""
    for number, name in enumerate(_NAMES):
        forms[f"name-{number}"] = _START, name + b": 1\r\n"
    for number, protocol in enumerate(_PROTOCOLS):
        forms[f"protocol-{number}"] = protocol + b" 200 OK\r\n", b""
    return forms


class FleetTests(unittest.TestCase):
    """All targets of a direct router answer so."""

    def outcomes(self, route: str, framing: bytes) -> dict[str, tuple[int, bool]]:
        """Return the status and the completeness of each answer, by form."""
        found: dict[str, tuple[int, bool]] = {}
        forms = _forms()

        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            request_id = fields["endivegw-attempt-id"]
            first, field = forms[request_id]
            named = (
                f"endivegw-attempt-id: {request_id}\r\nendivegw-response-seal: s\r\n"
            )
            await stream.send(first + named.encode() + field + framing)
            return False

        async def scenario(fleet: ClientFleet) -> None:
            tokens = None if route == "print" else (20, 8)
            for name in forms:
                answer = await fleet.send_request(route, attempt_id=name, tokens=tokens)
                found[name] = answer.status, answer.complete

        run_script(script, scenario, engines=1)
        return found

    # Guards against bytes that are no answer and reach a caller as one.
    def test_no_broken_answer_reaches_a_caller(self) -> None:
        for route in ("print", "chat"):
            for framing in _FRAMINGS:
                for name, outcome in self.outcomes(route, framing).items():
                    with self.subTest(route=route, framing=framing, form=name):
                        # The request may have run.
                        self.assertEqual(outcome, (502, True))


class ClientTests(unittest.TestCase):
    """The clients of a sidecar's target and of the store get such answers."""

    def check_each_form(
        self, call: Callable[[str], Awaitable[Any]], check: Callable[[Any], None]
    ) -> None:
        """Check the result of a call for each form of a broken answer."""
        answer = b""

        async def scenario() -> None:
            nonlocal answer
            async with raw_target(lambda: answer) as url:
                for name, (first, field) in _forms().items():
                    for framing in _FRAMINGS:
                        answer = first + field + framing
                        with self.subTest(form=name, framing=framing):
                            with anyio.fail_after(5.0):
                                check(await call(url))

        anyio.run(scenario)

    # Guards against bytes that are no answer and begin the answer of a service.
    def test_a_broken_answer_of_a_service_fails(self) -> None:
        def check(found: list[Any]) -> None:
            self.assertEqual([type(event) for event in found], [EngineFailed])
            self.assertTrue(found[0].started)

        self.check_each_form(call_service, check)

    # Guards against bytes that are no answer and count as one of the store.
    def test_a_broken_answer_of_the_store_is_lost(self) -> None:
        self.check_each_form(
            call_store, lambda found: self.assertIsInstance(found, ResponseLost)
        )


#: Value of ``SO_LINGER``: a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_UPLOAD = [b"x" * 65536] * 64

#: Bytes that the target reads before it answers, and size of the part that it sends.
_READ_BYTES = (100, 65536, 500_000)
_PART_BYTES = (10, 70_000, 300_000)

#: Calls of each kind, since a reset may arrive at any moment of an upload.
_CALLS = 5


class EarlyResetTests(unittest.TestCase):
    """A target answers an upload at once without a length, and resets."""

    def check_each_size(self, call: Callable[[int], Awaitable[bool]]) -> None:
        """Check that no call returns a whole answer."""

        async def scenario(port: int) -> list[bool]:
            with anyio.fail_after(20.0):
                return [await call(port) for _ in range(_CALLS)]

        for read_bytes in _READ_BYTES:
            for part_bytes in _PART_BYTES:
                with self.subTest(read_bytes=read_bytes, part_bytes=part_bytes):
                    with _resetting_target(read_bytes, part_bytes) as port:
                        whole = anyio.run(scenario, port)
                    self.assertEqual(whole, [False] * _CALLS)

    # Guards against a part of an answer that is taken for all of it at its reset.
    def test_a_direct_router_gets_no_whole_answer(self) -> None:
        async def call(port: int) -> bool:
            stream = await connect_tcp("127.0.0.1", port)
            connection = TargetConnection(stream, f"127.0.0.1:{port}", 0.0)
            body = b"".join(_UPLOAD)
            request = OutgoingRequest(b"POST", b"/x", [(b"host", b"t")], body)
            try:
                await connection.send_request(request, lambda status, fields: True)
                while await connection.body() is not None:
                    pass
                return True
            except AnswerBroken:
                return False
            finally:
                await connection.close()

        self.check_each_size(call)

    # Guards against a part of an answer that is taken for all of it at its reset.
    def test_a_sidecar_gets_no_whole_answer(self) -> None:
        async def call(port: int) -> bool:
            events = await call_service(f"http://127.0.0.1:{port}", _UPLOAD)
            return not isinstance(events[-1], EngineFailed)

        self.check_each_size(call)


@contextlib.contextmanager
def _resetting_target(read_bytes: int, part_bytes: int) -> Iterator[int]:
    """Yield the port of a target that resets its connections within an answer."""

    def serve() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(read_bytes)
                    head = _START + b"connection: close\r\n\r\n"
                    connection.sendall(head + b"p" * part_bytes)
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield listener.getsockname()[1]
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


if __name__ == "__main__":
    unittest.main()
