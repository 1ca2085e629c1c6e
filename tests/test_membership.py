"""What a process concludes of its peers, under the faults of list and network."""

import random
import time
import unittest

import anyio
from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.membership import (
    Heartbeat,
    MembershipPolicy,
    MembershipView,
    PeerAddress,
    PeerState,
    Use,
)
from endivegw.membership.agent import MembershipAgent
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import ListedVm, VmState
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

POLICY = MembershipPolicy()
ZONE = AvailabilityZone("erie")


def listed(vm, address="10.0.0.1", state=VmState.LIVE):
    return ListedVm(vm, address, ZONE, "target", state)


def beat(instance, **fields):
    return Heartbeat(InstanceId(instance), ZONE, ConfigRevision(1), **fields)


class ViewTests(unittest.TestCase):
    def setUp(self):
        self.view = MembershipView(POLICY)
        self.view.on_vm_list([listed("vm-1")], 0.0)

    def state(self, now_s, vm="vm-1"):
        return self.view.peer(vm).state(now_s, POLICY)

    def hear(self, at_s, instance="i1", vm="vm-1", **fields):
        return self.view.on_heartbeat(
            vm, beat(instance, **fields), sent_s=at_s - 0.01, now_s=at_s
        )

    def test_listed_and_never_heard_gets_no_work(self):
        """A machine has died and the list still names it. Callers whose work was
        sent there would wait for nothing.
        """
        self.assertIs(self.state(100.0), PeerState.UNHEARD)
        self.assertEqual(self.view.usable("target", 100.0), ())

    def test_silent_peer_is_the_last_resort(self):
        """A peer has gone silent, which may be its death or a cut network. With
        another peer alive it gets nothing; alone it is tried, since refusing
        every caller would be sure to fail them.
        """
        self.view.on_vm_list([listed("vm-1"), listed("vm-2", "10.0.0.2")], 0.0)
        self.hear(1.0)
        self.hear(9.0, "i2", "vm-2")
        self.assertIs(self.state(9.0), PeerState.SILENT)
        usable = [peer.address.vm for peer in self.view.usable("target", 9.0)]
        self.assertEqual(usable, ["vm-2"])
        both = [peer.address.vm for peer in self.view.usable("target", 30.0)]
        self.assertEqual(both, ["vm-1", "vm-2"])

    def test_empty_list_does_not_stop_the_fleet(self):
        """The platform's list answers with nobody on it. If it were believed, a
        healthy fleet would refuse every caller.
        """
        self.hear(1.0)
        self.view.on_vm_list([], 2.0)
        self.assertIs(self.state(2.0), PeerState.UNLISTED)
        self.assertEqual(len(self.view.usable("target", 2.0)), 1)

    def test_older_reading_of_the_list_does_not_undo_leaving(self):
        """The list is read from a replica that trails behind, so that a machine
        seen as leaving shows as live again. New work sent there would be cut off.
        """
        self.hear(1.0)
        self.view.on_vm_list([listed("vm-1", state=VmState.LEAVING)], 2.0)
        self.view.on_vm_list([listed("vm-1")], 3.0)
        self.hear(3.5)
        self.assertIs(self.state(3.5), PeerState.LEAVING)

    def test_late_answer_of_a_former_instance_is_ignored(self):
        """A sidecar was restarted under its address, and an answer of the former
        process arrives last. Believed, it would name a process that has gone.
        """
        self.hear(1.0, "i1")
        (change,) = self.hear(2.0, "i2")
        self.assertEqual(change.instance_before, "i1")
        self.assertEqual(change.instance_after, "i2")
        self.assertEqual(self.hear(3.0, "i1"), ())
        self.assertEqual(self.view.peer("vm-1").instance_id, "i2")

    def test_new_machine_under_an_old_address(self):
        """A machine is replaced, and the new one gets its address while the list
        still names both. The old process answers for a while; work placed by
        its word would end with it.
        """
        self.hear(1.0, "i1")
        self.view.on_vm_list([listed("vm-1"), listed("vm-2")], 2.0)
        self.assertIs(self.state(2.0), PeerState.SUPERSEDED)
        self.hear(3.0, "i1", "vm-2")
        self.assertIs(self.state(3.0, "vm-2"), PeerState.UNHEARD)
        self.hear(4.0, "i2", "vm-2")
        self.assertIs(self.state(4.0, "vm-2"), PeerState.ALIVE)

    def test_draining_may_be_resumed_but_leaving_may_not(self):
        """Operators take a drain back; an instance that ends stays out for good."""
        self.hear(1.0, draining=True)
        self.assertIs(self.state(1.0), PeerState.DRAINING)
        self.hear(2.0)
        self.assertIs(self.state(2.0), PeerState.ALIVE)
        self.hear(3.0, leaving=True)
        self.hear(4.0)
        self.assertIs(self.state(4.0), PeerState.LEAVING)

    def test_doubled_older_answer_does_not_end_a_drain(self):
        """An answer from before the drain arrives once more behind the one that
        told of it. Believed, it would draw new work to a draining target.
        """
        self.hear(1.0)
        self.hear(2.0, draining=True)
        self.view.on_heartbeat("vm-1", beat("i1"), sent_s=0.99, now_s=2.5)
        self.assertIs(self.state(2.5), PeerState.DRAINING)

    def test_two_lost_heartbeats_make_a_peer_silent(self):
        """A peer dies right after an answer. Two heartbeats later no caller's
        work waits for it, though the time of silence is not yet over; one lost
        heartbeat alone changes nothing.
        """
        self.hear(1.0)
        self.view.on_silence("vm-1", sent_s=1.1, now_s=1.5)
        self.assertIs(self.state(1.5), PeerState.ALIVE)
        self.view.on_silence("vm-1", sent_s=1.6, now_s=2.0)
        self.assertIs(self.state(2.0), PeerState.SILENT)

    def test_flapping_peer_must_be_steady_again(self):
        """A loose cable lets a peer come and go. Each return draws work that the
        next silence delays.
        """
        now_s = 1.0
        self.hear(now_s)
        for _ in range(POLICY.flap_limit):
            for _ in range(2):
                now_s += 2.5
                self.view.on_silence("vm-1", sent_s=now_s - 0.4, now_s=now_s)
            now_s += 2.5
            self.hear(now_s)
        self.assertIs(self.state(now_s), PeerState.FLAPPING)
        for _ in range(5):
            now_s += 2.5
            self.hear(now_s)
        self.assertIs(self.state(now_s), PeerState.ALIVE)

    def test_observer_notices_that_it_is_cut_off(self):
        """A router loses its network and every peer falls silent at once. The
        fault is its own, and the balancer should send callers elsewhere.
        """
        vms = [listed(f"vm-{n}", f"10.0.0.{n}") for n in range(1, 5)]
        self.view.on_vm_list(vms, 0.0)
        for vm in vms:
            self.hear(1.0, f"i-{vm.vm}", vm.vm)
        self.assertIs(self.view.seems_cut_off("target", 2.0), False)
        self.assertIs(self.view.seems_cut_off("target", 9.0), True)

    def test_drain_is_known_within_three_seconds(self):
        """Interval and timeout of a heartbeat stay below the promised time."""
        worst_s = POLICY.heartbeat_interval_s + POLICY.heartbeat_timeout_s
        self.assertLess(worst_s, 3.0)


