"""Errors in background tasks do not affect other tasks."""

import unittest

import anyio

from endivegw.daemons.background import Background
from endivegw.exceptions import InvariantError
from endivegw.telemetry import EventLog


class BackgroundTests(unittest.TestCase):
    def test_failed_task_does_not_cancel_other_tasks(self):
        """
        An internal check fails while one request is settled after its caller
        disconnected. The daemon and all other requests must keep running.
        """
        ended = []

        async def fail():
            raise InvariantError("settled twice")

        async def answer():
            await anyio.sleep(0.01)
            ended.append("answered")

        async def scenario():
            async with anyio.create_task_group() as tasks:
                background = Background(tasks, EventLog("router"))
                background.start_soon(fail)
                tasks.start_soon(answer)

        anyio.run(scenario)
        self.assertEqual(ended, ["answered"])
