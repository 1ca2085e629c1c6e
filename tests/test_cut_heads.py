"""Targets that stop in the middle of an answer's head and close the connection."""

from __future__ import annotations

import unittest
from typing import Any, Awaitable, Callable

import anyio
from anyio.abc import SocketStream

from endivegw.services.http_calls import ResponseLost
from endivegw.targets import EngineFailed
from endivegw_standins.platform_worker import PlatformWorker
from tests.platform_fleet import ClientFleet
from tests.raw_target import call_service, call_store, raw_target
from tests.test_attempt_races import run_script

_ROUTES = ("print", "chat")

#: Fields that say how an answer ends.
_WITH_LENGTH = b"content-length: 5\r\n"
_IN_CHUNKS = b"transfer-encoding: chunked\r\n"
_WITH_CONNECTION = b"connection: close\r\n"

#: Methods and framings of the answers.
_FORMS = (
    (b"POST", _WITH_LENGTH),
    (b"POST", _IN_CHUNKS),
    (b"POST", _WITH_CONNECTION),
    (b"HEAD", _WITH_LENGTH),
)

#: Requests in progress at once.
_CONCURRENT = 6


def _head(request_id: bytes, framing: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nendivegw-attempt-id: %b\r\n"
        b"endivegw-response-seal: s\r\n%b\r\n" % (request_id, framing)
    )


class CutHeadTests(unittest.TestCase):
    """All targets close in the middle of each answer's head."""

    def statuses(self, method: bytes, framing: bytes) -> dict[str, tuple[int, bool]]:
        """Return the status and the completeness of each answer, by request.

        The id of a request says after how many bytes its answer is cut.
        """
        found: dict[str, tuple[int, bool]] = {}

        async def script(
            worker: PlatformWorker,
            stream: SocketStream,
            fields: dict[str, str],
            body: bytes,
            number: int,
        ) -> bool:
            request_id = fields["endivegw-attempt-id"]
            cut = int(request_id.split("-")[1])
            await stream.send(_head(request_id.encode(), framing)[:cut])
            return False

        async def scenario(fleet: ClientFleet) -> None:
            limiter = anyio.CapacityLimiter(_CONCURRENT)

            async def send(route: str, cut: int) -> None:
                name = f"{route}-{cut:03}"
                tokens = (20, 8) if route == "chat" else None
                async with limiter:
                    answer = await fleet.send_request(
                        route, attempt_id=name, tokens=tokens, method=method.decode()
                    )
                found[name] = answer.status, answer.complete

            async with anyio.create_task_group() as tasks:
                for route in _ROUTES:
                    size = len(_head(b"%b-000" % route.encode(), framing))
                    for cut in range(size):
                        tasks.start_soon(send, route, cut)

        run_script(script, scenario, engines=2)
        return found

    # Guards against an answer whose head was cut, and that is relayed as a whole one.
    def test_no_cut_head_becomes_a_successful_answer(self) -> None:
        for method, framing in _FORMS:
            with self.subTest(method=method, framing=framing):
                found = self.statuses(method, framing)
                self.assertGreater(len(found), 100)
                # A request that was sent may have run.
                self.assertEqual(set(found.values()), {(502, True)})


class ClientTests(unittest.TestCase):
    """The clients of a sidecar's target and of the store, and heads that are cut."""

    def check_each_cut(
        self, call: Callable[[str], Awaitable[Any]], check: Callable[[Any], None]
    ) -> None:
        """Check the result of a call for each cut of the head of its answer."""
        cut = 0

        async def scenario() -> None:
            nonlocal cut
            async with raw_target(lambda: _head(b"a1", framing)[:cut]) as url:
                for cut in range(len(_head(b"a1", framing))):
                    with anyio.fail_after(5.0):
                        check(await call(url))

        for framing in (_WITH_LENGTH, _IN_CHUNKS, _WITH_CONNECTION):
            with self.subTest(framing=framing):
                anyio.run(scenario)

    # Guards against an answer of a service that begins although its head was cut.
    def test_an_answer_of_a_service_fails(self) -> None:
        def check(found: list[Any]) -> None:
            self.assertEqual([type(event) for event in found], [EngineFailed])
            self.assertTrue(found[0].started)

        self.check_each_cut(call_service, check)

    # Guards against a row that counts as read although the answer's head was cut.
    def test_an_answer_of_the_store_is_lost(self) -> None:
        self.check_each_cut(
            call_store, lambda found: self.assertIsInstance(found, ResponseLost)
        )


if __name__ == "__main__":
    unittest.main()
