"""Targets that warm up bear few requests, from all routers together."""

from __future__ import annotations

import json
import random
import unittest
from typing import Collection, Iterable

from endivegw.decisions import (
    NO_SENDS,
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Placement,
    Policy,
    SendQuota,
    TargetView,
    WarmUp,
    WorkItem,
    send_quota,
)
from endivegw.platform.configuration import (
    DecodeError,
    decode_configuration,
    decode_target,
)
from endivegw.platform.wire import PlatformWire
from endivegw.routing import WarmUpTimes
from endivegw.types import AvailabilityZone, InstanceId, Priority, TargetName
from endivegw_standins.platform_target import TARGET_ENTRY

ENGINE = "service:engine"

#: What a cold target bears, and the bound of all routers in any second.
RATE_PER_S = 12.0
BOUND = 1.5 * RATE_PER_S + 5


def view(name: str, warm_up: WarmUp | None = None, slots: int = 64) -> TargetView:
    """Return the membership entry of a target."""
    return TargetView(
        TargetName(name),
        InstanceId(name),
        f"{name}:80",
        AvailabilityZone("z"),
        frozenset({ENGINE}),
        slots,
        warm_up=warm_up,
    )


def work(number: int, now_s: float, deadline_s: float = 5.0) -> WorkItem:
    """Return a request that arrives now."""
    return WorkItem(
        f"r-{number}",
        "hotel",
        Priority.NORMAL,
        1.0,
        ENGINE,
        now_s + deadline_s,
        0,
        0,
        now_s,
    )


def max_in_one_second(times_s: Iterable[float]) -> int:
    """Return the largest number of times within any second."""
    ordered = sorted(times_s)
    most = first = 0
    for last, at_s in enumerate(ordered):
        while ordered[first] <= at_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class RouterModel:
    """A dispatcher with a warm target and one that warms up, both of them empty."""

    def __init__(self, vm: str, vms: Collection[str], ends_s: float, seed: int) -> None:
        self.dispatcher = Dispatcher(
            Policy(choices=8), AvailabilityZone("z"), random.Random(seed)
        )
        quota = send_quota(TargetName("cold"), RATE_PER_S, vm, vms)
        self.sends_s: list[float] = []
        self.refused = 0
        self.number = 0
        views = [view("cold", WarmUp(ends_s, quota)), view("warm", slots=4096)]
        self.dispatcher.set_targets(views, 0.0)

    def request(self, now_s: float) -> None:
        """Place, send and end one request."""
        self.number += 1
        item = work(self.number, now_s)
        placement = self.dispatcher.submit(item, now_s)
        assert isinstance(placement, Placement)
        availability = self.dispatcher.availability
        if not availability.start_send(item.request_id, placement.target, now_s):
            self.refused += 1
        elif placement.target == "cold":
            self.sends_s.append(now_s)
        end = AttemptEnd(AttemptKind.CANCELLED)
        self.dispatcher.ended(item.request_id, placement.target, end, now_s)


def play(routers: list[RouterModel], per_s: float, until_s: float, seed: int) -> None:
    """Send requests through random routers."""
    rng = random.Random(seed)
    now_s = 0.0
    while now_s < until_s:
        now_s += rng.expovariate(per_s)
        rng.choice(routers).request(now_s)


def all_sends_s(routers: list[RouterModel], until_s: float) -> list[float]:
    """Return the times of all sends to the target that warmed up."""
    return [at_s for router in routers for at_s in router.sends_s if at_s < until_s]


class QuotaTests(unittest.TestCase):
    """The quotas of all routers add up to the rate."""

    def test_quotas_add_up_to_the_rate_in_fleets_of_any_size(self) -> None:
        """Guards against a herd of routers that each send only a few requests."""
        for count in (1, 2, 4, 5, 11, 12, 26, 300):
            for rate_per_s in (0.4, 1.0, 12.0, 500.0):
                vms = [f"vm-{number}" for number in range(count)]
                quotas = [
                    send_quota(TargetName("t"), rate_per_s, vm, vms) for vm in vms
                ]
                total = sum(quota.sends / quota.window_s for quota in quotas)
                self.assertLessEqual(total, rate_per_s * 1.001, (count, rate_per_s))
                self.assertGreater(total, 0.0)

    def test_targets_have_different_senders(self) -> None:
        """Guards against a few routers that carry every warm-up of a zone."""
        vms = [f"vm-{number}" for number in range(100)]
        senders = {
            vm
            for number in range(100)
            for vm in vms
            if send_quota(TargetName(f"t-{number}"), RATE_PER_S, vm, vms).sends
        }
        self.assertEqual(senders, set(vms))


