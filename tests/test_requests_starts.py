"""What a sidecar remembers of starts, driven by random orders."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.requests.starts import (
    AnswerGone,
    CannotTell,
    Follow,
    MayStart,
    NeverStarted,
    Offer,
    Started,
    StartLimits,
    StartRegistry,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, ClientAccountName, InstanceId, RequestIdentity

LIMITS = StartLimits(window_s=10.0, window_entries=4)


def registry(instance="s1"):
    return StartRegistry(InstanceId(instance), LIMITS, 0.0)


def offer(attempt="a1", key="k1", *, bound="s1.0", repeatable=False, **changes):
    identity = RequestIdentity(ClientAccountName("lobby"), key)
    digest = changes.pop("digest", b"d")
    return Offer(identity, AttemptId(attempt), digest, repeatable, bound, **changes)


class StartTests(unittest.TestCase):
    def test_second_start_of_an_identity_follows_the_first(self):
        """An order with another attempt id joins what runs already."""
        starts = registry()
        starts.start(offer(), 0.0)
        self.assertEqual(starts.offer(offer("a2"), 0.0), Follow(AttemptId("a1")))

    def test_recorded_start_cannot_be_recorded_again(self):
        """A second start raises before the work is handed to the target."""
        starts = registry()
        starts.start(offer(), 0.0)
        with self.assertRaises(InvariantError):
            starts.start(offer("a2"), 0.0)

    def test_order_of_a_forgotten_window_is_refused(self):
        """
        An order was doubled, and its copy arrives long after the answer and all
        memory of it are gone. The badge is not printed again.
        """
        starts = registry()
        starts.start(offer(), 0.0)
        starts.ended(AttemptId("a1"), whole=True)
        starts.forget_answer(AttemptId("a1"))
        self.assertEqual(starts.offer(offer(), 5.0), AnswerGone())
        starts.offer(offer("b", "other"), 15.0)
        late = starts.offer(offer(), 26.0)
        self.assertEqual(late.reason, Reason.WRONG_INSTANCE)

    def test_cancel_of_a_forgotten_window_tells_nothing(self):
        """
        A cancel comes so late that the sidecar has forgotten whether the
        attempt ran. It does not say that it never started.
        """
        starts = registry()
        starts.start(offer(), 0.0)
        starts.ended(AttemptId("a1"), whole=True)
        starts.forget_answer(AttemptId("a1"))
        self.assertEqual(
            starts.cancel(AttemptId("a1"), "s1.0", 5.0), Started(running=False)
        )
        starts.offer(offer("b", "other"), 15.0)
        self.assertEqual(starts.cancel(AttemptId("a1"), "s1.0", 26.0), CannotTell())

    def test_failed_repeatable_request_starts_anew(self):
        """A repeatable request whose attempt failed may start again."""
        starts = registry()
        starts.start(offer(repeatable=True), 0.0)
        starts.ended(AttemptId("a1"), whole=False)
        again = offer("a2", repeatable=True)
        self.assertEqual(starts.offer(again, 0.0), MayStart())

    def test_failed_request_that_may_not_be_repeated_stays_failed(self):
        """A booking that broke off is not started again by a retry."""
        starts = registry()
        starts.start(offer(), 0.0)
        starts.ended(AttemptId("a1"), whole=False)
        self.assertEqual(starts.offer(offer("a2"), 0.0), Follow(AttemptId("a1")))

    def test_memory_is_bounded(self):
        """However many orders come, two windows of them are remembered."""
        starts = registry()
        for number in range(1000):
            bound = starts.incarnation
            order = offer(f"a{number}", f"k{number}", bound=bound)
            if starts.offer(order, 0.0) == MayStart():
                starts.start(order, 0.0)
                starts.ended(order.attempt_id, whole=True)
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
    def test_no_key_starts_twice_and_no_bar_is_untrue(self, actions):
        """
        Orders are doubled, late and reordered with cancels and ends. A key that
        may not be repeated starts once at most, and an attempt that was called
        never started does not start before or after.
        """
        starts = registry()
        begun, barred, now_s = {}, set(), 0.0
        # Attempts keep the incarnation of their making, as late orders do.
        made = {}
        for kind, number, key, wait_s in actions:
            now_s += wait_s
            attempt = AttemptId(f"a{number}-{key}")
            bound = made.setdefault(attempt, starts.incarnation)
            order = offer(attempt, f"k{key}", bound=bound)
            if kind == "order" and starts.offer(order, now_s) == MayStart():
                starts.start(order, now_s)
                self.assertNotIn(attempt, barred)
                window = int(starts.incarnation.rpartition(".")[2])
                begun.setdefault(f"k{key}", {})[attempt] = window
            elif kind == "cancel":
                if starts.cancel(attempt, bound, now_s) == NeverStarted():
                    barred.add(attempt)
            elif kind in ("end", "fail"):
                starts.ended(attempt, whole=kind == "end")
            elif kind == "forget":
                record = starts._record(attempt)
                if record is not None and record.state.name != "RUNNING":
                    starts.forget_answer(attempt)
            elif kind == "deny":
                record = starts._record(attempt)
                if record is not None and record.state.name == "RUNNING":
                    starts.never_began(attempt)
                    del begun[f"k{key}"][attempt]
                    barred.add(attempt)
        everyone = {attempt for attempts in begun.values() for attempt in attempts}
        self.assertEqual(everyone & barred, set())
        for attempts in begun.values():
            # What is older than two windows is the claim's matter alone.
            windows = sorted(attempts.values())
            gaps = [later - first for first, later in zip(windows, windows[1:])]
            self.assertTrue(all(gap >= 2 for gap in gaps), attempts)


class RefusalKindTests(unittest.TestCase):
    def test_another_body_is_a_conflict_also_after_the_answer_is_gone(self):
        """A spent key with another body is a conflict, not a lost answer."""
        starts = registry()
        starts.start(offer(), 0.0)
        starts.ended(AttemptId("a1"), whole=True)
        starts.forget_answer(AttemptId("a1"))
        answer = starts.offer(offer("a2", digest=b"other"), 0.0)
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.reason, Reason.KEY_CONFLICT)
