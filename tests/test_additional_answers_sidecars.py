"""Targets behind sidecars that send additional answers on a connection."""

from __future__ import annotations

import unittest
from typing import Any, AsyncIterator, Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.targets import (
    EngineEnded,
    HttpService,
    OpenAiEngine,
    ServiceAnswerHead,
    ServiceRequest,
)
from endivegw.types import AttemptId
from tests.test_answers_without_length import CHUNK, DONE, ENGINE_REQUEST

_CALLS = 5
_EXTRA = b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"


def _answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


class AdditionalAnswerTests(unittest.TestCase):
    """A target sends one more answer when the next request has arrived."""

    def call_often(
        self, body: bytes, call: Callable[[str], Awaitable[list[Any]]]
    ) -> list[list[Any]]:
        """Return the events of some calls, one after the other."""

        async def serve(stream: SocketStream) -> None:
            async with stream:
                extra = b""
                while True:
                    try:
                        await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                    await stream.send(extra)
                    await anyio.sleep(0.01)
                    await stream.send(_answer(body))
                    extra = _EXTRA

        async def scenario() -> list[list[Any]]:
            async with (
                await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
                anyio.create_task_group() as tasks,
            ):
                port = listener.extra(SocketAttribute.local_port)
                tasks.start_soon(listener.serve, serve)
                with anyio.fail_after(10.0):
                    url = f"http://127.0.0.1:{port}"
                    self.target = OpenAiEngine(url), HttpService(url)
                    found = [await call(url) for _ in range(_CALLS)]
                for target in self.target:
                    await target.aclose()
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(scenario)

    # Guards against a request that an engine runs and that counts as not started.
    def test_an_engine_is_not_misunderstood(self) -> None:
        async def call(url: str) -> list[Any]:
            engine, _ = self.target
            return [event async for event in engine.generate(ENGINE_REQUEST)]

        for events in self.call_often(CHUNK * 3 + DONE, call):
            self.assertIsInstance(events[-1], EngineEnded)

    # Guards against an answer that belongs to the request before.
    def test_a_service_is_not_misunderstood(self) -> None:
        async def no_body() -> AsyncIterator[bytes]:
            yield b""

        async def call(url: str) -> list[Any]:
            _, service = self.target
            request = ServiceRequest(AttemptId("a1"), "GET", "/x", ())
            return [event async for event in service.call(request, no_body())]

        for events in self.call_often(b"whole", call):
            self.assertEqual(events[0], ServiceAnswerHead(200, events[0].fields))
            self.assertEqual(b"".join(events[1:]), b"whole")


if __name__ == "__main__":
    unittest.main()
