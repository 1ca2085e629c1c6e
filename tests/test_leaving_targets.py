"""Targets that announce in their answers that they leave, or request a pause."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import ClientFleet, platform_fleet

#: Maximum requests that may reach a target during its pause: those that were in
#: flight when it requested the pause.
MAX_IN_PAUSE = 2


async def send_requests(
    fleet: ClientFleet, count: int, route: str = "resumable"
) -> list[int]:
    """Send requests four at a time, so that each target gets some.

    :returns: the statuses of the answers.
    """
    statuses: list[int] = []
    for worker in fleet.workers.values():
        worker.event_pause_s = 0.02

    async def send() -> None:
        answer = await fleet.send_request(route, tokens=(50, 20))
        statuses.append(answer.status)

    while len(statuses) < count:
        async with anyio.create_task_group() as tasks:
            for _ in range(min(4, count - len(statuses))):
                tasks.start_soon(send)
    return statuses


async def send_until_run(fleet: ClientFleet, name: str) -> None:
    """Send requests until a target has run one."""
    with anyio.fail_after(10):
        while not fleet.workers[name].runs:
            await send_requests(fleet, 4)


class LeavingTests(unittest.TestCase):
    """Targets that leave, which a router learns from their answers only."""

    def test_a_target_that_announces_leaving_gets_no_more_requests(self) -> None:
        """Guards against requests to a target whose row does not show it as leaving."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fleet.store.unreadable_tables.add("servers")
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await send_until_run(fleet, "e-1")
                ran = len(leaving.runs)
                self.assertEqual(await send_requests(fleet, 20), [200] * 20)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(scenario)

    def test_a_row_that_still_shows_ready_does_not_revoke_leaving(self) -> None:
        """Guards against an outdated row that puts a leaving target back into use."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await send_until_run(fleet, "e-1")
                ran = len(leaving.runs)
                row = fleet.store.documents("servers")["e-1"]
                fleet.store.put("servers", "e-1", {**row, "Sequence": 2})
                await anyio.sleep(0.3)
                self.assertEqual(await send_requests(fleet, 20), [200] * 20)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(scenario)

    def test_requests_are_refused_at_once_if_all_targets_leave(self) -> None:
        """Guards against requests that wait for targets that accept no work."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fleet.store.unreadable_tables.add("servers")
                for name in ("e-1", "e-2"):
                    fleet.workers[name].leaving = True
                for name in ("e-1", "e-2"):
                    await send_until_run(fleet, name)
                with anyio.fail_after(2):
                    self.assertEqual(await send_requests(fleet, 3), [503] * 3)

        anyio.run(scenario)

    def test_the_other_routers_are_notified(self) -> None:
        """Guards against a leaving target that only one router knows to be leaving."""

        async def scenario() -> None:
            async with platform_fleet(routers=2) as fleet:
                fleet.store.unreadable_tables.add("servers")
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await send_until_run(fleet, "e-1")
                await anyio.sleep(0.3)
                ran = len(leaving.runs)
                for _ in range(20):
                    answer = await fleet.send_request(
                        "resumable", router=1, tokens=(50, 20)
                    )
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(scenario)


class PauseTests(unittest.TestCase):
    """A target refuses a request and states for how long it accepts none."""

    async def _count_refused_in_pause(
        self, fleet: ClientFleet, retry_after: str, count: int
    ) -> int:
        """Let one target request a pause; return how many requests still reach it."""
        pausing = fleet.workers["e-1"]
        pausing.remaining_sheds, pausing.retry_after = 1000, retry_after
        with anyio.fail_after(10):
            while not pausing.shed_count:
                await send_requests(fleet, 4)
        first = pausing.shed_count
        await send_requests(fleet, count)
        return pausing.shed_count - first

    def test_a_target_gets_no_requests_during_its_pause(self) -> None:
        """Guards against requests to a target that is overloaded."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                further = await self._count_refused_in_pause(fleet, "30", 40)
                self.assertLessEqual(further, MAX_IN_PAUSE)

        anyio.run(scenario)

    def test_callers_learn_when_the_first_pause_ends(self) -> None:
        """Guards against callers that retry too soon, or wait without need."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                for name in ("e-1", "e-2"):
                    fleet.workers[name].remaining_sheds = 1000
                    fleet.workers[name].retry_after = "20"
                await send_requests(fleet, 8)
                answer = await fleet.send_request("resumable", tokens=(50, 20))
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.fields["retry-after"]), 15.0)
                shed_count = sum(w.shed_count for w in fleet.workers.values())
                self.assertLessEqual(shed_count, 2 * (1 + MAX_IN_PAUSE))

        anyio.run(scenario)

    def test_a_target_gets_requests_again_after_its_pause(self) -> None:
        """Guards against a target that is excluded permanently."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                pausing = fleet.workers["e-1"]
                await self._count_refused_in_pause(fleet, "0.2", 4)
                pausing.remaining_sheds = 0
                await anyio.sleep(0.5)
                await send_until_run(fleet, "e-1")

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
