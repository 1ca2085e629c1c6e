"""The start registry of a sidecar, with fixed and random orders."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.requests.starts import (
    AnswerDiscarded,
    CannotTell,
    JoinAttempt,
    MayStart,
    NeverStarted,
    Started,
    StartLimits,
    StartOrder,
    StartRegistry,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, ClientAccountName, InstanceId, RequestIdentity

LIMITS = StartLimits(window_s=10.0, window_entries=4)


def registry(instance="s1"):
    return StartRegistry(InstanceId(instance), LIMITS, 0.0)


def start_order(attempt="a1", key="k1", *, bound="s1.0", repeatable=False, **changes):
    identity = RequestIdentity(ClientAccountName("lobby"), key)
    digest = changes.pop("digest", b"d")
    return StartOrder(
        identity, AttemptId(attempt), digest, repeatable, bound, **changes
    )


class StartTests(unittest.TestCase):
    def test_second_start_of_an_identity_follows_the_first(self):
        """An order with another attempt id joins the running attempt."""
        starts = registry()
        starts.start(start_order(), 0.0)
        self.assertEqual(
            starts.decide(start_order("a2"), 0.0), JoinAttempt(AttemptId("a1"))
        )

    def test_recorded_start_cannot_be_recorded_again(self):
        """Recording a second start raises before the work is handed to the target."""
        starts = registry()
        starts.start(start_order(), 0.0)
        with self.assertRaises(InvariantError):
            starts.start(start_order("a2"), 0.0)

    def test_order_of_a_discarded_window_is_refused(self):
        """
        Guards against a second run when the copy of a duplicated order arrives after
        the answer and the record of the start have been discarded.
        """
        starts = registry()
        starts.start(start_order(), 0.0)
        starts.ended(AttemptId("a1"), complete=True)
        starts.forget_answer(AttemptId("a1"))
        self.assertEqual(starts.decide(start_order(), 5.0), AnswerDiscarded())
        starts.decide(start_order("b", "other"), 15.0)
        late = starts.decide(start_order(), 26.0)
        self.assertEqual(late.reason, Reason.WRONG_INSTANCE)

    def test_cancel_of_a_discarded_window_is_inconclusive(self):
        """
        Guards against a false *never started* when a cancel arrives after the sidecar
        has discarded the record of the attempt.
        """
        starts = registry()
        starts.start(start_order(), 0.0)
        starts.ended(AttemptId("a1"), complete=True)
        starts.forget_answer(AttemptId("a1"))
        self.assertEqual(
            starts.cancel(AttemptId("a1"), "s1.0", 5.0), Started(running=False)
        )
        starts.decide(start_order("b", "other"), 15.0)
        self.assertEqual(starts.cancel(AttemptId("a1"), "s1.0", 26.0), CannotTell())

    def test_failed_repeatable_request_may_start_again(self):
        """A repeatable request whose attempt failed may start again."""
        starts = registry()
        starts.start(start_order(repeatable=True), 0.0)
        starts.ended(AttemptId("a1"), complete=False)
        retry = start_order("a2", repeatable=True)
        self.assertEqual(starts.decide(retry, 0.0), MayStart())

    def test_failed_non_repeatable_request_stays_failed(self):
        """A retry does not restart a non-repeatable request that failed."""
        starts = registry()
        starts.start(start_order(), 0.0)
        starts.ended(AttemptId("a1"), complete=False)
        self.assertEqual(
            starts.decide(start_order("a2"), 0.0), JoinAttempt(AttemptId("a1"))
        )

    def test_memory_is_bounded(self):
        """The registry holds two windows of records for any number of orders."""
        starts = registry()
        for number in range(1000):
            bound = starts.incarnation
            order = start_order(f"a{number}", f"k{number}", bound=bound)
            if starts.decide(order, 0.0) == MayStart():
                starts.start(order, 0.0)
                starts.ended(order.attempt_id, complete=True)
                starts.forget_answer(order.attempt_id)
        windows = starts._windows()
        self.assertLessEqual(sum(window.entries for window in windows), 8)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["order", "order", "cancel", "end", "fail", "forget", "deny"]),
        st.integers(0, 5),
        st.integers(0, 2),
        st.sampled_from([0.0, 0.0, 3.0, 11.0]),
    ),
    max_size=60,
)


class RandomOrderTests(unittest.TestCase):
    @seed(20261202)
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(ACTIONS)
    def test_no_key_starts_twice_and_no_barred_attempt_starts(self, actions):
        """
        Orders are duplicated, delayed and reordered with cancels and endings. A
        non-repeatable key starts at most once, and an attempt reported as never
        started does not start before or after the report.
        """
        starts = registry()
        started, barred, now_s = {}, set(), 0.0
        # An attempt stays bound to the incarnation at its creation, as late orders do.
        bindings = {}
        for kind, number, key, wait_s in actions:
            now_s += wait_s
            attempt = AttemptId(f"a{number}-{key}")
            bound = bindings.setdefault(attempt, starts.incarnation)
            order = start_order(attempt, f"k{key}", bound=bound)
            if kind == "order" and starts.decide(order, now_s) == MayStart():
                starts.start(order, now_s)
                self.assertNotIn(attempt, barred)
                window = int(starts.incarnation.rpartition(".")[2])
                started.setdefault(f"k{key}", {})[attempt] = window
            elif kind == "cancel":
                if starts.cancel(attempt, bound, now_s) == NeverStarted():
                    barred.add(attempt)
            elif kind in ("end", "fail"):
                starts.ended(attempt, complete=kind == "end")
            elif kind == "forget":
                record = starts._record(attempt)
                if record is not None and record.state.name != "RUNNING":
                    starts.forget_answer(attempt)
            elif kind == "deny":
                record = starts._record(attempt)
                if record is not None and record.state.name == "RUNNING":
                    starts.record_never_started(attempt)
                    del started[f"k{key}"][attempt]
                    barred.add(attempt)
        all_started = {attempt for attempts in started.values() for attempt in attempts}
        self.assertEqual(all_started & barred, set())
        for attempts in started.values():
            # Beyond two windows only the claim prevents a second start.
            windows = sorted(attempts.values())
            gaps = [later - first for first, later in zip(windows, windows[1:])]
            self.assertTrue(all(gap >= 2 for gap in gaps), attempts)


class RefusalKindTests(unittest.TestCase):
    def test_another_body_is_a_conflict_after_the_answer_was_discarded(self):
        """A used key with a different body is a conflict, not a lost answer."""
        starts = registry()
        starts.start(start_order(), 0.0)
        starts.ended(AttemptId("a1"), complete=True)
        starts.forget_answer(AttemptId("a1"))
        answer = starts.decide(start_order("a2", digest=b"other"), 0.0)
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.reason, Reason.KEY_CONFLICT)