class SendTests(unittest.TestCase):
    """What reaches a target that warms up, from a whole fleet."""

    def test_an_empty_target_gets_no_more_than_its_rate(self) -> None:
        """Guards against the herd to a target that started empty."""
        for count in (1, 4, 26, 120):
            vms = [f"vm-{number}" for number in range(count)]
            routers = [RouterModel(vm, vms, 3.0, seed) for seed, vm in enumerate(vms)]
            play(routers, 300.0, 5.0, count)
            sends_s = all_sends_s(routers, 3.0)
            self.assertLessEqual(max_in_one_second(sends_s), RATE_PER_S)
            self.assertGreater(len(sends_s), RATE_PER_S)

    def test_routers_that_know_another_fleet_keep_the_bound(self) -> None:
        """Guards against the handover of a sender's part to another router."""
        for seed in range(20):
            rng = random.Random(seed)
            vms = [f"vm-{number}" for number in range(26)]
            joined = [f"new-{number}" for number in range(5)]
            # Half of the routers have not yet heard of those that joined.
            views = [vms if rng.random() < 0.5 else vms + joined for _ in vms]
            routers = [
                RouterModel(vm, known, 3.0, seed) for vm, known in zip(vms, views)
            ]
            routers += [RouterModel(vm, vms + joined, 3.0, seed) for vm in joined]
            play(routers, 300.0, 3.0, seed)
            sends_s = all_sends_s(routers, 3.0)
            self.assertLessEqual(max_in_one_second(sends_s), BOUND)

    def test_requests_that_waited_for_connections_are_not_sent_at_once(self) -> None:
        """Guards against sends that were placed over seconds and leave together."""
        router = RouterModel("vm-0", ["vm-0"], 10.0, 1)
        availability = router.dispatcher.availability
        placed = []
        for number in range(60):
            result = router.dispatcher.submit(work(number, number * 0.1), number * 0.1)
            if isinstance(result, Placement) and result.target == "cold":
                placed.append(result.item.request_id)
        sent = [
            availability.start_send(name, TargetName("cold"), 6.0) for name in placed
        ]
        self.assertGreater(len(placed), 0)
        self.assertLessEqual(sum(sent), RATE_PER_S)

    def test_sends_before_the_warm_up_count(self) -> None:
        """Guards against a full quota right after a target became cold again."""
        dispatcher = Dispatcher(Policy(), AvailabilityZone("z"), random.Random(1))
        dispatcher.set_targets([view("a")], 0.0)
        for number in range(20):
            now_s = 1.0 + number * 0.01
            placement = dispatcher.submit(work(number, now_s), now_s)
            assert isinstance(placement, Placement)
            name = placement.item.request_id
            self.assertTrue(
                dispatcher.availability.start_send(name, placement.target, now_s)
            )
        quota = SendQuota(4, 1.0)
        dispatcher.set_targets([view("a", WarmUp(5.0, quota))], 1.3)
        self.assertGreater(dispatcher.availability.available_in_s(ENGINE, 1.3), 0.5)
        self.assertEqual(dispatcher.availability.available_in_s(ENGINE, 2.5), 0.0)

    def test_a_request_placed_before_the_warm_up_is_held_back(self) -> None:
        """Guards against sends to a target that became cold after the placement."""
        dispatcher = Dispatcher(Policy(), AvailabilityZone("z"), random.Random(1))
        dispatcher.set_targets([view("a")], 0.0)
        self.assertIsInstance(dispatcher.submit(work(1, 0.0), 0.0), Placement)
        dispatcher.set_targets([view("a", WarmUp(5.0, NO_SENDS))], 0.1)
        availability = dispatcher.availability
        self.assertFalse(availability.start_send("r-1", TargetName("a"), 0.2))
        self.assertTrue(availability.start_send("r-1", TargetName("a"), 5.0))


