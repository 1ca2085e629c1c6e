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


if __name__ == "__main__":
    unittest.main()
