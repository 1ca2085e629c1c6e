"""Peer states under faults of the VM list and the network."""

import random
import time
import unittest

import anyio
from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.membership import (
    Eligibility,
    Heartbeat,
    MembershipPolicy,
    MembershipView,
    PeerAddress,
    PeerState,
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


def make_heartbeat(instance, **fields):
    return Heartbeat(InstanceId(instance), ZONE, ConfigRevision(1), **fields)


class ViewTests(unittest.TestCase):
    def setUp(self):
        self.view = MembershipView(POLICY)
        self.view.on_vm_list([listed("vm-1")], 0.0)

    def state(self, now_s, vm="vm-1"):
        return self.view.peer(vm).state(now_s, POLICY)

    def receive(self, at_s, instance="i1", vm="vm-1", **fields):
        return self.view.on_heartbeat(
            vm, make_heartbeat(instance, **fields), sent_s=at_s - 0.01, now_s=at_s
        )

    def test_listed_peer_that_never_responded_gets_no_work(self):
        """A machine is dead but still listed; requests sent to it would only time
        out.
        """
        self.assertIs(self.state(100.0), PeerState.NEVER_RESPONDED)
        self.assertEqual(self.view.usable("target", 100.0), ())

    def test_unresponsive_peer_is_the_last_resort(self):
        """An unresponsive peer may be dead or partitioned. It gets no work while
        another peer is alive; if it is the only one it is tried, because refusing
        every request is a certain failure.
        """
        self.view.on_vm_list([listed("vm-1"), listed("vm-2", "10.0.0.2")], 0.0)
        self.receive(1.0)
        self.receive(9.0, "i2", "vm-2")
        self.assertIs(self.state(9.0), PeerState.UNRESPONSIVE)
        usable = [peer.address.vm for peer in self.view.usable("target", 9.0)]
        self.assertEqual(usable, ["vm-2"])
        last_resort = [peer.address.vm for peer in self.view.usable("target", 30.0)]
        self.assertEqual(last_resort, ["vm-1", "vm-2"])

    def test_empty_list_does_not_stop_the_fleet(self):
        """The platform returns an empty VM list. If it were trusted, a healthy fleet
        would refuse every request.
        """
        self.receive(1.0)
        self.view.on_vm_list([], 2.0)
        self.assertIs(self.state(2.0), PeerState.UNLISTED)
        self.assertEqual(len(self.view.usable("target", 2.0)), 1)

    def test_older_reading_of_the_list_does_not_undo_leaving(self):
        """The list is read from a lagging replica, so that a leaving machine appears
        as live again. New work sent there would be interrupted.
        """
        self.receive(1.0)
        self.view.on_vm_list([listed("vm-1", state=VmState.LEAVING)], 2.0)
        self.view.on_vm_list([listed("vm-1")], 3.0)
        self.receive(3.5)
        self.assertIs(self.state(3.5), PeerState.LEAVING)

    def test_delayed_response_of_a_former_instance_is_ignored(self):
        """A sidecar was restarted at the same address, and a response of the former
        process arrives last. Accepting it would restore a terminated instance.
        """
        self.receive(1.0, "i1")
        (change,) = self.receive(2.0, "i2")
        self.assertEqual(change.instance_before, "i1")
        self.assertEqual(change.instance_after, "i2")
        self.assertEqual(self.receive(3.0, "i1"), ())
        self.assertEqual(self.view.peer("vm-1").instance_id, "i2")

    def test_new_machine_under_an_old_address(self):
        """A machine is replaced, and the new one gets its address while the list
        still names both. The old process responds for a while; work placed on its
        reports would be lost when it terminates.
        """
        self.receive(1.0, "i1")
        self.view.on_vm_list([listed("vm-1"), listed("vm-2")], 2.0)
        self.assertIs(self.state(2.0), PeerState.SUPERSEDED)
        self.receive(3.0, "i1", "vm-2")
        self.assertIs(self.state(3.0, "vm-2"), PeerState.NEVER_RESPONDED)
        self.receive(4.0, "i2", "vm-2")
        self.assertIs(self.state(4.0, "vm-2"), PeerState.ALIVE)

    def test_draining_may_be_resumed_but_leaving_may_not(self):
        """Operators may undo a drain; a leaving instance never gets new work again."""
        self.receive(1.0, draining=True)
        self.assertIs(self.state(1.0), PeerState.DRAINING)
        self.receive(2.0)
        self.assertIs(self.state(2.0), PeerState.ALIVE)
        self.receive(3.0, leaving=True)
        self.receive(4.0)
        self.assertIs(self.state(4.0), PeerState.LEAVING)

    def test_duplicate_older_response_does_not_end_a_drain(self):
        """A duplicate of a response from before the drain arrives after the response
        that reports it. Accepting it would send new work to a draining target.
        """
        self.receive(1.0)
        self.receive(2.0, draining=True)
        self.view.on_heartbeat("vm-1", make_heartbeat("i1"), sent_s=0.99, now_s=2.5)
        self.assertIs(self.state(2.5), PeerState.DRAINING)

    def test_two_lost_heartbeats_make_a_peer_unresponsive(self):
        """A peer dies right after a response. Two lost heartbeats mark it as
        unresponsive before the time limit has passed, so that no requests wait for
        it; a single lost heartbeat changes nothing.
        """
        self.receive(1.0)
        self.view.on_missed_heartbeat("vm-1", sent_s=1.1, now_s=1.5)
        self.assertIs(self.state(1.5), PeerState.ALIVE)
        self.view.on_missed_heartbeat("vm-1", sent_s=1.6, now_s=2.0)
        self.assertIs(self.state(2.0), PeerState.UNRESPONSIVE)

    def test_flapping_peer_must_be_stable_again(self):
        """A peer alternates between responsive and unresponsive. Each recovery
        attracts work that the next interruption delays.
        """
        now_s = 1.0
        self.receive(now_s)
        for _ in range(POLICY.flap_limit):
            for _ in range(2):
                now_s += 2.5
                self.view.on_missed_heartbeat("vm-1", sent_s=now_s - 0.4, now_s=now_s)
            now_s += 2.5
            self.receive(now_s)
        self.assertIs(self.state(now_s), PeerState.FLAPPING)
        for _ in range(5):
            now_s += 2.5
            self.receive(now_s)
        self.assertIs(self.state(now_s), PeerState.ALIVE)

    def test_observer_detects_that_it_is_isolated(self):
        """A router loses its network and every peer becomes unresponsive at once.
        The fault is local, and the load balancer should send requests elsewhere.
        """
        vms = [listed(f"vm-{n}", f"10.0.0.{n}") for n in range(1, 5)]
        self.view.on_vm_list(vms, 0.0)
        for vm in vms:
            self.receive(1.0, f"i-{vm.vm}", vm.vm)
        self.assertIs(self.view.seems_isolated("target", 2.0), False)
        self.assertIs(self.view.seems_isolated("target", 9.0), True)

    def test_drain_is_known_within_three_seconds(self):
        """The interval plus the timeout of a heartbeat stays below the 3 s limit."""
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


class Machines:
    """The actual state of a few machines behind a network that loses responses."""

    def __init__(self):
        self.view = MembershipView(POLICY)
        self.now_s = 0.0
        self.count = 0
        self.vm = {slot: f"vm-{slot}-0" for slot in VMS}
        self.instance = {slot: f"i-{slot}-0" for slot in VMS}
        self.leaving = set()
        self.draining = set()
        self.latest = {}
        self.partitioned = set()
        self.sent_responses = []
        self.reported_leaving = set()
        self.read_list(set(VMS))

    def read_list(self, slots):
        self.view.on_vm_list(
            [listed(self.vm[slot], f"10.0.0.{slot}") for slot in sorted(slots)],
            self.now_s,
        )

    def send_heartbeat(self, slot):
        sent_s = self.now_s
        self.now_s += 0.01
        vm = self.vm[slot]
        if slot in self.partitioned:
            self.view.on_missed_heartbeat(vm, sent_s=sent_s, now_s=self.now_s)
            return
        instance = self.instance[slot]
        response = make_heartbeat(
            instance,
            leaving=instance in self.leaving,
            draining=slot in self.draining,
        )
        self.latest[vm] = response
        self.sent_responses.append((vm, response, sent_s))
        self.view.on_heartbeat(vm, response, sent_s=sent_s, now_s=self.now_s)
        if response.leaving:
            self.reported_leaving.add((vm, instance))

    def apply(self, action, slot, wait_s):
        self.now_s += wait_s
        self.count += 1
        match action:
            case "beat":
                self.send_heartbeat(slot)
            case "cut":
                self.partitioned.add(slot)
            case "heal":
                self.partitioned.discard(slot)
            case "restart":
                self.instance[slot] = f"i-{slot}-{self.count}"
            case "replace":
                self.vm[slot] = f"vm-{slot}-{self.count}"
                self.instance[slot] = f"i-{slot}-{self.count}"
            case "leave":
                self.leaving.add(self.instance[slot])
            case "drain":
                self.draining ^= {slot}
            case "late" if self.sent_responses:
                vm, response, sent_s = self.sent_responses[
                    self.count % len(self.sent_responses)
                ]
                self.view.on_heartbeat(vm, response, sent_s=sent_s, now_s=self.now_s)
            case "list":
                self.read_list(set(VMS) - {slot} if wait_s < 1 else set(VMS))

    def check(self, test):
        for peer in self.view.peers("target"):
            latest = self.latest.get(peer.address.vm)
            if latest is not None and peer.heartbeat is not None:
                test.assertIs(peer.heartbeat.draining, latest.draining)
            if (peer.address.vm, peer.instance_id) in self.reported_leaving:
                eligibility = self.view.permitted_actions(
                    peer.address.vm, self.now_s
                ).eligibility
                test.assertIs(eligibility, Eligibility.NEVER)

    def recover(self):
        self.partitioned.clear()
        self.draining.clear()
        for _ in range(80):
            self.now_s += 2.5
            self.read_list(set(VMS))
            for slot in VMS:
                self.send_heartbeat(slot)


class RandomisedViewTests(unittest.TestCase):
    @seed(7)
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(ACTIONS)
    def test_view_never_uses_leaving_instances_and_converges(self, actions):
        """Machines restart, are replaced and leave while responses are lost, delayed
        and duplicated and the list is wrong. An instance known to be leaving gets
        no new work, and after the faults end the view matches the actual state.
        """
        machines = Machines()
        for action in actions:
            machines.apply(*action)
            machines.check(self)
        machines.recover()
        peers = {peer.address.vm: peer for peer in machines.view.peers("target")}
        self.assertEqual(set(peers), set(machines.vm.values()))
        for slot in VMS:
            state = peers[machines.vm[slot]].state(machines.now_s, POLICY)
            left = machines.instance[slot] in machines.leaving
            expected = PeerState.LEAVING if left else PeerState.ALIVE
            self.assertIs(state, expected)
            self.assertEqual(
                peers[machines.vm[slot]].instance_id, machines.instance[slot]
            )


class FakeHeartbeats:
    def __init__(self):
        self.response = make_heartbeat("i1")
        self.count = 0

    async def heartbeat(self, peer, *, timeout_s):
        self.count += 1
        await anyio.sleep(0.001)
        return Done(self.response) if self.response else Unknown(Reason.TIMEOUT)


class FakeVmList:
    def __init__(self):
        self.result = Done((listed("vm-1"),))

    async def list_vms(self, *, timeout_s):
        return self.result


class AgentTests(unittest.TestCase):
    def test_drain_is_detected_while_the_list_is_unavailable(self):
        """A router cannot reach the platform when operators drain a target. It must
        still detect the drain in time from the sidecar's heartbeat responses.
        """
        policy = evolve(
            POLICY,
            heartbeat_interval_s=0.25,
            min_interval_s=0.25,
            min_list_interval_s=0.2,
            heartbeat_timeout_s=0.04,
            list_interval_s=0.2,
        )
        view = MembershipView(policy)
        vm_list = FakeVmList()
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
                heartbeats.response = make_heartbeat("i1", draining=True)
                await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertIs(changes[-1].after, PeerState.DRAINING)
        self.assertEqual(changes[-1].peer, PeerAddress("vm-1", "10.0.0.1", "target"))
