"""Targets that start again at their address while routers cannot reach the store."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import ClientFleet, platform_fleet


async def replace(fleet: ClientFleet, name: str) -> None:
    """Restart a target under another id; routers do not learn of it from the store."""
    fleet.store.unreadable_tables.add("servers")
    # A read that waits for changes may still be answered.
    await anyio.sleep(0.7)
    target = fleet.targets[name]
    target.worker.terminated.set()
    with anyio.fail_after(5):
        while target.starts < 2:
            await anyio.sleep(0.02)
    await anyio.sleep(0.1)


async def send_at_once(fleet: ClientFleet, router: int) -> list[int]:
    """Send more requests than one target would get; return their statuses."""
    statuses: list[int] = []

    async def send() -> None:
        answer = await fleet.send_request("chat", router=router, tokens=(50, 20))
        statuses.append(answer.status)

    async with anyio.create_task_group() as tasks:
        for _ in range(6):
            tasks.start_soon(send)
    return statuses


class ReplacedTargetTests(unittest.TestCase):
    """Requests for an instance whose address another instance has by now."""

    def test_a_request_goes_on_to_another_target(self) -> None:
        """Guards against a refusal after a send that no target was meant to get."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                await replace(fleet, "e-1")
                fleet.workers["e-2"].event_pause_s = 0.02
                self.assertEqual(await send_at_once(fleet, 0), [200] * 6)
                self.assertGreater(fleet.workers["e-1"].misdirected, 0)
                self.assertEqual(fleet.workers["e-1"].runs, [])

        anyio.run(scenario)

    def test_the_other_routers_are_notified(self) -> None:
        """Guards against a send of each router to an instance that has ended."""

        async def scenario() -> None:
            async with platform_fleet(routers=3) as fleet:
                await replace(fleet, "e-1")
                fleet.workers["e-2"].event_pause_s = 0.02
                await send_at_once(fleet, 0)
                await anyio.sleep(0.3)
                misdirected = fleet.workers["e-1"].misdirected
                self.assertGreater(misdirected, 0)
                for router in (1, 2):
                    self.assertEqual(await send_at_once(fleet, router), [200] * 6)
                self.assertEqual(fleet.workers["e-1"].misdirected, misdirected)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
