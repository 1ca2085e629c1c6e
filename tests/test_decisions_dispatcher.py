"""Decisions of a single router, step by step."""

import random
import unittest

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Expired,
    LoadFigures,
    Placement,
    Policy,
    Queued,
    RetryBudget,
    RetryPolicy,
    TargetView,
    WorkItem,
    backoff_s,
)
from endivegw.results import Reason, Refused
from endivegw.targets import CacheChange
from endivegw.types import Priority

OK = AttemptEnd(AttemptKind.OK, 100, 50)
FAILED = AttemptEnd(AttemptKind.FAILED)


def item(name, now_s=0.0, deadline_s=60.0, **changes):
    """Return a small request for a model."""
    fields = {
        "request_id": name,
        "client_account": "lobby",
        "priority": Priority.NORMAL,
        "weight": 1.0,
        "model": "badge",
        "deadline_s": now_s + deadline_s,
        "prompt_tokens": 100,
        "output_tokens": 100,
        "arrived_s": now_s,
    }
    return WorkItem(**{**fields, **changes})


def view(name, slots=2, draining=False, models=("badge",), zone="a", instance="1"):
    """Return the membership entry of one target."""
    address = f"10.0.0.1:{name}"
    return TargetView(name, instance, address, zone, frozenset(models), slots, draining)


def dispatcher(*views, policy=Policy(), zone="a"):
    """Return a dispatcher with these targets."""
    router = Dispatcher(policy, zone, random.Random(5))
    router.set_targets(views, 0.0)
    return router


class PlacementTests(unittest.TestCase):
    def test_requests_go_to_the_least_loaded_target(self):
        """Local requests count towards a target's load before any report."""
        router = dispatcher(view("t1"), view("t2"))
        first = router.submit(item("r1"), 0.0)
        second = router.submit(item("r2"), 0.0)
        self.assertEqual({first.target, second.target}, {"t1", "t2"})

    def test_an_excluded_target_is_not_tried_again(self):
        """A retry goes to another target or is queued, never to an excluded one."""
        router = dispatcher(view("t1"), view("t2"))
        for number in range(2):
            again = item(f"r{number}", excluded=frozenset({"t1"}))
            self.assertEqual(router.submit(again, 0.0).target, "t2")
        third = router.submit(item("r3", excluded=frozenset({"t1"})), 0.0)
        self.assertIsInstance(third, Queued)

    def test_local_requests_are_not_counted_twice(self):
        """Local requests included in a report are not counted again.

        Reports are a second old. If a router added its own requests to all that are
        reported, each would count twice and half of the slots would stay idle.
        """
        router = dispatcher(view("t1", slots=4))
        for number in range(3):
            self.assertIsInstance(router.submit(item(f"r{number}"), 0.0), Placement)
        router.report("t1", LoadFigures(3, 0, 4, 50.0, 0.5), 1.0)
        self.assertIsInstance(router.submit(item("r3", 1.0), 1.0), Placement)

    def test_requests_of_other_routers_take_slots(self):
        """A target that other routers filled gets none of this router's requests."""
        router = dispatcher(view("t1"), view("t2"))
        router.report("t1", LoadFigures(2, 3, 2, 50.0, 0.0), 0.0)
        router.report("t2", LoadFigures(0, 0, 2, 0.0, 0.0), 0.0)
        self.assertEqual(router.submit(item("r1"), 0.0).target, "t2")

    def test_report_of_a_models_only_target_while_draining(self):
        """The only target of a model drains and reports its load.

        A target that was just started does so. Requests for the model are refused until
        the target accepts them again, and the router keeps running.
        """
        router = dispatcher(view("t1", draining=True))
        figures = LoadFigures(0, 0, 2, 0.0, 0.0)
        router.report("t1", figures, 0.0)
        router.report("t1", figures, 1.0)
        refused = router.submit(item("r1", 1.0), 1.0)
        self.assertEqual(refused.reason, Reason.NO_TARGET)
        router.set_targets([view("t1")], 2.0)
        self.assertEqual(router.submit(item("r2", 2.0), 2.0).target, "t1")

    def test_a_prompt_goes_where_its_prefix_is_cached(self):
        """A cache event attracts prompts with that prefix to its target."""
        targets = [view(f"t{n}", slots=8) for n in range(8)]
        router = dispatcher(*targets)
        changes = (CacheChange(1, b"p1", False), CacheChange(2, b"p2", False))
        figures = LoadFigures(0, 0, 8, 0.0, 0.0, sequence=2, cache_changes=changes)
        router.report("t5", figures, 0.0)
        prompt = item("r1", prompt_tokens=600, prefix_digests=(b"p1", b"p2"))
        placement = router.submit(prompt, 0.0)
        self.assertEqual((placement.target, placement.why), ("t5", "prefix-cache"))
        self.assertEqual(placement.figures.cached_tokens, 512)

    def test_entries_from_before_lost_events_count_half(self):
        """Lost events halve the value of older entries; an eviction removes them."""
        router = dispatcher(view("t1", slots=8))
        addition = LoadFigures(
            0, 0, 8, 0, 0.0, (), 1, (CacheChange(1, b"p1", False),), False
        )
        router.report("t1", addition, 0.0)
        router.report("t1", LoadFigures(0, 0, 8, 0.0, 0.0, (), 9), 2.0)
        prompt = item("r1", 2.0, prompt_tokens=600, prefix_digests=(b"p1",))
        self.assertEqual(router.submit(prompt, 2.0).figures.cached_tokens, 128)
        evictions = (CacheChange(10, b"p1", True),)
        router.report("t1", LoadFigures(0, 0, 8, 0.0, 0.0, (), 10, evictions), 4.0)
        prompt = item("r2", 4.0, prompt_tokens=600, prefix_digests=(b"p1",))
        self.assertEqual(router.submit(prompt, 4.0).figures.cached_tokens, 0)

    def test_only_targets_that_loaded_the_model_get_its_work(self):
        """A target gets no requests for a model before the model is loaded."""
        router = dispatcher(view("t1"), view("t2"))
        router.report("t1", LoadFigures(0, 0, 2, 0.0, 0.0, ("plan",)), 0.0)
        router.report("t2", LoadFigures(0, 0, 2, 0.0, 0.0, ("badge",)), 0.0)
        self.assertEqual(router.submit(item("r1"), 0.0).target, "t2")
        self.assertEqual(router.submit(item("r2"), 0.0).target, "t2")


