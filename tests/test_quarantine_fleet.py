"""Quarantine of requests across a whole fleet of routers, in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.quarantine import QUARANTINE_TABLE, Fingerprint
from endivegw_standins.quarantine_world import QuarantineWorld
from endivegw_standins.virtual_time import VirtualLoop

DEADLY = tuple(Fingerprint(f"deadly-{number}") for number in range(3))

#: Seconds within which all routers must quarantine a request after three terminations.
KNOWN_WITHIN_S = 1.0

#: The same under load, and the number of later arrivals that are allowed in total.
SLACK_S = 3.0
MAX_LATE = 3

#: Seconds for which a fleet serves requests before the first fault.
WARM_UP_S = 15.0

#: Maximum datagrams per router and target termination, at any fleet size.
MAX_DATAGRAMS = 16

Scenario = Callable[[QuarantineWorld], Awaitable[None]]


def run_fleet(
    body: Scenario, seed: int = 1, routers: int = 5, targets: int = 9, loss: float = 0.0
) -> QuarantineWorld:
    """Run a scenario on a fleet in virtual time and return the fleet."""
    worlds: list[QuarantineWorld] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = QuarantineWorld.build(seed, tasks, routers, targets)
            world.network.loss = loss
            worlds.append(world)
            await anyio.sleep(0.1)
            await body(world)
            tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"loop_factory": VirtualLoop})
    return worlds[0]


async def three_terminations(
    world: QuarantineWorld, deadly: Fingerprint = DEADLY[0]
) -> None:
    """Let a request terminate three targets, each through a different router."""
    for number in range(3):
        target, router = world.targets[number], world.routers[number]
        router.manager.record_termination(target.start, [deadly])
        await anyio.sleep(0.2)


def count_quarantining(world: QuarantineWorld) -> int:
    """Return the number of routers that quarantine the request."""
    managers = [router.manager for router in world.routers.values()]
    return sum(manager.refuse(DEADLY[0]) is not None for manager in managers)


class SpreadTests(unittest.TestCase):
    """Each router sees only its own sends; sharing gives all routers the full count."""

    def test_all_routers_quarantine_in_time_at_any_fleet_size(self) -> None:
        """Guards against routers that forward a request which others quarantine."""

        async def body(world: QuarantineWorld) -> None:
            await three_terminations(world)
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(count_quarantining(world), len(world.routers))

        for routers in (4, 29, 68, 370):
            for loss in (0.0, 0.3):
                with self.subTest(routers=routers, loss=loss):
                    world = run_fleet(body, routers=routers, loss=loss)
                    sent = world.network.sent / routers / 3
                    self.assertLessEqual(sent, MAX_DATAGRAMS)

    def test_quarantine_starts_while_the_store_is_unavailable(self) -> None:
        """Guards against a quarantine that cannot start without the store."""

        async def body(world: QuarantineWorld) -> None:
            world.store.cut = {router.host for router in world.routers.values()}
            await three_terminations(world)
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(count_quarantining(world), 5)
            world.store.cut.clear()
            await anyio.sleep(6.0)
            self.assertEqual(len(world.store.listed(QUARANTINE_TABLE).rows), 1)

        run_fleet(body)

    # Guards against a router that sends a deadly request on, because it started after
    # the first end, of which no row tells.
    def test_a_router_that_starts_between_two_ends_counts_both(self) -> None:
        async def body(world: QuarantineWorld) -> None:
            for number in range(3):
                router = world.routers[number].manager
                router.record_termination(world.targets[number].start, [DEADLY[0]])
                await anyio.sleep(0.2)
                if not number:
                    world.start(4)
                    await anyio.sleep(0.2)
            self.assertEqual(count_quarantining(world), len(world.routers))

        for routers in (5, 29):
            with self.subTest(routers=routers):
                run_fleet(body, routers=routers)

    def test_repeated_reports_count_once(self) -> None:
        """Guards against counting reports instead of terminations."""

        async def body(world: QuarantineWorld) -> None:
            for router in world.routers.values():
                for _ in range(3):
                    router.manager.record_termination(
                        world.targets[0].start, [DEADLY[0]]
                    )
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(count_quarantining(world), 0)

        run_fleet(body)


class MemoryTests(unittest.TestCase):
    """Evidence outlives the router processes that collected it."""

    def test_quarantine_survives_replacement_of_all_routers(self) -> None:
        """Guards against a count that restarts when all routers are lost."""

        async def body(world: QuarantineWorld) -> None:
            await three_terminations(world)
            await anyio.sleep(1.0)
            for number in list(world.routers):
                world.start(number)
            await anyio.sleep(0.5)
            self.assertEqual(count_quarantining(world), 5)

        run_fleet(body)

    def test_two_terminations_survive_replacement_of_all_routers(self) -> None:
        """Guards against lost evidence if all routers restart after two of them."""

        async def body(world: QuarantineWorld) -> None:
            for number in range(2):
                world.routers[number].manager.record_termination(
                    world.targets[number].start, [DEADLY[0]]
                )
                await anyio.sleep(0.2)
            for number in list(world.routers):
                world.start(number)
            await anyio.sleep(0.5)
            world.routers[3].manager.record_termination(
                world.targets[3].start, [DEADLY[0]]
            )
            await anyio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(count_quarantining(world), 5)

        run_fleet(body)

    def test_quarantine_expires_after_the_request_stops_arriving(self) -> None:
        """Guards against rows and memory that grow without bound."""

        async def body(world: QuarantineWorld) -> None:
            await three_terminations(world)
            for _ in range(30):
                await anyio.sleep(60.0)
                self.assertIsNotNone(world.routers[4].manager.refuse(DEADLY[0]))
            await anyio.sleep(800.0)
            self.assertEqual(count_quarantining(world), 0)
            self.assertEqual(world.store.listed(QUARANTINE_TABLE).rows, ())

        run_fleet(body)

    def test_an_operator_releases_a_request_by_its_row(self) -> None:
        """Guards against a request that stays refused after its cause was fixed."""

        async def body(world: QuarantineWorld) -> None:
            await three_terminations(world)
            await anyio.sleep(6.0)
            del world.store.rows[QUARANTINE_TABLE, DEADLY[0]]
            world.store.revision += 1
            await anyio.sleep(6.0)
            self.assertEqual(count_quarantining(world), 0)

        run_fleet(body)


class BystanderTests(unittest.TestCase):
    """Healthy requests are retried beside a deadly one, and are not refused."""

    async def _send_healthy(self, world: QuarantineWorld, span_s: float) -> None:
        """Send 50 requests per second; a fifth of them repeat popular requests."""
        rng = random.Random(7)
        deadline_s = anyio.current_time() + span_s
        number = 0
        while anyio.current_time() < deadline_s:
            number += 1
            name = f"healthy-{number}"
            if rng.random() < 0.2:
                name = f"popular-{rng.randrange(20)}"
            took_s = rng.uniform(0.05, 3.0)
            world.tasks.start_soon(world.send, Fingerprint(name), took_s)
            await anyio.sleep(rng.expovariate(50.0))

    async def _send_deadly(self, world: QuarantineWorld, span_s: float) -> None:
        rng = random.Random(8)
        deadline_s = anyio.current_time() + span_s
        while anyio.current_time() < deadline_s:
            router = rng.choice(list(world.routers))
            name = rng.choice(DEADLY)
            world.tasks.start_soon(world.send_deadly, name, router)
            await anyio.sleep(rng.expovariate(4.0))

    def _check(self, world: QuarantineWorld) -> None:
        healthy = {name for name in world.refused if name not in DEADLY}
        self.assertEqual(healthy, set())
        for name in DEADLY:
            self.assertLessEqual(world.late_arrivals(name, SLACK_S), MAX_LATE, name)

    def test_deadly_requests_are_distinguished_from_concurrent_ones(self) -> None:
        """Guards against refusing healthy requests that ran beside deadly ones."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._send_healthy, world, WARM_UP_S + 40.0)
            await anyio.sleep(WARM_UP_S)
            await self._send_deadly(world, 30.0)
            await anyio.sleep(15.0)

        for seed in (1, 2, 3):
            for loss in (0.0, 0.3):
                with self.subTest(seed=seed, loss=loss):
                    world = run_fleet(body, seed=seed, loss=loss)
                    self._check(world)
                    self.assertGreater(sum(world.refused.values()), 50)

    def test_ordinary_target_terminations_cause_no_refusals(self) -> None:
        """Guards against refusals when targets terminate for reasons of their own."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._send_healthy, world, WARM_UP_S + 60.0)
            await anyio.sleep(WARM_UP_S)
            for _ in range(60):
                world.terminate_target(world.rng.choice(world.targets))
                await anyio.sleep(1.0)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._check(run_fleet(body, seed=seed))

    def test_router_restarts_do_not_release_a_deadly_request(self) -> None:
        """Guards against a count that rolling router restarts reduce step by step."""

        async def body(world: QuarantineWorld) -> None:
            world.tasks.start_soon(self._send_healthy, world, WARM_UP_S + 40.0)
            await anyio.sleep(WARM_UP_S)
            world.tasks.start_soon(self._send_deadly, world, 40.0)
            for number in [*range(5)] * 4:
                await anyio.sleep(2.0)
                world.start(number)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._check(run_fleet(body, seed=seed))


if __name__ == "__main__":
    unittest.main()
