"""Waiting for a placement and releasing it."""

import asyncio
import random
import unittest

import anyio

from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Placement,
    Policy,
    TargetView,
    WorkItem,
)
from endivegw.types import Priority


def item(name):
    return WorkItem(
        request_id=name,
        client_account="lobby",
        priority=Priority.NORMAL,
        weight=1.0,
        model="badge",
        deadline_s=60.0,
        prompt_tokens=10,
        output_tokens=10,
        arrived_s=0.0,
    )


class PlacementQueueTests(unittest.TestCase):
    def test_slot_of_a_disconnected_caller_is_released(self):
        """The slot of a caller that disconnects is released.

        The caller waits in the queue and disconnects at the moment when its request is
        placed. The target's slot goes to the next request at once.
        """

        async def scenario():
            now_s = 0.0
            dispatcher = Dispatcher(Policy(), "a", random.Random(1))
            view = TargetView("t1", "i", "10.0.0.1", "a", frozenset({"badge"}), 1)
            dispatcher.set_targets([view], now_s)
            queue = PlacementQueue(dispatcher, lambda: now_s)
            first = await queue.place(item("r1"))
            self.assertIsInstance(first, Placement)
            placed = []

            async def wait(name):
                placed.append(await queue.place(item(name)))

            async with anyio.create_task_group() as tasks:
                # The HTTP server cancels a request's task in this way.
                disconnected = asyncio.create_task(wait("r2"))
                await anyio.lowlevel.checkpoint()
                tasks.start_soon(wait, "r3")
                await anyio.lowlevel.checkpoint()
                dispatcher.ended("r1", "t1", AttemptEnd(AttemptKind.OK), now_s)
                for decision in dispatcher.poll(now_s):
                    queue._deliver(decision)
                disconnected.cancel()
                with anyio.move_on_after(5):
                    tasks.start_soon(queue.run)
                    while not placed:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertEqual(
                [placement.item.request_id for placement in placed], ["r3"]
            )

        anyio.run(scenario)