class DrainTests(unittest.TestCase):
    def test_queued_work_moves_when_a_target_drains(self):
        """A draining target gets no new requests; queued ones are placed elsewhere."""
        router = dispatcher(view("t1", slots=1), view("t2", slots=1))
        first = router.submit(item("r1"), 0.0)
        router.submit(item("r2"), 0.0)
        self.assertIsInstance(router.submit(item("r3"), 0.0), Queued)
        leaving = first.target
        views = [view(n, slots=1, draining=n == leaving) for n in ("t1", "t2")]
        router.set_targets(views, 1.0)
        router.ended("r1", leaving, OK, 1.0)
        self.assertEqual(router.poll(1.0), [])
        other = "t2" if leaving == "t1" else "t1"
        router.ended("r2", other, OK, 2.0)
        placed = router.poll(2.0)
        self.assertEqual(
            [(p.item.request_id, p.target) for p in placed], [("r3", other)]
        )

    def test_queued_work_stays_when_targets_change_their_models(self):
        """Loading a second model on a target loses no queued request and no slot."""
        router = dispatcher(view("t1", slots=1), view("t2", 1, models=("plan",)))
        self.assertIsInstance(router.submit(item("r1"), 0.0), Placement)
        for name in ("r2", "r3"):
            self.assertIsInstance(router.submit(item(name), 0.0), Queued)
        both = ("badge", "plan")
        router.set_targets([view("t1", 1), view("t2", 1, models=both)], 1.0)
        placed = router.poll(1.0)
        self.assertEqual([p.item.request_id for p in placed], ["r2"])
        router.ended("r1", "t1", OK, 2.0)
        placed = router.poll(2.0)
        self.assertEqual([p.item.request_id for p in placed], ["r3"])
        self.assertIsNone(router.next_poll_s(2.0))

    def test_a_restarted_target_starts_empty(self):
        """Requests on a former instance take no slot of the new one."""
        router = dispatcher(view("t1", slots=1))
        router.submit(item("r1"), 0.0)
        router.set_targets([view("t1", slots=1, instance="2")], 1.0)
        placement = router.submit(item("r2"), 1.0)
        self.assertEqual(placement.instance_id, "2")
        router.ended("r1", "t1", FAILED, 1.5)
        self.assertIsInstance(router.submit(item("r3"), 1.5), Queued)

    def test_a_draining_report_stops_new_work(self):
        """A target's own report that it drains takes precedence over membership."""
        router = dispatcher(view("t1"), view("t2"))
        router.report("t1", LoadFigures(0, 0, 2, 0.0, 0.0, draining=True), 0.0)
        for number in range(2):
            self.assertEqual(router.submit(item(f"r{number}"), 0.0).target, "t2")

    def test_a_report_of_a_target_that_was_draining_when_first_seen(self):
        """A router that starts while a target drains accepts its reports."""
        router = dispatcher(view("t1", draining=True))
        router.report("t1", LoadFigures(1, 0, 2, 5.0, 0.1, ("badge",)), 0.5)
        self.assertEqual(router.submit(item("r1"), 1.0).reason, Reason.NO_TARGET)

    def test_an_attempt_without_a_reported_end_releases_its_slot(self):
        """The slot of an attempt without a reported end is released.

        A caller disconnects while its request is being placed, and the end of the
        attempt is never reported. The router would count the attempt until it is
        restarted and place fewer and fewer requests on that target.
        """
        router = dispatcher(view("t1", slots=1))
        self.assertIsInstance(router.submit(item("r1", deadline_s=5.0), 0.0), Placement)
        self.assertIsInstance(router.submit(item("r2", 20.0), 20.0), Queued)
        router.cancel("r2", 21.0)
        router.poll(40.0)
        self.assertIsInstance(router.submit(item("r3", 40.0), 40.0), Placement)

    def test_requests_without_a_target_are_refused(self):
        """Requests that no target serves are refused and not queued."""
        router = dispatcher(view("t1", draining=True))
        refused = router.submit(item("r1"), 0.0)
        self.assertEqual(refused.reason, Reason.NO_TARGET)


