"""What the dispatcher is told of targets, by what their sidecars answer."""

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
    name: str
    model: str = "badge"
    silent: bool = False
    draining: bool = False
    closed: bool = False

    async def heartbeat(self, request, timeout_s):
        if self.silent:
            raise NotDelivered("no connection")
        header = pb.Header(instance_id=f"{self.name}-1", availability_zone="erie")
        load = pb.LoadReport(
            target=self.name, slots=8, models=[self.model], draining=self.draining
        )
        return pb.HeartbeatReply(header=header, load=load, start_incarnation="s1")

    def close(self):
        self.closed = True


@define
class FakeList:
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
    offered: dict[str, bool] = field(factory=dict)

    def set_targets(self, views, now_s):
        self.offered = {view.target: not view.draining for view in views}

    def report(self, target, figures, now_s):
        pass


@define
class FakeQueue:
    dispatcher: FakeDispatcher = field(factory=FakeDispatcher)

    def wake(self):
        pass


class TargetWatchTests(unittest.TestCase):
    def setUp(self):
        self.sidecars = {
            "one": FakeSidecar("one"),
            "two": FakeSidecar("two"),
        }
        self.list = FakeList(("one", "two"))
        self.queue = FakeQueue()

    @asynccontextmanager
    async def watching(self):
        watch = TargetWatch(
            self.list,
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

    async def until(self, **offered):
        with anyio.fail_after(3):
            while self.queue.dispatcher.offered != offered:
                await anyio.sleep(0.005)

    def test_silent_target_is_left_alone_while_another_serves(self):
        """A sidecar dies. Work that was placed on it would wait for a connection
        that is never made, while another target has the same model.
        """

        async def scenario():
            async with self.watching():
                self.sidecars["one"].silent = True
                await self.until(one=False, two=True)
                self.sidecars["one"].silent = False
                await self.until(one=True, two=True)

        anyio.run(scenario)

    def test_silent_target_is_tried_where_nobody_else_has_the_model(self):
        """The only target with a model goes silent, perhaps for a lost packet.
        Refusing every caller of that model would be sure to fail them.
        """
        self.sidecars["two"].model = "planner"

        async def scenario():
            async with self.watching():
                self.sidecars["one"].silent = True
                await anyio.sleep(0.2)
                await self.until(one=True, two=True)

        anyio.run(scenario)

    def test_draining_target_gets_nothing_even_alone(self):
        """Operators drain the only target of a model; new work there would hold
        up the drain, or be cut off.
        """
        self.sidecars["two"].model = "planner"

        async def scenario():
            async with self.watching():
                self.sidecars["one"].draining = True
                await self.until(one=False, two=True)

        anyio.run(scenario)

    def test_target_that_the_list_lost_keeps_its_connection(self):
        """The platform's list leaves a living target out. Answers on its way
        would be cut off if the connection were closed.
        """

        async def scenario():
            async with self.watching() as watch:
                self.list.names = ("two",)
                await self.until(one=False, two=True)
                await anyio.sleep(0.1)
                self.assertIs(self.sidecars["one"].closed, False)
                self.assertIsNotNone(watch.find("one"))

        anyio.run(scenario)