VMS = ("a", "b", "c")
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "beat",
                "cut",
                "heal",
                "restart",
                "replace",
                "leave",
                "drain",
                "late",
                "list",
            )
        ),
        st.sampled_from(VMS),
        st.floats(0.0, 4.0),
    ),
    max_size=60,
)


class World:
    """A few machines as they truly are, behind a network that loses answers."""

    def __init__(self):
        self.view = MembershipView(POLICY)
        self.now_s = 0.0
        self.count = 0
        self.vm = {slot: f"vm-{slot}-0" for slot in VMS}
        self.instance = {slot: f"i-{slot}-0" for slot in VMS}
        self.leaving = set()
        self.draining = set()
        self.newest = {}
        self.cut = set()
        self.kept = []
        self.seen_leaving = set()
        self.read_list(set(VMS))

    def read_list(self, slots):
        self.view.on_vm_list(
            [listed(self.vm[slot], f"10.0.0.{slot}") for slot in sorted(slots)],
            self.now_s,
        )

    def beat(self, slot):
        sent_s = self.now_s
        self.now_s += 0.01
        vm = self.vm[slot]
        if slot in self.cut:
            self.view.on_silence(vm, sent_s=sent_s, now_s=self.now_s)
            return
        instance = self.instance[slot]
        answer = beat(
            instance,
            leaving=instance in self.leaving,
            draining=slot in self.draining,
        )
        self.newest[vm] = answer
        self.kept.append((vm, answer, sent_s))
        self.view.on_heartbeat(vm, answer, sent_s=sent_s, now_s=self.now_s)
        if answer.leaving:
            self.seen_leaving.add((vm, instance))

    def act(self, action, slot, wait_s):
        self.now_s += wait_s
        self.count += 1
        match action:
            case "beat":
                self.beat(slot)
            case "cut":
                self.cut.add(slot)
            case "heal":
                self.cut.discard(slot)
            case "restart":
                self.instance[slot] = f"i-{slot}-{self.count}"
            case "replace":
                self.vm[slot] = f"vm-{slot}-{self.count}"
                self.instance[slot] = f"i-{slot}-{self.count}"
            case "leave":
                self.leaving.add(self.instance[slot])
            case "drain":
                self.draining ^= {slot}
            case "late" if self.kept:
                vm, answer, sent_s = self.kept[self.count % len(self.kept)]
                self.view.on_heartbeat(vm, answer, sent_s=sent_s, now_s=self.now_s)
            case "list":
                self.read_list(set(VMS) - {slot} if wait_s < 1 else set(VMS))

    def check(self, test):
        for peer in self.view.peers("target"):
            newest = self.newest.get(peer.address.vm)
            if newest is not None and peer.heartbeat is not None:
                test.assertIs(peer.heartbeat.draining, newest.draining)
            if (peer.address.vm, peer.instance_id) in self.seen_leaving:
                use = self.view.conclusion(peer.address.vm, self.now_s).use
                test.assertIs(use, Use.NEVER)

    def calm(self):
        self.cut.clear()
        self.draining.clear()
        for _ in range(80):
            self.now_s += 2.5
            self.read_list(set(VMS))
            for slot in VMS:
                self.beat(slot)