class QueueTests(unittest.TestCase):
    def full(self, **policy):
        """Return a dispatcher whose only slot is taken."""
        router = dispatcher(view("t1", slots=1), policy=Policy(**policy))
        self.assertIsInstance(router.submit(item("r0"), 0.0), Placement)
        return router

    def served(self, router, now_s=1.0):
        """Return the order in which queued requests are served."""
        order = []
        running = "r0"
        while True:
            router.ended(running, "t1", OK, now_s)
            placed = [d for d in router.poll(now_s) if isinstance(d, Placement)]
            if not placed:
                return order
            running = placed[0].item.request_id
            order.append(running)

    def test_urgent_work_goes_first_and_batch_last(self):
        """Priorities are strict, regardless of the order of arrival."""
        router = self.full(urgent_overfill=0.0)
        for name, priority in (
            ("b", Priority.BATCH),
            ("n", Priority.NORMAL),
            ("u", Priority.URGENT),
        ):
            queued = router.submit(item(name, deadline_s=600.0, priority=priority), 0.0)
            self.assertIsInstance(queued, Queued)
        self.assertEqual(self.served(router), ["u", "n", "b"])

    def test_a_large_account_leaves_others_their_share(self):
        """A small account's two requests do not wait for a large account's thirty."""
        router = self.full(share_tolerance_s=10.0)
        for number in range(30):
            large = item(f"l{number}", deadline_s=900.0, client_account="large")
            router.submit(large, 0.0)
        for number in range(2):
            small = item(f"s{number}", deadline_s=950.0, client_account="small")
            router.submit(small, 0.0)
        order = self.served(router)
        self.assertEqual(len(order), 32)
        # The tolerance of ten slot-seconds is about ten of these requests.
        self.assertLess(order.index("s1"), 16)

    def test_work_that_cannot_end_in_time_is_refused_at_once(self):
        """A refusal states after which time the wait would be short enough."""
        router = self.full()
        for number in range(10):
            router.submit(item(f"q{number}", deadline_s=600.0), 0.0)
        first = router.submit(item("x", deadline_s=8.0, client_account="x"), 0.0)
        self.assertIsInstance(first, Queued)
        refused = first
        for number in range(10):
            if isinstance(refused, Refused):
                break
            again = item(f"x{number}", deadline_s=8.0, client_account="x")
            refused = router.submit(again, 0.0)
        self.assertEqual(refused.reason, Reason.OVERLOADED)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertLess(refused.retry_after_s, 60.0)

    def test_a_deadline_too_short_for_any_target_has_no_retry_time(self):
        """A refusal has no retry time if the same request would be refused again."""
        router = self.full()
        refused = router.submit(item("r1", deadline_s=0.2), 0.0)
        self.assertEqual(refused.reason, Reason.DEADLINE)
        self.assertIsNone(refused.retry_after_s)

    def test_queued_requests_that_became_late_expire(self):
        """A request that became late is answered at the next poll.

        The only target stops finishing requests. The queue would hold its callers until
        their deadlines, when it is too late for them to react.
        """
        router = self.full()
        self.assertIsInstance(router.submit(item("r1", deadline_s=10.0), 0.0), Queued)
        expired_s = None
        now_s = 0.0
        while expired_s is None and now_s < 10.0:
            now_s = max(now_s + 0.001, router.next_poll_s(now_s))
            for decided in router.poll(now_s):
                self.assertIsInstance(decided, Expired)
                expired_s = now_s
        self.assertLess(expired_s, 9.5)
        self.assertIsNone(router.next_poll_s(now_s))

    def test_a_cancelled_request_leaves_the_queue(self):
        """A request whose caller disconnected is not placed."""
        router = self.full()
        router.submit(item("r1"), 0.0)
        router.cancel("r1", 0.5)
        self.assertEqual(self.served(router), [])

    def test_the_queue_is_bounded(self):
        """A request of the largest account is evicted when the queue is full."""
        router = self.full(queue_items=8)
        for number in range(8):
            large = item(f"l{number}", deadline_s=900.0, client_account="large")
            self.assertIsInstance(router.submit(large, 0.0), Queued)
        more = router.submit(item("l8", deadline_s=900.0, client_account="large"), 0.0)
        self.assertIsInstance(more, Refused)
        small = item("s0", deadline_s=900.0, client_account="small")
        self.assertIsInstance(router.submit(small, 0.0), Queued)
        evicted = router.poll(0.0)
        self.assertEqual([type(d) for d in evicted], [Expired])
        self.assertEqual(evicted[0].item.client_account, "large")
        self.assertEqual(router.poll(0.0), [])

    def test_a_long_request_is_evicted_for_short_ones_of_its_account(self):
        """The longer request is evicted if not both can finish in time."""
        router = self.full()
        long = item("long", deadline_s=20.0, output_tokens=800)
        self.assertIsInstance(router.submit(long, 0.0), Queued)
        other = item("other", deadline_s=20.0, client_account="other")
        self.assertIsInstance(router.submit(other, 0.0), Queued)
        short = item("short", deadline_s=12.0)
        self.assertIsInstance(router.submit(short, 0.0), Queued)
        evicted = router.poll(0.0)
        self.assertEqual([d.item.request_id for d in evicted], ["long"])
        self.assertGreater(evicted[0].retry_after_s, 0.0)
        self.assertEqual(set(self.served(router)), {"short", "other"})


