"""A request that ends each target that runs it, and comes again and again."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import Answer, AskedFleet, platform_fleet

DEADLY = b"a prompt that ends its engine"

#: Arrivals at targets beyond the third end that are allowed in all.
MOST_MORE = 3


def arm(fleet: AskedFleet) -> None:
    """Let the deadly request end each engine."""
    for worker in fleet.workers.values():
        worker.ended_by = DEADLY


def arrivals(fleet: AskedFleet) -> int:
    """Return how often the deadly request began to run."""
    runs = [run for worker in fleet.workers.values() for run in worker.runs]
    return sum(run.body == DEADLY for run in runs)


async def ask_well(fleet: AskedFleet, router: int) -> Answer:
    """Ask for something harmless until it is answered, as a patient caller does."""
    with anyio.fail_after(20):
        while True:
            answer = await fleet.ask(
                "resumable", router=router, tokens=(50, 20), body=b"all is well"
            )
            if answer.status == 200 and answer.whole:
                return answer
            await anyio.sleep(0.05)


class CrashingRequestTests(unittest.TestCase):
    """Play the callers of a fleet of three routers and four engines."""

    def test_a_request_that_ends_its_targets_is_kept_from_the_others(self) -> None:
        """Guards against one request that takes down engine after engine."""

        async def play() -> None:
            async with platform_fleet(routers=3, engines=4) as fleet:
                arm(fleet)
                for number in range(9):
                    await ask_well(fleet, number % 3)
                    await fleet.ask(
                        "resumable", router=number % 3, tokens=(60, 20), body=DEADLY
                    )
                self.assertLessEqual(arrivals(fleet), 3 + MOST_MORE)
                refused = await fleet.ask("resumable", tokens=(60, 20), body=DEADLY)
                self.assertEqual(refused.status, 503)
                self.assertGreater(float(refused.fields["retry-after"]), 1.0)

        anyio.run(play)

    def test_routers_that_start_anew_do_not_begin_the_count_anew(self) -> None:
        """Guards against a quarantine that ends with the processes that hold it."""

        async def play() -> None:
            async with platform_fleet(routers=2, engines=4) as fleet:
                arm(fleet)
                for number in range(8):
                    await ask_well(fleet, number % 2)
                    await fleet.ask(
                        "resumable", router=number % 2, tokens=(60, 20), body=DEADLY
                    )
                    if number in (3, 5):
                        fleet.kill_routers()
                        for _ in range(2):
                            fleet.start_router()
                        await fleet.wait_ready()
                self.assertLessEqual(arrivals(fleet), 3 + MOST_MORE)

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
