"""Prompts that terminate targets, which fall silent first."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
from anyio.abc import SocketStream

from endivegw.relay.target_connection import TargetConnection
from endivegw.relay.target_pool import TargetPool
from endivegw_standins.platform_worker import PlatformWorker
from tests.platform_fleet import ClientFleet
from tests.test_attempt_races import _refuse, _request, run_script

_ENGINES = 4
_acquire = TargetPool.acquire


async def _acquire_slowly(
    pool: TargetPool, address: str, require_fresh: bool, require_new: bool
) -> TargetConnection:
    """Open a connection as slowly as a router allows."""
    await anyio.sleep(0.24)
    return await _acquire(pool, address, require_fresh, require_new)


class _Engines:
    """Answer a prompt that has terminated one target already, and does so again.

    :param crash_s: time after which the prompt terminates the target that gets it.
    """

    def __init__(self, crash_s: float) -> None:
        self._crash_s = crash_s
        self.known = False
        self.arrivals: list[str] = []

    async def answer(
        self,
        worker: PlatformWorker,
        stream: SocketStream,
        fields: dict[str, str],
        body: bytes,
        number: int,
    ) -> bool:
        """Terminate the first target that gets a request; the others refuse it."""
        if not number:
            await worker._crash("first", 0.03)
        if not self.known:
            return await _refuse(worker, stream, fields)
        self.arrivals.append(worker.instance_id)
        if len(self.arrivals) == 1:
            await worker._crash("second", self._crash_s)
        # The request has waited in the target's queue.
        await anyio.sleep(1.0)
        return await _refuse(worker, stream, fields)

    async def send_twice(self, fleet: ClientFleet) -> None:
        """Send the prompt once, and again when its target is back."""
        await _request(fleet)
        await anyio.sleep(1.0)
        self.known = True
        await _request(fleet)


class SilentTerminationTests(unittest.TestCase):
    """After two terminations, no attempt of a request tries a second target."""

    def test_a_target_that_terminates_at_once(self) -> None:
        engines = _Engines(0.1)

        async def scenario(fleet: ClientFleet) -> None:
            await engines.send_twice(fleet)
            self.assertEqual(len(engines.arrivals), 1)

        run_script(engines.answer, scenario, _ENGINES)

    # Guards against a third target that gets a prompt because the second refused it.
    def test_a_target_that_terminates_before_the_one_beside_it_refuses(self) -> None:
        engines = _Engines(1.6)

        async def scenario(fleet: ClientFleet) -> None:
            await engines.send_twice(fleet)
            self.assertLessEqual(len(engines.arrivals), 2)

        run_script(engines.answer, scenario, _ENGINES)

    # Guards against a prompt that is sent on although its target has just terminated.
    def test_a_target_that_terminates_while_a_connection_is_opened(self) -> None:
        engines = _Engines(1.28)

        async def scenario(fleet: ClientFleet) -> None:
            with mock.patch.object(TargetPool, "acquire", _acquire_slowly):
                await engines.send_twice(fleet)
            self.assertEqual(len(engines.arrivals), 1)

        run_script(engines.answer, scenario, _ENGINES)


if __name__ == "__main__":
    unittest.main()
