"""Waiting for a place, and giving it back."""

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
    def test_place_of_a_caller_that_left_is_given_back(self):
        """
        A caller waits in the queue and hangs up in the very moment in which its
        request is placed. The target's slot goes to the next request at once.
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
                # The HTTP server ends a request's task in this way.
                leaving = asyncio.create_task(wait("r2"))
                await anyio.lowlevel.checkpoint()
                tasks.start_soon(wait, "r3")
                await anyio.lowlevel.checkpoint()
                dispatcher.ended("r1", "t1", AttemptEnd(AttemptKind.OK), now_s)
                for decision in dispatcher.poll(now_s):
                    queue._deliver(decision)
                leaving.cancel()
                with anyio.move_on_after(5):
                    tasks.start_soon(queue.run)
                    while not placed:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertEqual([one.item.request_id for one in placed], ["r3"])

        anyio.run(scenario)