class HealthTests(unittest.TestCase):
    def run_with_failures(self, failing, targets=8, requests=200):
        """Send requests to targets some of which fail immediately."""
        router = dispatcher(*(view(f"t{n}", slots=8) for n in range(targets)))
        targets_used = []
        for number in range(requests):
            now_s = number * 0.05
            name = f"r{number}"
            placement = router.submit(item(name, now_s), now_s)
            targets_used.append(placement.target)
            end = FAILED if placement.target in failing else OK
            router.ended(name, placement.target, end, now_s + 0.01)
            router.poll(now_s + 0.01)
        return targets_used

    def test_a_target_that_fails_fast_loses_its_work_but_not_its_probes(self):
        """A target that fails each request is shed but still probed.

        A broken engine fails each request within milliseconds and looks like the least
        loaded target of all. Without detection most callers of the fleet see failures.
        """
        targets_used = self.run_with_failures({"t3"})
        self.assertLess(targets_used[:100].count("t3"), 20)
        self.assertLess(targets_used[100:].count("t3"), 12)
        self.assertGreater(targets_used[100:].count("t3"), 0)

    def test_most_targets_are_never_shed_at_once(self):
        """With six of eight targets failing, at most a third are avoided.

        An error that affects all targets, such as a bad adapter, must not move the
        whole load onto two of them.
        """
        targets_used = self.run_with_failures({f"t{n}" for n in range(6)})
        self.assertGreater(sum(t not in ("t6", "t7") for t in targets_used[100:]), 40)

    def test_frozen_reports_are_not_trusted(self):
        """A report that does not change while requests come and go is not trusted.

        The sidecar of a target keeps reporting its last figures. Each router sees an
        idle target there and sends it everything.
        """
        with_frozen_reports = self.share_with_frozen_reports(
            Policy(choices=3, frozen_reports=1_000_000)
        )
        with_detection = self.share_with_frozen_reports(Policy(choices=3))
        self.assertGreater(with_frozen_reports, 0.9)
        self.assertLess(with_detection, 0.6)

    def share_with_frozen_reports(self, policy):
        """Return the share of requests placed on a target with frozen reports."""
        views = [view(f"t{number}", slots=8) for number in range(3)]
        router = dispatcher(*views, policy=policy)
        frozen = LoadFigures(0, 0, 8, 10.0, 0.0, sequence=7)
        targets_used = []
        for number in range(60):
            now_s = number * 0.5
            router.report("t0", frozen, now_s)
            for step, other in enumerate(("t1", "t2")):
                running = 3 + (number + step) % 3
                changing = LoadFigures(running, 0, 8, 32.0 * running, 0.0)
                router.report(other, changing, now_s)
            placement = router.submit(item(f"r{number}", now_s), now_s)
            targets_used.append(placement.target)
            router.ended(f"r{number}", placement.target, OK, now_s + 0.4)
        return targets_used[20:].count("t0") / 40


