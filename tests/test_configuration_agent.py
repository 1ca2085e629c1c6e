"""Configuration agents with the table, the object store and peers over sockets."""

import random
import unittest
from contextlib import asynccontextmanager

import anyio

from endivegw.commands.changes import Operation
from endivegw.commands.template import create_template
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.reports import daemon_revisions, load_reports
from endivegw.configuration.spread import SyncSettings
from endivegw.results import Done, Reason, Refused
from endivegw.services.dynamo_table import DynamoTable
from endivegw.services.guarded import GuardedObjects, GuardedTable
from endivegw.services.s3_objects import S3Objects
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

#: The default intervals, shortened to speed up the tests.
FAST = SyncSettings(
    poll_s=0.2,
    pull_jitter_s=0.01,
    pull_retry_s=0.05,
    object_read_s=0.5,
    table_unavailable_after_s=0.6,
    object_write_s=0.1,
    report_spread_s=0.1,
    report_s=0.5,
)


class LocalPeers:
    """Serve calls between agents inside this process."""

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
        self.peers = LocalPeers()
        self.links = set()
        self.clients = []

    def agent(self, name, zone="a", reports=False, settings=FAST):
        table = DynamoTable(f"{self.url}/table", client_name=name)
        objects = S3Objects(f"{self.url}/objects", client_name=name)
        self.clients += [table, objects]
        agent = ConfigurationAgent(
            daemon=name,
            local_zone=zone,
            table=GuardedTable(table),
            objects=GuardedObjects(objects),
            peers=self.peers,
            random_source=random.Random(name),
            daemons=1,
            reports=reports,
            settings=settings,
        )
        self.peers.agents[name] = agent
        return agent

    async def heartbeats(self):
        """Deliver the revision of each agent to all others, ten times per second."""
        while True:
            agents = list(self.peers.agents.items())
            for name, agent in agents:
                for other, sender in agents:
                    if other != name:
                        zone = sender.view.local_zone
                        agent.on_peer_revision(other, zone, sender.revision)
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
        for client in result.clients:
            await client.close()


async def wait_for(condition, limit_s=5.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.02)


class AgentTests(unittest.TestCase):
    def test_change_propagates_through_the_table_and_is_stored_as_object(self):
        """A committed change is adopted, written to the object store and reported."""

        async def run():
            async with fleet() as test_fleet, anyio.create_task_group() as tasks:
                router = test_fleet.agent("router-1", reports=True)
                tasks.start_soon(router.run)
                with anyio.fail_after(5):
                    await router.wait_ready()
                await test_fleet.change("kiosk")
                await wait_for(lambda: router.revision == 1)
                await wait_for(
                    lambda: "config/revision" in test_fleet.platform.objects.objects
                )
                router.on_peer_revision("s1", "a", 1, name="sidecar-1")
                table = DynamoTable(f"{test_fleet.url}/table")
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
        A sidecar refuses a router's work because it has a newer revision. The router
        polls the table immediately instead of waiting for its next regular poll.
        """

        async def run():
            async with fleet() as test_fleet, anyio.create_task_group() as tasks:
                slow = SyncSettings(poll_s=8.0, pull_jitter_s=0.01)
                router = test_fleet.agent("router-1", settings=slow)
                tasks.start_soon(router.run)
                with anyio.fail_after(20):
                    await router.wait_ready()
                await anyio.sleep(slow.pull_retry_s)
                await test_fleet.change("kiosk")
                router.on_revision(1)
                with anyio.fail_after(2):
                    await router.wait_until_current()
                self.assertEqual(router.revision, 1)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_daemon_partitioned_from_the_table_pulls_from_a_peer(self):
        """
        A partition separates one daemon from the table, but it receives messages from
        another one. It still gets a change that is committed meanwhile.
        """

        async def run():
            async with fleet() as test_fleet, anyio.create_task_group() as tasks:
                one, two = test_fleet.agent("one"), test_fleet.agent("two")
                tasks.start_soon(one.run)
                tasks.start_soon(two.run)
                tasks.start_soon(test_fleet.heartbeats)
                with anyio.fail_after(5):
                    await one.wait_ready()
                    await two.wait_ready()
                test_fleet.platform.faults.table.partitioned.add("two")
                test_fleet.platform.faults.objects.partitioned.add("two")
                await test_fleet.change("kiosk")
                await wait_for(lambda: two.revision == 1)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_restart_of_all_without_the_table_does_not_serve(self):
        """
        Both daemons restart while the table is unavailable. They load the
        configuration from the object store, but must not serve requests with it.
        """

        async def run():
            async with fleet() as test_fleet, anyio.create_task_group() as tasks:
                first = test_fleet.agent("one")
                async with anyio.create_task_group() as before:
                    before.start_soon(first.run)
                    await test_fleet.change("kiosk")
                    await wait_for(
                        lambda: "config/revision" in test_fleet.platform.objects.objects
                    )
                    before.cancel_scope.cancel()
                test_fleet.platform.faults.table.outage = True
                one, two = test_fleet.agent("one"), test_fleet.agent("two")
                for agent in (one, two):
                    agent.view.update_fleet_size({"a": 1})
                    tasks.start_soon(agent.run)
                tasks.start_soon(test_fleet.heartbeats)
                await wait_for(lambda: one.view.revision == two.view.revision == 1)
                await anyio.sleep(1.0)
                self.assertEqual((one.view.ready, two.view.ready), (False, False))
                test_fleet.platform.faults.table.outage = False
                with anyio.fail_after(10):
                    await one.wait_ready()
                    await two.wait_ready()
                tasks.cancel_scope.cancel()

        anyio.run(run)
