"""Which requests a whole fleet keeps from its targets, in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.quarantine import QUARANTINE_TABLE, Fingerprint
from endivegw_standins.quarantine_world import QuarantineWorld
from endivegw_standins.virtual_time import VirtualLoop

DEADLY = tuple(Fingerprint(f"deadly-{number}") for number in range(3))

#: Until all routers must keep a request from targets that has ended three.
KNOWN_WITHIN_S = 1.0

#: The same, with arrivals that are allowed afterwards in all.
SLACK_S = 3.0
MOST_LATE = 3

#: For so long a fleet serves before something goes wrong.
WARM_S = 15.0

#: Datagrams that one router sends for one target's end, at any size of the fleet.
MOST_DATAGRAMS = 16

Play = Callable[[QuarantineWorld], Awaitable[None]]


def play(
    body: Play, seed: int = 1, routers: int = 5, targets: int = 9, loss: float = 0.0
) -> QuarantineWorld:
    """Play a fleet in virtual time and return it."""
    found: list[QuarantineWorld] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = QuarantineWorld.build(seed, tasks, routers, targets)
            world.network.loss = loss
            found.append(world)
            await anyio.sleep(0.1)
            await body(world)
            tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"loop_factory": VirtualLoop})
    return found[0]


async def three_ends(world: QuarantineWorld, deadly: Fingerprint = DEADLY[0]) -> None:
    """Let a request end three targets, each through another router."""
    for number in range(3):
        target, router = world.targets[number], world.routers[number]
        router.keeper.ended(target.start, [deadly])
        await anyio.sleep(0.2)


def knowing(world: QuarantineWorld) -> int:
    """Return how many routers keep the request from targets."""
    keepers = [router.keeper for router in world.routers.values()]
    return sum(keeper.refuse(DEADLY[0]) is not None for keeper in keepers)


class SpreadTests(unittest.TestCase):
    """Each router sees what it sent alone; together they know."""

    def test_all_routers_know_in_time_at_any_size(self) -> None:
        """Guards against routers that let a request through that others know."""

        async def body(world: QuarantineWorld) -> None:
            await three_ends(world)
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(knowing(world), len(world.routers))

        for routers in (4, 29, 68, 370):
            for loss in (0.0, 0.3):
                with self.subTest(routers=routers, loss=loss):
                    world = play(body, routers=routers, loss=loss)
                    sent = world.network.sent / routers / 3
                    self.assertLessEqual(sent, MOST_DATAGRAMS)

    def test_routers_know_while_the_store_is_away(self) -> None:
        """Guards against a quarantine that needs the store to begin."""

        async def body(world: QuarantineWorld) -> None:
            world.store.cut = {router.host for router in world.routers.values()}
            await three_ends(world)
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(knowing(world), 5)
            world.store.cut.clear()
            await anyio.sleep(6.0)
            self.assertEqual(len(world.store.listed(QUARANTINE_TABLE).rows), 1)

        play(body)

    def test_repeated_reports_count_once(self) -> None:
        """Guards against a count of reports in the place of ends."""

        async def body(world: QuarantineWorld) -> None:
            for router in world.routers.values():
                for _ in range(3):
                    router.keeper.ended(world.targets[0].start, [DEADLY[0]])
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(knowing(world), 0)

        play(body)


class MemoryTests(unittest.TestCase):
    """What is known outlives the processes that found it out."""

    def test_routers_that_are_all_replaced_know(self) -> None:
        """Guards against a count that begins anew when all routers are lost."""

        async def body(world: QuarantineWorld) -> None:
            await three_ends(world)
            await anyio.sleep(1.0)
            for number in list(world.routers):
                world.start(number)
            await anyio.sleep(0.5)
            self.assertEqual(knowing(world), 5)

        play(body)

    def test_two_ends_are_remembered_too(self) -> None:
        """Guards against a loss of all routers right before the third end."""

        async def body(world: QuarantineWorld) -> None:
            for number in range(2):
                world.routers[number].keeper.ended(
                    world.targets[number].start, [DEADLY[0]]
                )
                await anyio.sleep(0.2)
            for number in list(world.routers):
                world.start(number)
            await anyio.sleep(0.5)
            world.routers[3].keeper.ended(world.targets[3].start, [DEADLY[0]])
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(knowing(world), 5)

        play(body)

    def test_it_is_forgotten_after_the_request_stopped_coming(self) -> None:
        """Guards against rows and memory that grow for ever."""

        async def body(world: QuarantineWorld) -> None:
            await three_ends(world)
            for _ in range(30):
                await anyio.sleep(60.0)
                self.assertIsNotNone(world.routers[4].keeper.refuse(DEADLY[0]))
            await anyio.sleep(800.0)
            self.assertEqual(knowing(world), 0)
            self.assertEqual(world.store.listed(QUARANTINE_TABLE).rows, ())

        play(body)

    def test_an_operator_releases_a_request_by_its_row(self) -> None:
        """Guards against a request that stays refused after its cause was mended."""

        async def body(world: QuarantineWorld) -> None:
            await three_ends(world)
            await anyio.sleep(6.0)
            del world.store.rows[QUARANTINE_TABLE, DEADLY[0]]
            world.store.revision += 1
            await anyio.sleep(6.0)
            self.assertEqual(knowing(world), 0)

        play(body)


class BystanderTests(unittest.TestCase):
    """Healthy requests are sent again beside a deadly one, and are not refused."""

    async def _load(self, world: QuarantineWorld, span_s: float) -> None:
        """Ask 50 times a second for a while; a fifth of it for what many ask."""
        rng = random.Random(7)
        ends_s = anyio.current_time() + span_s
        number = 0
        while anyio.current_time() < ends_s:
            number += 1
            name = f"healthy-{number}"
            if rng.random() < 0.2:
                name = f"popular-{rng.randrange(20)}"
            took_s = rng.uniform(0.05, 3.0)
            world.tasks.start_soon(world.ask, Fingerprint(name), took_s)
            await anyio.sleep(rng.expovariate(50.0))

    async def _deadly(self, world: QuarantineWorld, span_s: float) -> None:
        rng = random.Random(8)
        ends_s = anyio.current_time() + span_s
        while anyio.current_time() < ends_s:
            router = rng.choice(list(world.routers))
            name = rng.choice(DEADLY)
            world.tasks.start_soon(world.ask_deadly, name, router)
            await anyio.sleep(rng.expovariate(4.0))

    def _check(self, world: QuarantineWorld) -> None:
        healthy = {name for name in world.refused if name not in DEADLY}
        self.assertEqual(healthy, set())
        for name in DEADLY:
            self.assertLessEqual(world.late_arrivals(name, SLACK_S), MOST_LATE, name)

    def test_deadly_requests_are_told_from_those_beside_them(self) -> None:
        """Guards against healthy requests that are refused for their neighbours."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._load, world, WARM_S + 40.0)
            await anyio.sleep(WARM_S)
            await self._deadly(world, 30.0)
            await anyio.sleep(15.0)

        for seed in (1, 2, 3):
            for loss in (0.0, 0.3):
                with self.subTest(seed=seed, loss=loss):
                    world = play(body, seed=seed, loss=loss)
                    self._check(world)
                    self.assertGreater(sum(world.refused.values()), 50)

    def test_ordinary_ends_of_targets_keep_nothing_back(self) -> None:
        """Guards against refusals on days on which targets end by themselves."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._load, world, WARM_S + 60.0)
            await anyio.sleep(WARM_S)
            for _ in range(60):
                world.end_target(world.rng.choice(world.targets))
                await anyio.sleep(1.0)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._check(play(body, seed=seed))

    def test_restarts_of_routers_do_not_free_a_deadly_request(self) -> None:
        """Guards against a count that restarts one after the other wear down."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._load, world, WARM_S + 40.0)
            await anyio.sleep(WARM_S)
            world.tasks.start_soon(self._deadly, world, 40.0)
            for number in [*range(5)] * 4:
                await anyio.sleep(2.0)
                world.start(number)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._check(play(body, seed=seed))


if __name__ == "__main__":
    unittest.main()
