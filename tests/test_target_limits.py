"""Targets that limit in their answers the requests that all routers send them."""

from __future__ import annotations

import random
import unittest

import anyio

from endivegw_standins.arrivals import most_arrivals
from endivegw_standins.platform_worker import PlatformWorker
from tests.platform_fleet import ClientFleet, platform_fleet

#: Time after the first naming from which a limit must hold, and the window in which
#: requests are counted.
CONTACT_S = 3.0
WINDOW_S = 4.0


def most_allowed(limit_per_s: float) -> float:
    """Return the largest number of requests in a window that a limit allows."""
    return 1.5 * WINDOW_S * limit_per_s + 5


async def send_for(
    fleet: ClientFleet, duration_s: float, per_s: float, routes: tuple[str, ...]
) -> list[int]:
    """Send requests through random routers; return the statuses of the answers."""
    rng = random.Random(1)
    statuses: list[int] = []

    async def send(route: str) -> None:
        tokens = None if route in ("print", "notice") else (50, 20)
        router = rng.randrange(len(fleet.ports))
        answer = await fleet.send_request(route, router=router, tokens=tokens)
        statuses.append(answer.status)

    with anyio.move_on_after(duration_s + 5.0):
        async with anyio.create_task_group() as tasks:
            for _ in range(int(duration_s * per_s)):
                tasks.start_soon(send, rng.choice(routes))
                await anyio.sleep(1.0 / per_s)
    return statuses


class FleetTests(unittest.TestCase):
    """Routers on loopback and targets that name limits."""

    def _check(self, worker: PlatformWorker, limit_per_s: float, from_s: float) -> None:
        most = most_arrivals(worker.arrivals_s, from_s + CONTACT_S, WINDOW_S)
        self.assertLessEqual(most, most_allowed(limit_per_s))

    def test_all_routers_together_keep_the_limit_of_a_target(self) -> None:
        """Guards against a limit that is not read, or that each router keeps alone."""

        async def scenario() -> None:
            async with platform_fleet(routers=4) as fleet:
                limited = fleet.workers["e-1"]
                limited.limit = "1.1"
                from_s = anyio.current_time()
                statuses = await send_for(fleet, 8.0, 30.0, ("resumable",))
                self._check(limited, 1.1, from_s)
                self.assertEqual(set(statuses), {200})

        anyio.run(scenario)

    def test_a_plain_service_gets_no_more_than_its_limit(self) -> None:
        """Guards against a limit that only engines are granted."""

        async def scenario() -> None:
            async with platform_fleet(routers=4) as fleet:
                limited = fleet.workers["p-1"]
                limited.limit = "2"
                from_s = anyio.current_time()
                statuses = await send_for(fleet, 8.0, 20.0, ("notice", "print"))
                self._check(limited, 2.0, from_s)
                self.assertLessEqual(set(statuses), {200, 503})

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
