"""Operators' commands, run against a complete fleet on loopback."""

import json
import pathlib
import tempfile
import time
import unittest

import anyio
from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from endivegw.cli import main
from endivegw.configuration.store import REVISION_KEY
from endivegw.dev.fleet import DevFleet


class RunningFleet:
    """Run a fleet in a task until :meth:`end` is called."""

    def __init__(self):
        self.fleet = DevFleet(log_level="error")

    async def run(self, *, task_status):
        async with anyio.create_task_group() as tasks:
            await self.fleet.start(tasks)
            self.scope = tasks.cancel_scope
            task_status.started()
            await anyio.sleep_forever()

    async def end(self):
        self.scope.cancel()


class OperatorsAndFleetTests(unittest.TestCase):
    def setUp(self):
        running = RunningFleet()
        self.portal = self.enterContext(start_blocking_portal())
        future, _ = self.portal.start_task(running.run)
        self.addCleanup(future.result)
        self.addCleanup(self.portal.call, running.end)
        self.fleet = running.fleet
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.settings = directory / "operator.ini"
        url = self.fleet.platform_url
        self.settings.write_text(
            f"[platform]\ntable_url = {url}/table\n"
            f"object_store_url = {url}/objects\nvm_list_url = {url}/vms\n"
        )

    def run_command(self, *arguments, code=0):
        environment = {
            "ENDIVEGW_SETTINGS": str(self.settings),
            "ENDIVEGW_OPERATOR": "ana",
        }
        result = CliRunner().invoke(main, arguments, env=environment)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def revisions(self):
        daemons = [running.router for running in self.fleet.routers]
        daemons += [running.sidecar for running in self.fleet.sidecars]
        return {daemon._parts.configuration.revision for daemon in daemons}

    def wait_until(self, condition, limit_s):
        end_s = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.05)

    def test_wait_for_change_and_stop_of_a_target(self):
        """
        "config wait" returns once all daemons have a change. The sidecar of a target
        that is stopped accepts no new work and exits by itself.
        """
        self.run_command("template", "create", "extra", "weight=2")
        waited = self.run_command("config", "wait", "--for-s", "30")
        count = len(self.fleet.routers) + len(self.fleet.sidecars)
        self.assertIn(f"is held by all {count} daemons", waited.output)
        status = json.loads(self.run_command("status", "--output", "json").stdout)
        self.assertEqual(self.revisions(), {status["revision"]})
        self.assertEqual((status["lagging"], status["unheard"]), ([], []))

        stopped = self.fleet.sidecars[0]
        name = stopped.target.name
        self.run_command("target", "set", name)
        self.run_command("target", "stop", name)
        self.wait_until(lambda: stopped.sidecar.stopped, 20.0)

    def test_change_reaches_daemons_that_lost_the_table(self):
        """
        All daemons but one router are isolated from the table and the object store.
        A change that is accepted meanwhile reaches them through peers within seconds.
        """
        connected = self.fleet.routers[0].router._parts.configuration
        isolated = [running.router for running in self.fleet.routers[1:]]
        isolated += [running.sidecar for running in self.fleet.sidecars]
        faults = self.fleet.platform.faults
        for daemon in isolated:
            faults.table.partitioned.add(daemon._parts.instance_id)
            faults.objects.partitioned.add(daemon._parts.instance_id)
        self.run_command("template", "create", "extra", "weight=2")
        newest = self.fleet.platform.table.get(REVISION_KEY).fields["revision"]
        self.wait_until(lambda: self.revisions() == {newest}, 15.0)
        self.assertEqual(connected.revision, newest)
