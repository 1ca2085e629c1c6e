"""Targets that send bytes without end, in heads and in bodies, until they are cut."""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest
from typing import AsyncIterator, Awaitable, Callable
from unittest.mock import AsyncMock, MagicMock

import anyio
from attrs import define

from endivegw.relay.answer_parser import AnswerBroken, AnswerParser
from endivegw.relay.attempt import Attempt, StreamProgress
from endivegw.relay.events import EventOrder, EventSplitter
from endivegw.relay.held_answers import HeldAnswers
from endivegw.relay.messages import TargetHead
from endivegw.results import Unknown
from endivegw.targets import EngineFailed, OpenAiEngine
from endivegw_standins.platform_target import TARGET_ENTRY
from tests.platform_fleet import ClientFleet, platform_fleet
from tests.test_answers_without_length import ENGINE_REQUEST

MEGABYTE = 1024 * 1024

#: Send buffer of a target.
SEND_BUFFER_BYTES = 65536

#: Bytes that sockets and the parser take beyond what a router holds; a kernel may let
#: the receive buffer of a socket grow to 32 MB.
BUFFERED_BYTES = 40 * MEGABYTE

#: Most bytes that a target sends, so that a failing test ends.
MAX_SENT_BYTES = 160 * MEGABYTE

OK = b"HTTP/1.1 200 OK\r\nendivegw-attempt-id: %b\r\nendivegw-response-seal: s\r\n"
FAILURE = OK.replace(b"200 OK", b"500 X")
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + 65536 * b"x" + b"\r\n"

#: What a target sends first, and what it then sends without end.
HEADS = {
    "no HTTP": (b"", 65536 * b"x"),
    "status line": (b"HTTP/1.1 200 ", 65536 * b"x"),
    "field": (OK + b"x: ", 65536 * b"x"),
    "fields": (OK, 4096 * b"x-a: b\r\n"),
    "informational heads": (b"", 1024 * b"HTTP/1.1 103 X\r\na: b\r\n\r\n"),
    "chunk size": (OK + CHUNKED, 65536 * b"0"),
    "trailers": (OK + CHUNKED + b"0\r\n", 4096 * b"x-a: b\r\n"),
    "another answer": (OK.replace(b"%b", b"another") + CHUNKED, CHUNK),
}
BODIES = {
    "chunks": (OK + CHUNKED, CHUNK),
    "no length": (OK + b"\r\n", 65536 * b"x"),
    "huge length": (OK + b"content-length: 99999999999\r\n\r\n", 65536 * b"x"),
    "failure": (FAILURE + CHUNKED, CHUNK),
}
EVENTS = {
    "comments": (OK + b"\r\n", 8192 * b":\n\n"),
    "data": (OK + b"\r\n", 1024 * b"data: x\n\n"),
}

#: Service and tokens of a stream.
_ENGINE = ("engine", (10, 20))