class RetryTests(unittest.TestCase):
    def test_retries_are_a_share_of_traffic(self):
        """A failed rack raises the load by a tenth and does not multiply it."""
        budget = RetryBudget(RetryPolicy(share=0.1, burst=5.0))
        allowed = 0
        for number in range(1000):
            budget.first_attempt(number * 0.01)
            allowed += budget.may_retry(number * 0.01) is True
        self.assertLessEqual(allowed, 105)
        self.assertGreaterEqual(allowed, 95)
        self.assertEqual(budget.may_retry(10.0).reason, Reason.OVERLOADED)

    def test_waits_grow_and_spread_and_stay_inside_the_deadline(self):
        """No retry starts when it can no longer finish in time."""
        rng = random.Random(3)
        policy = RetryPolicy()
        first = [backoff_s(policy, 1, 0.0, 60.0, 1.0, rng) for _ in range(200)]
        fourth = [backoff_s(policy, 4, 0.0, 60.0, 1.0, rng) for _ in range(200)]
        self.assertLessEqual(max(first), policy.base_s)
        self.assertGreater(sum(fourth), 4 * sum(first))
        self.assertGreater(len(set(first)), 190)
        self.assertIsNone(backoff_s(policy, 1, 9.5, 10.0, 1.0, rng))
        tight = [backoff_s(policy, 6, 9.0, 10.0, 0.9, rng) for _ in range(50)]
        self.assertLessEqual(max(tight), 0.1 + 1e-9)