class RandomisedViewTests(unittest.TestCase):
    @seed(7)
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(ACTIONS)
    def test_view_never_uses_who_leaves_and_finds_the_truth(self, actions):
        """Machines restart, are replaced and leave while answers are lost, late
        and doubled and the list is wrong. An instance known to leave gets no
        new work, and with the faults over the view equals the truth.
        """
        world = World()
        for action in actions:
            world.act(*action)
            world.check(self)
        world.calm()
        peers = {peer.address.vm: peer for peer in world.view.peers("target")}
        self.assertEqual(set(peers), set(world.vm.values()))
        for slot in VMS:
            state = peers[world.vm[slot]].state(world.now_s, POLICY)
            left = world.instance[slot] in world.leaving
            expected = PeerState.LEAVING if left else PeerState.ALIVE
            self.assertIs(state, expected)
            self.assertEqual(peers[world.vm[slot]].instance_id, world.instance[slot])


class FakeHeartbeats:
    def __init__(self):
        self.answer = beat("i1")
        self.count = 0

    async def heartbeat(self, peer, *, timeout_s):
        self.count += 1
        await anyio.sleep(0.001)
        return Done(self.answer) if self.answer else Unknown(Reason.TIMEOUT)


class FakeList:
    def __init__(self):
        self.result = Done((listed("vm-1"),))

    async def list_vms(self, *, timeout_s):
        return self.result


class AgentTests(unittest.TestCase):
    def test_drain_is_known_while_the_list_is_away(self):
        """A router is cut off from the platform when operators drain a target.
        It must still learn of the drain from the sidecar itself, in time.
        """
        policy = evolve(
            POLICY,
            heartbeat_interval_s=0.25,
            least_interval_s=0.25,
            least_list_interval_s=0.2,
            heartbeat_timeout_s=0.04,
            list_interval_s=0.2,
        )
        view = MembershipView(policy)
        vm_list = FakeList()
        heartbeats = FakeHeartbeats()

        def choose(view):
            return frozenset(peer.address for peer in view.peers("target"))

        changes = []
        agent = MembershipAgent(
            view,
            policy,
            vm_list,
            heartbeats,
            choose,
            lambda peer, heartbeat, now_s: None,
            changes.append,
            EventLog("router"),
            random.Random(3),
            time.monotonic,
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(agent.run)
                await anyio.sleep(0.5)
                vm_list.result = Refused(Reason.UNREACHABLE)
                heartbeats.answer = beat("i1", draining=True)
                await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertIs(changes[-1].after, PeerState.DRAINING)
        self.assertEqual(changes[-1].peer, PeerAddress("vm-1", "10.0.0.1", "target"))