class EndlessTarget:
    """Answer each request with bytes without end, in a thread.

    :ivar sent_bytes: bytes that were sent to all connections.
    :ivar requests: requests that were answered so.
    """

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first, self._rest = first, rest
        self.request_ends = (b"hello", b"}", b"\r\n\r\n")
        self.sent_bytes = 0
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                arguments = (connection,)
                threading.Thread(
                    target=self._serve, args=arguments, daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            received = b""
            while not received.endswith(self.request_ends):
                data = connection.recv(65536)
                if not data:
                    return
                received += data
            _, _, rest = received.lower().partition(b"endivegw-attempt-id: ")
            self.requests += 1
            connection.sendall(self._first.replace(b"%b", rest.split(b"\r\n")[0]))
            while self.sent_bytes < MAX_SENT_BYTES:
                connection.sendall(self._rest)
                self.sent_bytes += len(self._rest)


@contextlib.asynccontextmanager
async def endless_target(
    fleet: ClientFleet, service: str, first: bytes, rest: bytes
) -> AsyncIterator[EndlessTarget]:
    """Add a target that sends without end."""
    target = EndlessTarget(first, rest)
    entry = {"Service": service, "Address": target.address, "Zone": "z"}
    fleet.store.put("servers", target.address, {**TARGET_ENTRY, **entry})
    await anyio.sleep(0.2)
    try:
        yield target
    finally:
        fleet.store.drop("servers", target.address)
        target.listener.close()


@define
class Outcome:
    """What a caller received of one such answer, and how much was sent."""

    form: str
    route: str
    status: int
    complete: bool
    sent_bytes: int


class FleetTests(unittest.TestCase):
    """A router ends such answers and tells its callers."""

    def send_all(
        self, routes: tuple[str, ...], forms: dict[str, tuple[bytes, bytes]]
    ) -> list[Outcome]:
        """Send a request for each form on each route, to no other target."""
        outcomes: list[Outcome] = []

        async def send(fleet: ClientFleet, route: str, form: str) -> None:
            service, tokens = ("plain", None) if route == "print" else _ENGINE
            first, rest = forms[form]
            async with endless_target(fleet, service, first, rest) as target:
                answer = await fleet.send_request(route, tokens=tokens)
                await anyio.sleep(0.1)
                outcomes.append(
                    Outcome(
                        form, route, answer.status, answer.complete, target.sent_bytes
                    )
                )

        async def scenario() -> None:
            async with platform_fleet(routers=1) as fleet:
                for name in list(fleet.workers):
                    fleet.store.drop("servers", name)
                for route in routes:
                    for form in forms:
                        await send(fleet, route, form)

        anyio.run(scenario)
        return outcomes

    # Guards against memory and time that an endless head takes.
    def test_endless_heads_are_cut(self) -> None:
        """The caller is told before its deadline that the end is unknown."""
        for outcome in self.send_all(("print", "chat"), HEADS):
            with self.subTest(outcome=outcome):
                self.assertTrue(outcome.status == 502 or not outcome.complete)
                self.assertLessEqual(outcome.sent_bytes, BUFFERED_BYTES)

    # Guards against memory that an endless body of a plain answer or a failure takes.
    def test_endless_bodies_are_cut(self) -> None:
        """The caller is told before its deadline that the end is unknown."""
        max_bytes = HeldAnswers().max_answer_bytes + BUFFERED_BYTES
        for outcome in self.send_all(("print",), BODIES):
            with self.subTest(outcome=outcome):
                self.assertEqual(outcome.status, 502)
                self.assertLessEqual(outcome.sent_bytes, max_bytes)

    # Guards against a processor that is spent on a stream without an event.
    def test_streams_without_an_event_are_cut(self) -> None:
        """The caller is told before its deadline that the end is unknown."""
        streams = {form: BODIES[form] for form in BODIES if form != "failure"}
        for outcome in self.send_all(("chat",), streams):
            with self.subTest(outcome=outcome):
                self.assertEqual(outcome.status, 502)
                self.assertLessEqual(outcome.sent_bytes, BUFFERED_BYTES)

    # Guards against a router that is busy with one stream of events without end.
    def test_streams_of_events_without_end_are_cut(self) -> None:
        """The caller gets some of them, and not the end of an answer."""
        for outcome in self.send_all(("chat",), EVENTS):
            with self.subTest(outcome=outcome):
                self.assertTrue(outcome.status == 502 or not outcome.complete)
                self.assertLessEqual(outcome.sent_bytes, BUFFERED_BYTES)

    # Guards against memory that the endless body of a failed stream takes.
    def test_failures_of_streams_are_cut(self) -> None:
        """The caller is told before its deadline that the end is unknown."""
        max_bytes = HeldAnswers().max_answer_bytes + BUFFERED_BYTES
        (outcome,) = self.send_all(("chat",), {"failure": BODIES["failure"]})
        self.assertEqual(outcome.status, 502)
        self.assertLessEqual(outcome.sent_bytes, max_bytes)

    # Guards against callers that one such target keeps from the sound ones.
    def test_a_target_that_sends_without_end_is_avoided(self) -> None:
        """Requests that may be repeated are answered by the sound target."""
        statuses: list[int] = []
        requests: list[int] = []

        async def scenario() -> None:
            async with platform_fleet(routers=1) as fleet:
                first, rest = BODIES["chunks"]
                async with endless_target(fleet, "plain", first, rest) as target:
                    for _ in range(30):
                        answer = await fleet.send_request("notice")
                        statuses.append(answer.status)
                    requests.append(target.requests)

        anyio.run(scenario)
        self.assertEqual(set(statuses), {200})
        self.assertLess(requests[0], 10)


class SidecarTests(unittest.TestCase):
    """A sidecar ends such answers of its engine."""

    def run_call(
        self, form: str, call: Callable[[OpenAiEngine], Awaitable[object]]
    ) -> tuple[object, int]:
        """Return the result of a call, and the bytes that the engine sent."""
        found: list[object] = []
        target = EndlessTarget(*BODIES[form])

        async def scenario() -> None:
            engine = OpenAiEngine(f"http://{target.address}")
            found.append(await call(engine))
            await engine.aclose()

        anyio.run(scenario)
        target.listener.close()
        return found[0], target.sent_bytes

    # Guards against memory that an endless line or failure of an engine takes.
    def test_endless_streams_of_an_engine_are_cut(self) -> None:
        """The request may have run."""

        async def generate(engine: OpenAiEngine) -> list[object]:
            return [event async for event in engine.generate(ENGINE_REQUEST)]

        for form in BODIES:
            with self.subTest(form=form):
                events, sent_bytes = self.run_call(form, generate)
                assert isinstance(events, list)
                self.assertEqual([type(event) for event in events], [EngineFailed])
                self.assertTrue(events[0].started)
                self.assertLessEqual(sent_bytes, BUFFERED_BYTES)

    # Guards against memory that an endless report of an engine takes.
    def test_endless_reports_of_an_engine_are_cut(self) -> None:
        """The state of the engine is unknown."""
        state, sent_bytes = self.run_call("chunks", OpenAiEngine.state)
        self.assertIsInstance(state, Unknown)
        self.assertLessEqual(sent_bytes, 2 * BUFFERED_BYTES)


class ParserTests(unittest.TestCase):
    """The parts of a router that bound an answer."""

    # Guards against informational heads that count as progress.
    def test_informational_heads_are_limited(self) -> None:
        """A few precede an answer; thousands are no answer."""
        head = b"HTTP/1.1 103 X\r\na: b\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        parser = AnswerParser()
        parser.feed(3 * head)
        parser.feed(head + final)
        self.assertTrue(parser.complete)
        parser = AnswerParser()
        for _ in range(2000):
            parser.feed(head)
        with self.assertRaises(AnswerBroken):
            parser.head()

    # Guards against an event that never ends.
    def test_an_event_is_limited(self) -> None:
        """A large event is whole in any pieces; one without end is refused."""
        event = b"data: " + 200_000 * b"x" + b"\r\n\r\n"
        splitter = EventSplitter()
        found = []
        for at in range(0, len(event), 999):
            found += splitter.feed(event[at : at + 999])
        self.assertEqual([part.data for part in found], [event])
        with self.assertRaises(AnswerBroken):
            for _ in range(40):
                splitter.feed(65536 * b"x")

    # Guards against callers who wait while a router reads events without end.
    def test_a_stream_gives_other_requests_their_turn(self) -> None:
        """One read brings 16,384 events, of which none is relayed as one batch."""
        batches: list[int] = []
        turns: list[int] = [0]

        async def relay(data: bytes) -> None:
            batches.append(len(data))

        async def scenario() -> None:
            attempt = Attempt(
                pool=MagicMock(),
                wire=MagicMock(),
                request_id="a-1",
                stream_progress=StreamProgress(EventOrder()),
                relay_head=lambda head, data: relay(data),
                relay_events=relay,
                on_first_data=lambda: None,
                start_send=lambda: True,
                on_metadata=lambda metadata: None,
                cancel_if_caller_left=lambda: None,
                is_cancelled=lambda: False,
                on_silent=lambda: None,
                held_answers=HeldAnswers(),
            )
            connection = MagicMock()
            connection.body = AsyncMock(side_effect=[16384 * b":x\n\n", None])
            head = TargetHead(200, [])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._count_turns, turns)
                await attempt._relay_stream(connection, head)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        self.assertEqual(sum(batches), 65536)
        self.assertGreaterEqual(turns[0], 2)

    async def _count_turns(self, turns: list[int]) -> None:
        while True:
            await anyio.lowlevel.checkpoint()
            turns[0] += 1

    # Guards against answers that fit one by one and not together.
    def test_answers_are_limited_together(self) -> None:
        """The largest one is given up; the others are read to their end."""
        held = HeldAnswers(max_answer_bytes=1000, max_total_bytes=1500)
        with held.open() as large, held.open() as small:
            large.add(900 * b"x")
            small.add(500 * b"y")
            small.add(300 * b"y")
            self.assertEqual(small.body(), 800 * b"y")
            with self.assertRaises(AnswerBroken):
                large.add(b"x")
            with self.assertRaises(AnswerBroken):
                small.add(300 * b"y")
        self.assertEqual(held.total_bytes, 0)

    # Guards against an answer without its body that a caller takes for a whole one.
    def test_an_answer_that_was_given_up_does_not_end(self) -> None:
        """It has received all its parts, and another answer needs the room."""
        held = HeldAnswers(max_answer_bytes=1000, max_total_bytes=1500)
        with held.open() as large, held.open() as small:
            large.add(900 * b"x")
            small.add(800 * b"y")
            with self.assertRaises(AnswerBroken):
                large.body()
            self.assertEqual(small.body(), 800 * b"y")


if __name__ == "__main__":
    unittest.main()
