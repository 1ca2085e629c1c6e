"""Targets that say in their answers that they leave, or that they want a pause."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import AskedFleet, platform_fleet

#: Requests that may reach a target while it wants nothing: those that were on their
#: way as it said so.
MOST_IN_PAUSE = 2


async def ask_some(
    fleet: AskedFleet, count: int, route: str = "resumable"
) -> list[int]:
    """Ask four at a time, so that each target gets some; return the statuses."""
    found: list[int] = []
    for worker in fleet.workers.values():
        worker.event_pause_s = 0.02

    async def ask() -> None:
        answer = await fleet.ask(route, tokens=(50, 20))
        found.append(answer.status)

    while len(found) < count:
        async with anyio.create_task_group() as tasks:
            for _ in range(min(4, count - len(found))):
                tasks.start_soon(ask)
    return found


async def ask_until_run(fleet: AskedFleet, name: str) -> None:
    """Ask until a target has answered."""
    with anyio.fail_after(10):
        while not fleet.workers[name].runs:
            await ask_some(fleet, 4)


class LeavingTests(unittest.TestCase):
    """The targets' rows cannot be read, and answers are all that a router hears."""

    def test_a_target_that_says_it_leaves_gets_no_more_requests(self) -> None:
        """Guards against requests to a leaving target that the store does not name."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                fleet.store.unread.add("servers")
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await ask_until_run(fleet, "e-1")
                ran = len(leaving.runs)
                self.assertEqual(await ask_some(fleet, 20), [200] * 20)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(play)

    def test_a_row_that_still_says_ready_does_not_take_it_back(self) -> None:
        """Guards against an older row that brings a leaving target back."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await ask_until_run(fleet, "e-1")
                ran = len(leaving.runs)
                row = fleet.store.documents("servers")["e-1"]
                fleet.store.put("servers", "e-1", {**row, "Sequence": 2})
                await anyio.sleep(0.3)
                self.assertEqual(await ask_some(fleet, 20), [200] * 20)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(play)

    def test_callers_are_told_at_once_when_all_targets_leave(self) -> None:
        """Guards against requests that wait for targets that take none."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                fleet.store.unread.add("servers")
                for name in ("e-1", "e-2"):
                    fleet.workers[name].leaving = True
                for name in ("e-1", "e-2"):
                    await ask_until_run(fleet, name)
                with anyio.fail_after(2):
                    self.assertEqual(await ask_some(fleet, 3), [503] * 3)

        anyio.run(play)

    def test_the_other_routers_hear_of_it(self) -> None:
        """Guards against routers that learn of a leaving target one after the other."""

        async def play() -> None:
            async with platform_fleet(routers=2) as fleet:
                fleet.store.unread.add("servers")
                leaving = fleet.workers["e-1"]
                leaving.leaving = True
                await ask_until_run(fleet, "e-1")
                await anyio.sleep(0.3)
                ran = len(leaving.runs)
                for _ in range(20):
                    answer = await fleet.ask("resumable", router=1, tokens=(50, 20))
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(leaving.runs), ran)

        anyio.run(play)


class PauseTests(unittest.TestCase):
    """A target turns a request away and says for how long it wants nothing."""

    async def _turned_away(self, fleet: AskedFleet, pause_s: str, count: int) -> int:
        """Let one target ask for a pause; return how many more reach it."""
        pausing = fleet.workers["e-1"]
        pausing.sheds, pausing.pause_s = 1000, pause_s
        with anyio.fail_after(10):
            while not pausing.turned_away:
                await ask_some(fleet, 4)
        first = pausing.turned_away
        await ask_some(fleet, count)
        return pausing.turned_away - first

    def test_a_target_gets_nothing_for_as_long_as_it_asks(self) -> None:
        """Guards against requests that are pressed on a target that is too full."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                more = await self._turned_away(fleet, "30", 40)
                self.assertLessEqual(more, MOST_IN_PAUSE)

        anyio.run(play)

    def test_callers_are_told_when_the_first_target_is_back(self) -> None:
        """Guards against callers that come back too soon, or wait for nothing."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                for name in ("e-1", "e-2"):
                    fleet.workers[name].sheds = 1000
                    fleet.workers[name].pause_s = "20"
                await ask_some(fleet, 8)
                answer = await fleet.ask("resumable", tokens=(50, 20))
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.fields["retry-after"]), 15.0)
                turned_away = sum(w.turned_away for w in fleet.workers.values())
                self.assertLessEqual(turned_away, 2 * (1 + MOST_IN_PAUSE))

        anyio.run(play)

    def test_a_target_gets_requests_again_after_its_pause(self) -> None:
        """Guards against a target that is left alone for good."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                pausing = fleet.workers["e-1"]
                await self._turned_away(fleet, "0.2", 4)
                pausing.sheds = 0
                await anyio.sleep(0.5)
                await ask_until_run(fleet, "e-1")

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
