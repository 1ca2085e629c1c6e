"""Whole requests that give way to others while they wait for a target."""

from __future__ import annotations

import unittest
from typing import NoReturn
from unittest import mock

import anyio

from endivegw.decisions import WorkItem
from tests.platform_fleet import Answer, platform_fleet

_TIMEOUT_S = 10.0


async def _wait_for_ever(item: WorkItem) -> NoReturn:
    await anyio.sleep_forever()
    raise AssertionError


class WithdrawnRequestTests(unittest.TestCase):
    """One request runs and another waits when there is no room any more."""

    # Guards against a refusal as not run of a request that a target has received.
    def test_only_the_request_that_waits_is_refused(self) -> None:
        async def scenario() -> None:
            async with platform_fleet(engines=1) as fleet:
                worker = fleet.workers["e-1"]
                worker.event_pause_s = 0.3
                answers: dict[str, Answer] = {}

                async def send(attempt_id: str) -> None:
                    answers[attempt_id] = await fleet.send_request(
                        "chat",
                        tokens=(10, 20),
                        attempt_id=attempt_id,
                        body=b"x" * 1000,
                    )

                memory = fleet.routers[0]._parts.meter.memory
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send, "runs")
                    with anyio.fail_after(_TIMEOUT_S):
                        while not worker.arrivals_s:
                            await anyio.sleep(0.01)
                        # As if no target had room for it.
                        queue = fleet.routers[0]._parts.context.queue
                        patch = mock.patch.object(queue, "place", _wait_for_ever)
                        patch.start()
                        tasks.start_soon(send, "waits")
                        while memory.total_bytes < 2000:
                            await anyio.sleep(0.01)
                        memory.largest_bytes, memory.max_bytes = 0, 1
                        tasks.start_soon(send, "full")
                patch.stop()
                statuses = {name: answer.status for name, answer in answers.items()}
                self.assertEqual(statuses, {"runs": 200, "waits": 503, "full": 503})
                self.assertIn("retry-after", answers["waits"].fields)
                runs = [run.request_id for run in worker.runs]
                self.assertEqual(runs, ["runs"])
                self.assertEqual(memory.total_bytes, 0)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
