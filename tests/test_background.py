"""What goes wrong after a request leaves the other requests alone."""

import unittest

import anyio

from endivegw.daemons.background import Background
from endivegw.exceptions import InvariantError
from endivegw.telemetry import EventLog


class BackgroundTests(unittest.TestCase):
    def test_failed_task_leaves_the_others_running(self):
        """
        A check stops the settling of one request whose caller went away. The
        daemon and every other caller's request go on.
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