class CallerTests(unittest.TestCase):
    """What callers get while targets warm up."""

    def _dispatcher(self, quota: SendQuota) -> Dispatcher:
        dispatcher = Dispatcher(Policy(), AvailabilityZone("z"), random.Random(1))
        views = [view(name, WarmUp(3.0, quota)) for name in ("a", "b")]
        dispatcher.set_targets(views, 0.0)
        return dispatcher

    def test_callers_are_refused_at_once_until_a_target_is_warm(self) -> None:
        """Guards against requests that wait for targets this router may not use."""
        dispatcher = self._dispatcher(NO_SENDS)
        refused = dispatcher.submit(work(1, 1.0), 1.0)
        self.assertAlmostEqual(refused.retry_after_s, 2.0)
        self.assertIsInstance(dispatcher.submit(work(2, 3.0), 3.0), Placement)

    def test_requests_within_the_quota_are_served(self) -> None:
        """Guards against targets that get no work until they are warm."""
        dispatcher = self._dispatcher(SendQuota(2, 1.0))
        served = 0
        for number in range(20):
            now_s = number * 0.1
            results = [dispatcher.submit(work(number, now_s), now_s)]
            for result in results + dispatcher.poll(now_s):
                if isinstance(result, Placement):
                    served += 1
                    name, target = result.item.request_id, result.target
                    dispatcher.availability.start_send(name, target, now_s)
                    end = AttemptEnd(AttemptKind.OK)
                    dispatcher.ended(name, target, end, now_s)
        self.assertEqual(served, 8)

    def test_a_warm_target_gets_its_share_within_two_seconds(self) -> None:
        """Guards against a target that stays empty after its warm-up."""
        dispatcher = Dispatcher(
            Policy(choices=8), AvailabilityZone("z"), random.Random(1)
        )
        views = [view("a", WarmUp(3.0, NO_SENDS)), view("b", slots=200)]
        dispatcher.set_targets(views, 0.0)
        counts = {"a": 0, "b": 0}
        for number in range(100):
            now_s = number * 0.05
            result = dispatcher.submit(work(number, now_s), now_s)
            assert isinstance(result, Placement)
            counts[result.target] += now_s >= 3.0
        self.assertGreaterEqual(counts["a"], counts["b"])


class TimesTests(unittest.TestCase):
    """Until when a target warms up, by what is known of it."""

    def test_an_older_entry_does_not_end_a_warm_up(self) -> None:
        """Guards against an entry that was written before its target became cold."""
        times = WarmUpTimes()
        times.extend(InstanceId("a"), 5.0)
        times.register(InstanceId("a"), 2.0)
        self.assertEqual(times.ends_s(InstanceId("a")), 5.0)
        times.register(InstanceId("a"), 7.0)
        self.assertEqual(times.ends_s(InstanceId("a")), 7.0)
        times.register(InstanceId("a"), 5.5)
        self.assertEqual(times.ends_s(InstanceId("a")), 5.5)


class DecodingTests(unittest.TestCase):
    """What targets and the configuration state about warm-ups."""

    def _entry(self, cold_ms: object) -> bytes:
        entry = {**TARGET_ENTRY, "Service": "engine", "Zone": "z"}
        entry |= {"Address": "10.0.0.1:80", "ColdRemainingMs": cold_ms}
        return json.dumps(entry).encode()

    def test_a_registered_time_is_read(self) -> None:
        """A negative time means that the warm-up is over."""
        for cold_ms, expected_s in ((1500, 1.5), (0, 0.0), (-20, 0.0), (0.5, 0.0005)):
            target = decode_target("a", self._entry(cold_ms))
            self.assertAlmostEqual(target.warm_up_s, expected_s)

    def test_a_time_that_cannot_be_is_rejected(self) -> None:
        """Guards against a target that would be barred, or not limited, for good."""
        for cold_ms in ("1500", True, None, [], 1e12, float("inf"), float("nan")):
            with self.assertRaises(DecodeError, msg=str(cold_ms)):
                decode_target("a", self._entry(cold_ms))

    def test_an_answer_states_a_warm_up(self) -> None:
        """An answer with an invalid time states none."""
        wire = PlatformWire()

        def warm_up_s(value: bytes, status: int = 200) -> float | None:
            fields = [(b"endivegw-cold-ms", value)]
            return wire.read_answer_fields(status, fields).warm_up_s

        self.assertEqual(warm_up_s(b"2500"), 2.5)
        self.assertEqual(warm_up_s(b"1e300"), 60.0)
        for invalid in (b"", b"soon", b"-3", b"0", b"nan"):
            self.assertIsNone(warm_up_s(invalid))
        self.assertIsNone(warm_up_s(b"2500", status=421))

    def test_services_without_a_rate_need_not_warm_up(self) -> None:
        """A rate of 0 means that no limit applies."""
        services = [
            {"Name": "engine", "ColdPerS": 12.0, "ColdStartS": 3.0},
            {"Name": "plain", "ColdPerS": 0.0, "ColdStartS": 0.0},
            {"Name": "other"},
        ]
        document = {"Version": 1, "Routes": [], "Services": services}
        found = decode_configuration(json.dumps(document).encode()).warm_ups
        self.assertEqual(list(found), ["engine"])
        self.assertEqual(found["engine"].duration_s, 3.0)
        self.assertEqual(found["engine"].rate_per_s, 12.0)


if __name__ == "__main__":
    unittest.main()
