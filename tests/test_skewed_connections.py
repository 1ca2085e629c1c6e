"""Most new connections of all callers go to one router for some time."""

from __future__ import annotations

import random
import unittest

import anyio
from attrs import define

from tests.platform_fleet import ClientFleet, platform_fleet

SEED = 1
ROUTERS = 4
REQUESTS_PER_S = 100.0
SPAN_S = 2.0

#: Share of the connections that one router gets besides its part of the others.
SKEW = 0.9

#: Share of its earlier rate at which requests must be served at their first attempt.
MIN_SERVED = 0.75


@define
class Counts:
    """Count requests and those that were served completely."""

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Return the share of requests that were served."""
        return self.served / self.sent


async def send_requests(fleet: ClientFleet, rng: random.Random, skew: float) -> Counts:
    """Send requests on new connections."""
    counts = Counts()

    async def send() -> None:
        router = 0 if rng.random() < skew else rng.randrange(ROUTERS)
        plain = rng.random() < 0.3
        counts.sent += 1
        answer = await fleet.send_request(
            "notice" if plain else "resumable",
            router=router,
            tokens=None if plain else (5, 4),
        )
        counts.served += answer.status == 200 and answer.complete

    async with anyio.create_task_group() as tasks:
        ends_s = anyio.current_time() + SPAN_S
        while anyio.current_time() < ends_s:
            tasks.start_soon(send)
            await anyio.sleep(rng.expovariate(REQUESTS_PER_S))
    return counts


class FleetTests(unittest.TestCase):
    """A whole fleet on loopback."""

    def test_requests_are_served_while_one_router_gets_most_connections(self) -> None:
        """Guards against a router that refuses what the others would have served."""

        async def scenario() -> None:
            async with platform_fleet(ROUTERS, 8) as fleet:
                for worker in fleet.workers.values():
                    worker.events, worker.event_pause_s = 4, 0.03
                rng = random.Random(SEED)
                before = await send_requests(fleet, rng, 0.0)
                skewed = await send_requests(fleet, rng, SKEW)
                self.assertGreaterEqual(skewed.share, MIN_SERVED * before.share)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
