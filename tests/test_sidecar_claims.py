"""Claims over sockets when routers die or pause, or the table is unavailable."""

import random
import time
import unittest
from contextlib import asynccontextmanager

import anyio

from endivegw.daemons.claim_client import ClaimClient
from endivegw.daemons.request_driver import PlacedTarget, RequestDriver
from endivegw.daemons.slot_claim_service import SlotClaimService, SlotClaimSettings
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.decisions.retry import RetryBudget, RetryPolicy
from endivegw.peers import SidecarClient
from endivegw.requests.attempt_limits import AttemptLimits
from endivegw.requests.attempts import RequestStateMachine
from endivegw.requests.claims import ClaimLimits
from endivegw.requests.slots import AcquisitionRule
from endivegw.requests.steps import RequestFacts
from endivegw.results import Done, Reason
from endivegw.services import ListedVm, VmState
from endivegw.telemetry import EventLog
from endivegw.types import (
    AttemptId,
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Outcome,
    RequestIdentity,
    TargetName,
)
from endivegw_standins.faulty_table import FaultyTable, TableFaults
from endivegw_standins.memory_table import MemoryTable
from tests.sidecar_fakes import FakeService, Rig

LIMITS = ClaimLimits(commit_interval_s=0.02, heartbeat_interval_s=0.05, grace_s=1.0)
TARGET = TargetName("t1")


class Fleet:
    """Run one target with its sidecar, and any number of routers."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.service = FakeService(pause_s=0.05)
        self.memory = MemoryTable()
        self.faults = TableFaults(latency_s=0.001)
        self.vms = ["vm1"]
        self.rig = None
        self.claim_service = None
        self.scope = None
        self.instances = 0
        self.ids = iter(range(1000))
        self.routers = []

    def table(self):
        return FaultyTable(self.memory, self.faults, random.Random(1), self.tasks)

    async def list_vms(self, *, timeout_s):
        zone = AvailabilityZone("z")
        return Done(
            tuple(ListedVm(vm, vm, zone, "target", VmState.LIVE) for vm in self.vms)
        )

    async def start_sidecar(self):
        """Start a sidecar process; an earlier one must have terminated."""
        self.instances += 1
        self.rig = Rig(self.service, instance=f"s{self.instances}")
        self.scope = anyio.CancelScope()
        self.rig.port = await self.tasks.start(self._serve)
        if not self.faults.unavailable:
            await self.owned()

    def claim_service_at(self, port):
        settings = SlotClaimSettings(
            "vm1",
            TARGET,
            InstanceId(f"s{self.instances}"),
            f"127.0.0.1:{port}",
            map_interval_s=0.05,
            near_map_interval_s=0.05,
            wait_s=0.3,
            rule=AcquisitionRule(1, 0.1),
            limits=LIMITS,
        )
        table = self.table()
        return SlotClaimService(
            settings, table, self, time.monotonic, time.time, EventLog("sidecar")
        )

    async def owned(self):
        while not self.claim_service.owned_slots():
            await anyio.sleep(0.01)
        await anyio.sleep(0.05)

    def stop_sidecar(self):
        self.scope.cancel()

    async def _serve(self, *, task_status):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(self.rig.sidecar.serve, "127.0.0.1", 0)
                self.claim_service = self.claim_service_at(port)
                self.rig.sidecar._claims = self.claim_service
                tasks.start_soon(self.claim_service.run)
                task_status.started(port)

    def router(self):
        return RouterFake(self)


class RouterFake:
    """Hold a router's slot map and connections, and implement the driver's ports."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.maps = SlotMapReader(fleet.table(), time.monotonic, 0.05)
        self.client_ = SidecarClient("127.0.0.1", fleet.rig.port)
        self.claims = ClaimClient(self.maps, self._connect, fleet.rig.header, 1)
        self.received = b""
        self.before_order = None
        fleet.tasks.start_soon(self.maps.run)
        fleet.routers.append(self)

    def _connect(self, address):
        host, _, port = address.rpartition(":")
        return SidecarClient(host, int(port))

    def close(self):
        self.client_.close()
        self.claims.close()

    async def run(self, key="k1", deadline_s=3.0):
        """Send one request that must not be repeated; return its result."""
        self.identity = RequestIdentity(ClientAccountName("lobby"), key)
        self.deadline_s = time.monotonic() + deadline_s
        facts = RequestFacts(self.identity, b"d", True, False, self.deadline_s)
        machine = RequestStateMachine(
            facts,
            AttemptLimits(),
            RetryPolicy(),
            RetryBudget(),
            random.Random(1),
            lambda: AttemptId(f"a{next(self.fleet.ids)}"),
        )
        return await RequestDriver(machine, self, time.monotonic).run()

    async def place(self, avoid):
        return PlacedTarget(TARGET, self.fleet.rig.registry.incarnation)

    def client(self, target):
        return self.client_

    def header(self):
        return self.fleet.rig.header()

    def start(self, step):
        remaining_s = self.deadline_s - time.monotonic()
        start = self.fleet.rig.service_start(key=self.identity.idempotency_key)
        start.remaining_s = max(0.0, remaining_s)
        return start

    def cancel_if_caller_left(self):
        pass

    def may_start(self):
        return True

    def body(self):
        return None

    async def claim(self, proposal):
        answer = await self.claims.claim(self.identity, proposal)
        if self.before_order is not None:
            await self.before_order()
        return answer

    async def head(self, status, fields):
        pass

    async def data(self, data):
        self.received += data

    def reset(self):
        self.received = b""

    def on_header(self, header):
        pass

    def refused(self, step, refused):
        pass


