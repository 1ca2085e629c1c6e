"""How the state of sidecars determines the targets that the dispatcher may use."""

import random
import unittest
from contextlib import asynccontextmanager

import anyio
from attrs import define, field

from endivegw.daemons.target_watch import TargetWatch
from endivegw.membership import MembershipPolicy
from endivegw.peers import NotDelivered
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done
from endivegw.services import ListedVm, VmState
from endivegw.telemetry import EventLog

POLICY = MembershipPolicy(
    heartbeat_interval_s=0.02,
    min_interval_s=0.02,
    min_list_interval_s=0.02,
    list_interval_s=0.02,
    heartbeat_timeout_s=0.01,
)


@define
class FakeSidecar:
    """Answer heartbeats for a target with one model."""

    name: str
    model: str = "badge"
    unresponsive: bool = False
    draining: bool = False
    closed: bool = False

    async def heartbeat(self, request, timeout_s):
        if self.unresponsive:
            raise NotDelivered("no connection")
        header = pb.Header(instance_id=f"{self.name}-1", availability_zone="erie")
        load = pb.LoadReport(
            target=self.name, slots=8, models=[self.model], draining=self.draining
        )
        return pb.HeartbeatReply(header=header, load=load, start_incarnation="s1")

    def close(self):
        self.closed = True


@define
class FakeVmList:
    """List one live machine for each target name."""

    names: tuple[str, ...]

    async def list_vms(self, *, timeout_s):
        return Done(
            tuple(
                ListedVm(f"vm-{name}", name, "erie", "target", VmState.LIVE)
                for name in self.names
            )
        )


@define
class FakeDispatcher:
    """Record the targets, and whether each accepts new work."""

    accepting: dict[str, bool] = field(factory=dict)

    def set_targets(self, views, now_s):
        self.accepting = {view.target: not view.draining for view in views}

    def report(self, target, figures, now_s):
        pass


@define
class FakeQueue:
    """Hold the dispatcher."""

    dispatcher: FakeDispatcher = field(factory=FakeDispatcher)

    def wake(self):
        pass


class TargetWatchTests(unittest.TestCase):
    def setUp(self):
        self.sidecars = {
            "one": FakeSidecar("one"),
            "two": FakeSidecar("two"),
        }
        self.vm_list = FakeVmList(("one", "two"))
        self.queue = FakeQueue()

    @asynccontextmanager
    async def watching(self):
        watch = TargetWatch(
            self.vm_list,
            self.sidecars.__getitem__,
            pb.Header,
            lambda header: None,
            self.queue,
            anyio.current_time,
            EventLog("router"),
            random.Random(1),
            policy=POLICY,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await self.until(one=True, two=True)
            yield watch
            tasks.cancel_scope.cancel()

    async def until(self, **accepting):
        with anyio.fail_after(3):
            while self.queue.dispatcher.accepting != accepting:
                await anyio.sleep(0.005)

    def test_unresponsive_target_gets_no_work_while_another_serves(self):
        """A sidecar dies. Work placed on its target would wait for a connection
        that is never made, although another target serves the same model.
        """

        async def scenario():
            async with self.watching():
                self.sidecars["one"].unresponsive = True
                await self.until(one=False, two=True)
                self.sidecars["one"].unresponsive = False
                await self.until(one=True, two=True)

        anyio.run(scenario)

    def test_unresponsive_target_is_used_if_no_other_serves_the_model(self):
        """The only target with a model becomes unresponsive, perhaps because of a
        lost packet. Refusing every caller of that model would fail all of them.
        """
        self.sidecars["two"].model = "planner"

        async def scenario():
            async with self.watching():
                self.sidecars["one"].unresponsive = True
                await anyio.sleep(0.2)
                await self.until(one=True, two=True)

        anyio.run(scenario)

    def test_draining_target_gets_no_work_even_if_it_is_the_only_one(self):
        """Operators drain the only target of a model. New work there would delay
        the drain, or be aborted by it.
        """
        self.sidecars["two"].model = "planner"

        async def scenario():
            async with self.watching():
                self.sidecars["one"].draining = True
                await self.until(one=False, two=True)

        anyio.run(scenario)

    def test_connection_to_a_target_missing_from_the_list_stays_open(self):
        """The platform's VM list omits a live target. Closing the connection would
        truncate the answers that are still being sent.
        """

        async def scenario():
            async with self.watching() as watch:
                self.vm_list.names = ("two",)
                await self.until(one=False, two=True)
                await anyio.sleep(0.1)
                self.assertIs(self.sidecars["one"].closed, False)
                self.assertIsNotNone(watch.find("one"))

        anyio.run(scenario)
