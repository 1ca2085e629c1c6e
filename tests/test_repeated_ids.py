"""Callers that send several requests with the same id."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import platform_fleet

#: More requests than the target's slots, so that those that follow are queued.
_OTHERS = 20
_REPEATED = 4
_SILENT_S = 0.5


class RepeatedIdTests(unittest.TestCase):
    """Requests with the same id are queued at the same time."""

    # Guards against requests that wait for their deadline, and slots that they hold.
    def test_all_are_answered_and_no_slot_stays_occupied(self) -> None:
        async def scenario() -> None:
            statuses: list[int] = []
            async with platform_fleet(engines=1) as fleet:
                worker = fleet.workers["p-1"]
                worker.silent_s, worker.remaining_silences = _SILENT_S, 100

                async def request(name: str) -> None:
                    answer = await fleet.send_request("print", attempt_id=name)
                    statuses.append(answer.status)

                async with anyio.create_task_group() as tasks:
                    for number in range(_OTHERS):
                        tasks.start_soon(request, f"r-{number}")
                    await anyio.sleep(_SILENT_S / 4)
                    for _ in range(_REPEATED):
                        tasks.start_soon(request, "same")
                self.assertEqual(statuses, [200] * (_OTHERS + _REPEATED))
                dispatcher = fleet.routers[0]._parts.context.queue.dispatcher
                load = dispatcher.local_load()
                self.assertEqual({each.running for each in load.values()}, {0})

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