@asynccontextmanager
async def fleet_of_one():
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await fleet.start_sidecar()
        yield fleet
        for router in fleet.routers:
            router.close()
        tasks.cancel_scope.cancel()


class ClaimTests(unittest.IsolatedAsyncioTestCase):
    async def test_retry_after_router_death_gets_the_only_answer(self):
        """
        A router dies after it sent a request that must not run twice. The
        caller's retry through another router gets the complete answer, and the
        service is called once.
        """
        async with fleet_of_one() as fleet:
            dying, other = fleet.router(), fleet.router()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dying.run)
                while not fleet.service.bodies:
                    await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
            ending = await other.run()
        self.assertIs(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(other.received, b"order")
        self.assertEqual(len(fleet.service.bodies), 1)

    async def test_order_of_a_paused_router_does_not_run_again(self):
        """
        A router is paused between its claim and its order, and the caller is
        served through another router. The order that the first router sends
        when it resumes must not run a second time.
        """
        async with fleet_of_one() as fleet:
            paused, other = fleet.router(), fleet.router()
            resumed, claimed = anyio.Event(), anyio.Event()

            async def pause():
                claimed.set()
                await resumed.wait()

            paused.before_order = pause
            endings = []
            async with anyio.create_task_group() as tasks:

                async def run_paused():
                    endings.append(await paused.run())

                tasks.start_soon(run_paused)
                await claimed.wait()
                ending = await other.run()
                resumed.set()
        self.assertIs(ending.outcome, Outcome.ANSWERED)
        self.assertIs(endings[0].outcome, Outcome.ANSWERED)
        self.assertEqual(paused.received, other.received)
        self.assertEqual(len(fleet.service.bodies), 1)

    async def test_claims_are_served_from_memory_in_a_long_table_outage(self):
        """
        The table is unavailable for longer than the grace time. Requests are
        served again, a retry still finds them, and their claims are written
        once the table is available.
        """
        async with fleet_of_one() as fleet:
            router = fleet.router()
            await router.run("before")
            fleet.faults.unavailable = True
            ending = await router.run("during", deadline_s=8.0)
            retried = await retry_elsewhere(fleet, router, "during")
            written = fleet.memory.writes
            fleet.faults.unavailable = False
            await anyio.sleep(2.5)
        self.assertIs(ending.outcome, Outcome.ANSWERED)
        self.assertIs(retried.outcome, Outcome.ANSWERED)
        self.assertEqual(len(fleet.service.bodies), 2)
        self.assertGreater(fleet.memory.writes, written)
        self.assertIs(fleet.claim_service._owned[0].owner.flushed, True)

    async def test_lost_answer_to_the_claim(self):
        """
        Claims are written, but the table's answers are lost. Each request is
        served nevertheless, and runs once.
        """
        async with fleet_of_one() as fleet:
            fleet.faults.lost_answer_share = 0.5
            router = fleet.router()
            endings = [await router.run(f"k{n}", deadline_s=8.0) for n in range(3)]
        outcomes = {ending.outcome for ending in endings}
        self.assertEqual(outcomes, {Outcome.ANSWERED})
        self.assertEqual(len(fleet.service.bodies), 3)

    async def test_outcome_is_unknown_after_a_sidecar_restart(self):
        """
        A sidecar restarts right after it ran a request. The retry finds the
        claim, but no process knows whether the request ran: it must not run
        again, and its outcome is reported as unknown.
        """
        async with fleet_of_one() as fleet:
            first = fleet.router()
            await first.run()
            fleet.stop_sidecar()
            await fleet.start_sidecar()
            second = fleet.router()
            ending = await second.run()
            unrelated = await second.run("another")
        self.assertIs(ending.outcome, Outcome.UNKNOWN)
        self.assertIs(ending.reason, Reason.ANSWER_LOST)
        self.assertIs(unrelated.outcome, Outcome.ANSWERED)
        self.assertEqual(len(fleet.service.bodies), 2)

    async def test_planned_stop_releases_the_slot(self):
        """
        A sidecar is stopped as planned. It writes its claims and releases its
        slot, so that the next owner knows every key.
        """
        async with fleet_of_one() as fleet:
            router = fleet.router()
            await router.run()
            await fleet.claim_service.release()
            fleet.stop_sidecar()
            await fleet.start_sidecar()
            owned = fleet.claim_service._owned[0]
        self.assertEqual(owned.owner.claims, 1)
        self.assertIs(owned.slot.possibly_incomplete, False)

    async def test_without_an_owner_the_outcome_is_unknown(self):
        """
        The owner of a key's slot has terminated and the table is unavailable.
        The caller must not be told that its request did not run, because an
        earlier attempt may have run.
        """
        async with fleet_of_one() as fleet:
            router = fleet.router()
            await anyio.sleep(0.1)
            fleet.faults.unavailable = True
            fleet.stop_sidecar()
            ending = await router.run(deadline_s=0.5)
        self.assertIs(ending.outcome, Outcome.UNKNOWN)
        self.assertEqual(fleet.service.bodies, [])


async def retry_elsewhere(fleet, first, key):
    """Retry through another router that has the same outdated slot map."""
    router = fleet.router()
    router.maps.current = first.maps.current
    return await router.run(key)
