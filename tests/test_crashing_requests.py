"""A request that terminates each target that runs it, and is sent repeatedly."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import Answer, ClientFleet, platform_fleet

DEADLY = b"a prompt that ends its engine"

#: Arrivals at targets that are allowed in total after the third termination.
MAX_LATE = 3


def arm(fleet: ClientFleet) -> None:
    """Make the deadly request terminate each engine that runs it."""
    for worker in fleet.workers.values():
        worker.crash_trigger = DEADLY


def arrivals(fleet: ClientFleet) -> int:
    """Return how often the deadly request started to run."""
    runs = [run for worker in fleet.workers.values() for run in worker.runs]
    return sum(run.body == DEADLY for run in runs)


async def send_healthy(fleet: ClientFleet, router: int) -> Answer:
    """Send a harmless request until it is answered completely."""
    with anyio.fail_after(20):
        while True:
            answer = await fleet.send_request(
                "resumable", router=router, tokens=(50, 20), body=b"all is well"
            )
            if answer.status == 200 and answer.complete:
                return answer
            await anyio.sleep(0.05)


class CrashingRequestTests(unittest.TestCase):
    """Callers of a fleet with two or three routers and four engines."""

    def test_a_request_that_terminates_targets_is_quarantined(self) -> None:
        """Guards against one request that terminates engine after engine."""

        async def scenario() -> None:
            async with platform_fleet(routers=3, engines=4) as fleet:
                arm(fleet)
                for number in range(9):
                    await send_healthy(fleet, number % 3)
                    await fleet.send_request(
                        "resumable", router=number % 3, tokens=(60, 20), body=DEADLY
                    )
                self.assertLessEqual(arrivals(fleet), 3 + MAX_LATE)
                refused = await fleet.send_request(
                    "resumable", tokens=(60, 20), body=DEADLY
                )
                self.assertEqual(refused.status, 503)
                self.assertGreater(float(refused.fields["retry-after"]), 1.0)

        anyio.run(scenario)

    def test_router_restarts_do_not_reset_the_count(self) -> None:
        """Guards against a quarantine that is lost with the router processes."""

        async def scenario() -> None:
            async with platform_fleet(routers=2, engines=4) as fleet:
                arm(fleet)
                for number in range(8):
                    await send_healthy(fleet, number % 2)
                    await fleet.send_request(
                        "resumable", router=number % 2, tokens=(60, 20), body=DEADLY
                    )
                    if number in (3, 5):
                        fleet.kill_routers()
                        for _ in range(2):
                            fleet.start_router()
                        await fleet.wait_ready()
                self.assertLessEqual(arrivals(fleet), 3 + MAX_LATE)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
