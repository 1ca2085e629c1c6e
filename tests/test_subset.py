"""Selection of the targets that a router watches in a large fleet."""

import unittest
from collections import Counter

from endivegw.membership import (
    Heartbeat,
    MembershipPolicy,
    MembershipView,
    TargetSubset,
)
from endivegw.services import ListedVm, VmState
from endivegw.targets import EngineLoad
from endivegw.types import ConfigRevision, InstanceId, TargetName

ZONES = tuple(f"zone-{number}" for number in range(7))
MODELS = ("badge", "plan", "talk")
COUNT = MembershipPolicy().targets_per_router


class SubsetTests(unittest.TestCase):
    def setUp(self):
        self.view = MembershipView(MembershipPolicy())
        self.vms = [
            ListedVm(f"vm-{n}", f"10.0.0.{n}", ZONES[n % 7], "target", VmState.LIVE)
            for n in range(650)
        ]
        self.view.on_vm_list(self.vms, 0.0)

    def subset(self, router="router-1", zone=ZONES[0]):
        return TargetSubset(router, zone, COUNT, 40)

    def receive(self, address, models):
        number = int(address.vm.removeprefix("vm-"))
        load = EngineLoad(0, 0, 8, 1.0, models, 0.0)
        heartbeat = Heartbeat(
            InstanceId(f"i-{number}"),
            ZONES[0],
            ConfigRevision(1),
            load=load,
            target=TargetName(f"t-{number}"),
        )
        self.view.on_heartbeat(address.vm, heartbeat, sent_s=0.5, now_s=1.0)

    def watch(self, subset, wanted=MODELS):
        """Select targets and receive their heartbeats until the selection is stable."""
        chosen = ()
        for _ in range(20):
            before = chosen
            chosen = subset.choose(self.view.peers("target"), wanted)
            if chosen == before:
                return chosen
            for address in chosen:
                number = int(address.vm.removeprefix("vm-"))
                self.receive(address, (MODELS[number * 7 // 11 % 3],))
        self.fail("the selection did not become stable within 20 rounds")

    def test_each_model_has_enough_targets(self):
        """A router ranks targets of only two models first. Requests for the third
        model would be refused although many targets serve it.
        """
        for number in range(40):
            self.setUp()
            chosen = self.watch(self.subset(f"router-{number}"))
            self.assertLessEqual(len(chosen), 2 * COUNT)
            serving = Counter(
                model
                for address in chosen
                for model in self.view.peer(address.vm).heartbeat.load.models
            )
            self.assertGreaterEqual(min(serving[model] for model in MODELS), 3)

    def test_targets_are_watched_by_similar_numbers_of_routers(self):
        """A target that no router watches gets no work, and its capacity is lost."""
        count = Counter()
        peers = self.view.peers("target")
        for number in range(370):
            subset = self.subset(f"router-{number}", ZONES[number % 7])
            count.update(subset.choose(peers, ()))
        watched = [count[peer.address] for peer in peers]
        self.assertLessEqual(watched.count(0), 650 * 0.01)
        self.assertLessEqual(max(watched), 20)

    def test_selection_is_stable_when_a_target_is_replaced(self):
        """A target is replaced, which happens 270 times a day. If the rest of the
        selection changed, each replacement would lose connections and prompt caches.
        """
        subset = self.subset()
        peers = self.view.peers("target")
        before = set(subset.choose(peers, ()))
        removed = sorted(before)[0]
        rest = tuple(peer for peer in peers if peer.address != removed)
        after = set(subset.choose(rest, ()))
        self.assertEqual(len(before - after), 1)

    def test_local_zone_has_half_but_not_all_of_the_selection(self):
        """A zone may fail entirely, so the rest of the selection is in other zones."""
        peers = self.view.peers("target")
        zones = {peer.address: peer.availability_zone for peer in peers}
        chosen = self.subset().choose(peers, ())
        near = sum(1 for address in chosen if zones[address] == ZONES[0])
        self.assertGreaterEqual(near, COUNT // 2)
        self.assertLess(near, COUNT)

    def test_small_fleet_is_watched_completely(self):
        """In a fleet of a dozen targets a router watches all of them."""
        peers = self.view.peers("target")[:13]
        self.assertEqual(len(self.subset().choose(peers, MODELS)), 13)
