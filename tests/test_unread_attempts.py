"""Attempts that a cancel leaves running because their answer is still read."""

from __future__ import annotations

import unittest
from contextlib import aclosing
from typing import Any

import anyio

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from tests.sidecar_fakes import FakeEngine, served

_TIMEOUT_S = 10.0

#: Longer than an attempt that is to be stopped runs on without a reader.
_RUN_ON_S = 1.0


async def read_first_data(frames: Any) -> None:
    """Read an answer up to its first data."""
    async for frame in frames:
        if frame.data:
            return


def _long_start(rig: Any, attempt: str, repeatable: bool) -> pb.ExecuteStart:
    """Return the start of a generation that outlasts the test."""
    work = pb.EngineWork(max_completion_tokens=2000)
    start = rig.start_message(attempt, reservation_tokens=2100, engine=work)
    start.repeatable = repeatable
    return start


class UnreadAttemptTests(unittest.IsolatedAsyncioTestCase):
    """
    Two callers read one attempt. The first disconnects, and its router's cancel spares
    the attempt. The second disconnects later, and the engine generated for nobody.
    """

    async def _leave(
        self, second_returns: bool = False, repeatable: bool = True
    ) -> list[str]:
        """Return what the engine was told to cancel after the callers had left."""
        engine = FakeEngine(pieces=1000, pause_s=0.02)
        async with served(engine) as rig:
            first, second, third = (
                rig.client.execute(_long_start(rig, attempt, repeatable))
                for attempt in ("a1", "a2", "a3")
            )
            async with aclosing(first), aclosing(second), aclosing(third):
                await read_first_data(first)
                await read_first_data(second)
                await first.aclose()
                request = pb.CancelRequest(header=rig.header(), attempt_id="a1")
                reply = await rig.client.cancel(request, 2.0)
                self.assertTrue(reply.running)
                await second.aclose()
                if second_returns:
                    await read_first_data(third)
                if second_returns or not repeatable:
                    await anyio.sleep(_RUN_ON_S)
                    return list(engine.cancelled)
                with anyio.move_on_after(_TIMEOUT_S):
                    while not engine.cancelled:
                        await anyio.sleep(0.01)
                return list(engine.cancelled)

    async def test_attempt_is_stopped_when_its_last_reader_leaves(self) -> None:
        """Guards against an engine that generates for nobody."""
        self.assertEqual(await self._leave(), ["a1"])

    async def test_attempt_is_not_stopped_while_a_reader_returns(self) -> None:
        """Guards against a stop while a reader whose connection broke reconnects."""
        self.assertEqual(await self._leave(second_returns=True), [])

    async def test_attempt_that_may_not_be_repeated_runs_on(self) -> None:
        """Guards against a stop halfway: its answer is kept for the caller's retry."""
        self.assertEqual(await self._leave(repeatable=False), [])


if __name__ == "__main__":
    unittest.main()
