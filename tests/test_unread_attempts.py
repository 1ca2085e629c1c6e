"""Attempts that a cancel leaves running because their answer is still read."""

from __future__ import annotations

import unittest
from contextlib import aclosing
from typing import Any

import anyio

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from tests.sidecar_fakes import FakeEngine, served

_TIMEOUT_S = 10.0


async def read_first_data(frames: Any) -> None:
    """Read an answer up to its first data."""
    async for frame in frames:
        if frame.data:
            return


class UnreadAttemptTests(unittest.IsolatedAsyncioTestCase):
    """
    Two callers read one attempt. The first disconnects, and its router's cancel spares
    the attempt. The second disconnects later, and the engine generated for nobody.
    """

    async def _leave(self, second_returns: bool) -> FakeEngine:
        """Return the engine after both callers, or only the first, have left."""
        engine = FakeEngine(pieces=1000, pause_s=0.02)
        work = pb.EngineWork(max_completion_tokens=2000)
        tokens = {"reservation_tokens": 2100, "engine": work}
        async with served(engine) as rig:
            first = rig.client.execute(rig.start_message(**tokens))
            second = rig.client.execute(rig.start_message("a2", **tokens))
            async with aclosing(first), aclosing(second):
                await read_first_data(first)
                await read_first_data(second)
                await first.aclose()
                request = pb.CancelRequest(header=rig.header(), attempt_id="a1")
                reply = await rig.client.cancel(request, 2.0)
                self.assertTrue(reply.running)
                await second.aclose()
                if second_returns:
                    third = rig.client.execute(rig.start_message("a3", **tokens))
                    async with aclosing(third):
                        await read_first_data(third)
                        await anyio.sleep(1.0)
                        self.assertEqual(engine.cancelled, [])
                        return engine
                with anyio.move_on_after(_TIMEOUT_S):
                    while not engine.cancelled:
                        await anyio.sleep(0.01)
        return engine

    async def test_attempt_is_stopped_when_its_last_reader_leaves(self) -> None:
        """Guards against an engine that generates for nobody."""
        engine = await self._leave(second_returns=False)
        self.assertEqual(engine.cancelled, ["a1"])

    async def test_attempt_is_not_stopped_while_a_reader_returns(self) -> None:
        """Guards against a stop while a reader whose connection broke reconnects."""
        await self._leave(second_returns=True)


if __name__ == "__main__":
    unittest.main()
