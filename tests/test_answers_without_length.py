"""Answers that have neither a length nor chunks and end with their connection."""

from __future__ import annotations

import json
import unittest
from typing import Any, AsyncGenerator

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.targets import (
    EngineEnded,
    EngineFailed,
    EngineRequest,
    EngineText,
    HttpService,
    OpenAiEngine,
    ServiceAnswerHead,
    ServiceRequest,
)
from endivegw.types import AttemptId, Priority
from tests.platform_fleet import ClientFleet, platform_fleet

EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
ANSWERS = 20
#: Retries that a router allows at once.
RETRIES = 10

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
)
_DOCUMENT = {"choices": [{"index": 0, "delta": {"content": "a"}}]}
CHUNK = b"data: " + json.dumps(_DOCUMENT).encode() + b"\n\n"
_USAGE = {"prompt_tokens": 1, "completion_tokens": 3, "total_tokens": 4}
_LAST = {
    "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
    "usage": _USAGE,
}
DONE = b"data: " + json.dumps(_LAST).encode() + b"\n\ndata: [DONE]\n\n"
SERVICE_REQUEST = ServiceRequest(AttemptId("a1"), "POST", "/x", ())
ENGINE_REQUEST = EngineRequest(
    attempt_id=AttemptId("a1"),
    body=b'{"model": "m", "messages": [{"role": "user", "content": "hello"}]}',
    chat=True,
    model="m",
    adapter="",
    max_completion_tokens=100,
    priority=Priority.NORMAL,
    deadline_s=10.0,
)


def end_with_connection(fleet: ClientFleet) -> None:
    """Let all targets end their answers with the connection."""
    for worker in fleet.workers.values():
        worker.ends_with_connection = True


class FleetTests(unittest.TestCase):
    """Callers get whole answers, or ones that do not look complete."""

    def test_plain_answers_are_whole(self) -> None:
        """Guards against answers that are lost or cut where no length is stated."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                end_with_connection(fleet)
                for number in range(ANSWERS):
                    body = b"%d" % number * 5000
                    answer = await fleet.send_request("notice", body=body)
                    self.assertEqual((answer.status, answer.body), (200, body))
                    self.assertTrue(answer.complete)

        anyio.run(scenario)

    def test_streams_are_whole(self) -> None:
        """Guards against streams that lose their end where no length is stated."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                end_with_connection(fleet)
                for _ in range(ANSWERS):
                    answer = await fleet.send_request("chat", tokens=(10, 20))
                    self.assertEqual((answer.status, answer.body), (200, EVENTS))
                    self.assertTrue(answer.complete)

        anyio.run(scenario)

    def test_a_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        """Guards against the end of a connection that is taken for that of a stream."""

        async def scenario() -> None:
            broken = 0
            for events_before in range(4):
                async with platform_fleet() as fleet:
                    end_with_connection(fleet)
                    for number in range(RETRIES):
                        breaking = fleet.workers[f"e-{number % 2 + 1}"]
                        breaking.break_after_events = events_before
                        answer = await fleet.send_request("resumable", tokens=(10, 20))
                        self.assertEqual((answer.status, answer.body), (200, EVENTS))
                        broken += breaking.break_after_events is None
                        breaking.break_after_events = None
            self.assertGreater(broken, 0)

        anyio.run(scenario)

    def test_a_broken_stream_does_not_look_complete(self) -> None:
        """Guards against a part of a stream that a caller takes for all of it."""

        async def scenario() -> None:
            async with platform_fleet(engines=1) as fleet:
                end_with_connection(fleet)
                for _ in range(ANSWERS):
                    fleet.workers["e-1"].break_after_events = 2
                    answer = await fleet.send_request("chat", tokens=(10, 20))
                    self.assertFalse(answer.complete)
                    self.assertEqual(answer.body, EVENTS[: len(answer.body)])

        anyio.run(scenario)


class SidecarTests(unittest.TestCase):
    """Sidecars call a plain service and an engine without lengths or chunks."""

    def call(self, answer: bytes, *, engine: bool) -> list[Any]:
        """Return the events of one call whose answer ends with its connection."""

        async def serve(stream: SocketStream) -> None:
            async with stream:
                received = b""
                while b"0\r\n\r\n" not in received and b"}" not in received:
                    received += await stream.receive()
                await stream.send(HEAD + answer)

        async def no_body() -> AsyncGenerator[bytes, None]:
            yield b"hello"

        async def scenario() -> list[Any]:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            url = f"http://127.0.0.1:{port}"
            target = OpenAiEngine(url) if engine else HttpService(url)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with anyio.fail_after(5.0):
                    if isinstance(target, OpenAiEngine):
                        calls = target.generate(ENGINE_REQUEST)
                    else:
                        calls = target.call(SERVICE_REQUEST, no_body())
                    events = [event async for event in calls]
                await target.aclose()
                tasks.cancel_scope.cancel()
            return events

        return anyio.run(scenario)

    def test_an_answer_of_a_service_is_whole(self) -> None:
        """Guards against answers that are lost or cut where no length is stated."""
        for size in (0, 1, 5, 300_000):
            body = b"x" * size
            head, *parts = self.call(body, engine=False)
            self.assertIsInstance(head, ServiceAnswerHead)
            self.assertEqual(b"".join(parts), body)

    def test_a_stream_of_an_engine_is_whole(self) -> None:
        """Guards against streams that lose their end where no length is stated."""
        events = self.call(CHUNK * 3 + DONE, engine=True)
        self.assertEqual([type(event) for event in events[:-1]], [EngineText] * 4)
        self.assertIsInstance(events[-1], EngineEnded)

    def test_a_stream_that_ends_inside_an_event_has_failed(self) -> None:
        """Guards against the end of a connection that is taken for that of a stream."""
        for cut in (1, len(CHUNK) // 2, len(CHUNK)):
            events = self.call(CHUNK + CHUNK[:cut], engine=True)
            self.assertIsInstance(events[-1], EngineFailed)
            self.assertIs(events[-1].started, True)


if __name__ == "__main__":
    unittest.main()
