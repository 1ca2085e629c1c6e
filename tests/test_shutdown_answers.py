"""Requests that are in progress when the time for a shutdown has passed."""

from __future__ import annotations

import unittest

import anyio

from endivegw.daemons.direct_router import DirectRouterOptions
from tests.platform_fleet import platform_fleet

_OPTIONS = DirectRouterOptions(stop_after_s=0.1, stop_within_s=0.5)

#: More requests than the target's slots, so that some are queued.
_REQUESTS = 24
_FOR_EVER_S = 60.0

#: Requests that a caller sends at the most, one after the other.
_ROUNDS = 1000


class ShutdownTests(unittest.TestCase):
    """The only target of a service answers none of many requests."""

    # Guards against requests whose connection ends without a word at a shutdown's end.
    def test_each_request_is_answered(self) -> None:
        async def scenario() -> None:
            statuses: dict[str, int] = {}
            async with platform_fleet(engines=1) as fleet:
                worker = fleet.workers["p-1"]
                worker.silent_s, worker.remaining_silences = _FOR_EVER_S, _REQUESTS
                router = fleet.routers[0]
                router._options = _OPTIONS

                async def request(number: int) -> None:
                    name = f"r-{number}"
                    answer = await fleet.send_request("print", attempt_id=name)
                    statuses[name] = answer.status

                async with anyio.create_task_group() as tasks:
                    for number in range(_REQUESTS):
                        tasks.start_soon(request, number)
                    await anyio.sleep(0.5)
                    await router.drain()
                ran = {run.request_id for run in worker.runs}
                for name, status in statuses.items():
                    self.assertEqual(status, 502 if name in ran else 503, name)
                self.assertEqual(len(statuses), _REQUESTS)
                self.assertTrue(0 < len(ran) < _REQUESTS)

        anyio.run(scenario)

    # Guards against requests that are taken late in a shutdown and cut at its end.
    def test_each_request_that_ran_late_is_answered(self) -> None:
        async def scenario() -> None:
            statuses: dict[str, int] = {}
            async with platform_fleet(engines=1, slots=_REQUESTS) as fleet:
                worker = fleet.workers["p-1"]
                router = fleet.routers[0]
                router._options = _OPTIONS

                async def caller(number: int) -> None:
                    """Send one request after the other until there is no router."""
                    for sent in range(_ROUNDS):
                        name = f"r-{number}-{sent}"
                        try:
                            answer = await fleet.send_request("print", attempt_id=name)
                        except OSError:
                            return
                        statuses[name] = answer.status

                async with anyio.create_task_group() as tasks:
                    for number in range(_REQUESTS):
                        tasks.start_soon(caller, number)
                    tasks.start_soon(router.drain)
                    await anyio.sleep(_OPTIONS.stop_after_s / 2)
                    before = {run.request_id for run in worker.runs}
                    worker.silent_s = _FOR_EVER_S
                    worker.remaining_silences = _REQUESTS * _ROUNDS
                late = {run.request_id for run in worker.runs} - before
                self.assertGreater(len(late), 0)
                self.assertEqual({statuses[name] for name in late}, {502})

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
