"""Agents over sockets: the table, the object store and each other."""

import random
import unittest
from contextlib import asynccontextmanager

import anyio

from endivegw.commands.changes import Operation
from endivegw.commands.template import create_template
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.reports import daemon_revisions, load_reports
from endivegw.configuration.spread import SpreadSettings
from endivegw.results import Done, Reason, Refused
from endivegw.services.dynamo_table import DynamoTable
from endivegw.services.guarded import GuardedObjects, GuardedTable
from endivegw.services.s3_objects import S3Objects
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

#: The product's intervals, twenty times faster.
FAST = SpreadSettings(
    poll_s=0.2,
    pull_jitter_s=0.01,
    pull_retry_s=0.05,
    object_read_s=0.5,
    table_silent_s=0.6,
    object_write_s=0.1,
    report_spread_s=0.1,
    report_s=0.5,
)


class Neighbours:
    """Carry the peers' calls inside this process."""

    def __init__(self):
        self.agents = {}

    async def fetch(self, peer, have_revision, *, timeout_s):
        agent = self.agents.get(peer)
        if agent is None:
            return Refused(Reason.UNREACHABLE)
        return Done(agent.newer_than(have_revision))


class Fleet:
    def __init__(self, url, platform):
        self.url = url
        self.platform = platform
        self.neighbours = Neighbours()
        self.links = set()
        self.closing = []

    def agent(self, name, zone="a", reports=False, settings=FAST):
        table = DynamoTable(f"{self.url}/table", client_name=name)
        objects = S3Objects(f"{self.url}/objects", client_name=name)
        self.closing += [table, objects]
        agent = ConfigurationAgent(
            daemon=name,
            own_zone=zone,
            table=GuardedTable(table),
            objects=GuardedObjects(objects),
            peers=self.neighbours,
            random_source=random.Random(name),
            daemons=1,
            reports=reports,
            settings=settings,
        )
        self.neighbours.agents[name] = agent
        return agent

    async def heartbeats(self):
        """Let each agent hear all the others, ten times a second."""
        while True:
            agents = list(self.neighbours.agents.items())
            for name, agent in agents:
                for other, sender in agents:
                    if other != name:
                        zone = sender.view.own_zone
                        agent.heard_peer(other, zone, sender.revision)
            await anyio.sleep(0.1)

    async def change(self, name):
        table = DynamoTable(f"{self.url}/table", client_name="operator")
        operation = Operation(f"op-{name}", "ana", 1000.0)
        result = await create_template(table, operation, name, Parameters())
        await table.close()
        return result.value.change.revision


@asynccontextmanager
async def fleet():
    platform = StandinPlatform()
    async with served(platform, lifespan=False) as url:
        result = Fleet(url, platform)
        yield result
        for client in result.closing:
            await client.close()


async def until(condition, limit_s=5.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.02)


class AgentTests(unittest.TestCase):
    def test_change_travels_by_the_table_and_lands_in_the_object_store(self):
        """An accepted change is taken in, stored for starters, and reported."""

        async def run():
            async with fleet() as world, anyio.create_task_group() as tasks:
                router = world.agent("router-1", reports=True)
                tasks.start_soon(router.run)
                with anyio.fail_after(5):
                    await router.wait_ready()
                await world.change("kiosk")
                await until(lambda: router.revision == 1)
                await until(lambda: "config/revision" in world.platform.objects.objects)
                router.heard_peer("s1", "a", 1, name="sidecar-1")
                table = DynamoTable(f"{world.url}/table")
                found = ()
                while len(found) < 2 or {entry.revision for entry in found} != {1}:
                    await anyio.sleep(0.05)
                    reports = (await load_reports(table, timeout_s=1)).value
                    found = daemon_revisions(reports, max(r.at_s for r in reports))
                names = [entry.daemon for entry in found]
                self.assertEqual(names, ["router-1", "sidecar-1"])
                await table.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_refusal_of_a_newer_sidecar_makes_a_router_catch_up(self):
        """
        A sidecar refuses a router's work because it knows a newer revision.
        The router looks at once and waits for it, not for its next poll.
        """

        async def run():
            async with fleet() as world, anyio.create_task_group() as tasks:
                slow = SpreadSettings(poll_s=8.0, pull_jitter_s=0.01)
                router = world.agent("router-1", settings=slow)
                tasks.start_soon(router.run)
                with anyio.fail_after(20):
                    await router.wait_ready()
                await anyio.sleep(slow.pull_retry_s)
                await world.change("kiosk")
                router.heard(1)
                with anyio.fail_after(2):
                    await router.wait_until_current()
                self.assertEqual(router.revision, 1)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_daemon_cut_off_from_the_table_learns_from_a_peer(self):
        """
        One daemon loses the table in a partition but hears another one. A
        change accepted meanwhile reaches it all the same.
        """

        async def run():
            async with fleet() as world, anyio.create_task_group() as tasks:
                one, two = world.agent("one"), world.agent("two")
                tasks.start_soon(one.run)
                tasks.start_soon(two.run)
                tasks.start_soon(world.heartbeats)
                with anyio.fail_after(5):
                    await one.wait_ready()
                    await two.wait_ready()
                world.platform.faults.table.cut_off.add("two")
                world.platform.faults.objects.cut_off.add("two")
                await world.change("kiosk")
                await until(lambda: two.revision == 1)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_restart_of_all_without_the_table_does_not_serve(self):
        """
        Both daemons restart while the table is away, and the object store
        still has the configuration. They hold it, and do not serve by it.
        """

        async def run():
            async with fleet() as world, anyio.create_task_group() as tasks:
                first = world.agent("one")
                async with anyio.create_task_group() as before:
                    before.start_soon(first.run)
                    await world.change("kiosk")
                    await until(
                        lambda: "config/revision" in world.platform.objects.objects
                    )
                    before.cancel_scope.cancel()
                world.platform.faults.table.outage = True
                one, two = world.agent("one"), world.agent("two")
                for agent in (one, two):
                    agent.view.fleet_known({"a": 1})
                    tasks.start_soon(agent.run)
                tasks.start_soon(world.heartbeats)
                await until(lambda: one.view.revision == two.view.revision == 1)
                await anyio.sleep(1.0)
                self.assertEqual((one.view.ready, two.view.ready), (False, False))
                world.platform.faults.table.outage = False
                with anyio.fail_after(10):
                    await one.wait_ready()
                    await two.wait_ready()
                tasks.cancel_scope.cancel()

        anyio.run(run)
