"""The state machine of one request, against everything that can go wrong."""

import random
import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.decisions.retry import RetryBudget, RetryPolicy
from endivegw.exceptions import InvariantError
from endivegw.requests.attempt_limits import AttemptLimits
from endivegw.requests.attempts import RequestMachine
from endivegw.requests.claims import CannotTell, Claim, Existing, Granted
from endivegw.requests.steps import (
    AskClaim,
    CancelAttempt,
    Finish,
    HandOver,
    Pause,
    Place,
    RequestFacts,
)
from endivegw.results import Reason, Refused
from endivegw.types import (
    AttemptId,
    ClientAccountName,
    Outcome,
    RequestIdentity,
    TargetName,
    Usage,
)

IDENTITY = RequestIdentity(ClientAccountName("lobby"), "k1")
DRAINING = Refused(Reason.DRAINING)
TARGET = TargetName("t1")


def machine(*, repeatable=False, keyed=True, streams=True):
    numbers = iter(range(100))
    return RequestMachine(
        RequestFacts(IDENTITY, b"d", keyed, repeatable, 100.0, streams),
        AttemptLimits(),
        RetryPolicy(),
        RetryBudget(),
        random.Random(1),
        lambda: AttemptId(f"a{next(numbers)}"),
    )


def handed_over(request):
    """Bring a request to its first order."""
    request.begin(0.0)
    step = request.placed(TARGET, "i.0", 0.0)
    if isinstance(step, AskClaim):
        step = request.claim_answered(Granted(True), 0.0)
    assert isinstance(step, HandOver)
    request.handed_over()
    return step


class EndingTests(unittest.TestCase):
    def ended(self, step, outcome, reason=None):
        self.assertIsInstance(step, Finish)
        self.assertIs(step.ending.outcome, outcome)
        self.assertIs(step.ending.reason, reason)

    def test_no_key_is_refused_as_not_run(self):
        """A request that may not be repeated and has no key does not run."""
        step = machine(keyed=False).begin(0.0)
        self.ended(step, Outcome.NOT_RUN, Reason.KEY_REQUIRED)

    def test_lost_stream_is_resumed_where_it_broke(self):
        """
        The connection to the sidecar breaks in the middle of an answer. The
        router reads on from the byte that is missing.
        """
        request = machine()
        handed_over(request)
        request.head(AttemptId("a0"), False, 0.0)
        request.data(AttemptId("a0"), 0, b"half", 0.0)
        self.assertIsInstance(request.lost(delivered=True, now_s=0.0), Pause)
        step = request.paused(0.1)
        self.assertEqual(step.resume_offset_bytes, 4)
        request.head(AttemptId("a0"), True, 0.0)
        request.data(AttemptId("a0"), 4, b"rest", 0.2)
        step = request.ended(AttemptId("a0"), 8, Usage(1, 2), 0.2)
        self.ended(step, Outcome.ANSWERED)

    def test_refusal_after_a_broken_order_is_no_proof(self):
        """
        An order's connection broke, and the second try is refused. The first
        order can still be under way, so the attempt is barred before the
        request goes elsewhere.
        """
        request = machine()
        handed_over(request)
        request.lost(delivered=True, now_s=0.0)
        request.paused(0.1)
        request.handed_over()
        step = request.refused(DRAINING, 0.1)
        self.assertEqual(step, CancelAttempt(AttemptId("a0"), TARGET, "i.0", True))
        step = request.cancelled(
            never_started=True, running=False, ended=False, usage=Usage(), now_s=0.2
        )
        self.assertIsInstance(step, Place)

    def test_restarted_sidecar_leaves_the_outcome_unknown(self):
        """
        A sidecar restarts after it was sent a booking. It refuses the second
        order, but the first may have run: the caller is not told otherwise.
        """
        request = machine()
        handed_over(request)
        request.lost(delivered=True, now_s=0.0)
        request.paused(0.1)
        step = request.refused(Refused(Reason.WRONG_INSTANCE), 0.1)
        self.ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)

    def test_answer_that_nobody_holds_is_not_asked_for_for_ever(self):
        """
        A sidecar was replaced, and its successor learns from the engine that
        the attempt has ended. Its answer is lost. A caller whose request may be
        repeated gets it from another target at once, and one whose request may
        not be hears at once that it is unknown.
        """
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                request = machine(repeatable=repeatable)
                handed_over(request)
                request.lost(delivered=True, now_s=0.0)
                request.paused(0.1)
                request.handed_over()
                missing = Refused(Reason.NOT_FOUND)
                self.assertIsInstance(request.refused(missing, 0.1), CancelAttempt)
                join = request.cancelled(
                    never_started=False,
                    running=False,
                    ended=True,
                    usage=Usage(3, 1),
                    now_s=0.2,
                )
                self.assertIs(join.join_only, True)
                request.handed_over()
                step = request.refused(missing, 0.2)
                if repeatable:
                    self.assertIsInstance(step, Place)
                else:
                    self.ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)

    def test_deadline_before_the_hand_over_is_not_run(self):
        """The deadline passes in the queue; nothing was handed over."""
        request = machine(repeatable=True, keyed=False)
        request.begin(0.0)
        self.ended(
            request.stop(Reason.DEADLINE, 100.0), Outcome.NOT_RUN, Reason.DEADLINE
        )

    def test_deadline_after_the_hand_over_asks_before_it_speaks(self):
        """The deadline passes while it runs; only a bar makes it *not run*."""
        for never_started in (True, False):
            request = machine()
            handed_over(request)
            self.assertIsInstance(request.stop(Reason.DEADLINE, 100.0), CancelAttempt)
            step = request.cancelled(
                never_started=never_started,
                running=False,
                ended=not never_started,
                usage=Usage(1, 1),
                now_s=100.1,
            )
            outcome = Outcome.NOT_RUN if never_started else Outcome.UNKNOWN
            self.ended(step, outcome, Reason.DEADLINE)

    def test_caller_gone_leaves_a_booking_running(self):
        """
        A kiosk's connection drops while its badge is printed. The attempt goes
        on, so that the retry with the same key gets the answer.
        """
        request = machine()
        handed_over(request)
        step = request.stop(Reason.CANCELLED, 1.0)
        self.ended(step, Outcome.UNKNOWN, Reason.CANCELLED)

    def test_caller_gone_frees_what_can_be_repeated(self):
        """A caller hangs up on a draft; the engine is freed for others."""
        request = machine(repeatable=True, keyed=False)
        handed_over(request)
        step = request.stop(Reason.CANCELLED, 1.0)
        self.assertEqual(step, CancelAttempt(AttemptId("a0"), TARGET, "i.0", False))

    def test_repeatable_request_is_retried_elsewhere_until_bytes_are_out(self):
        """
        A target dies. A draft of which the caller has seen nothing is made
        elsewhere; one that it has seen in part ends in an explicit error.
        """
        request = machine(repeatable=True, keyed=False)
        handed_over(request)
        step = request.failed(
            AttemptId("a0"), Reason.TARGET_FAILED, "", Usage(), True, 0.0
        )
        self.assertEqual(step, Place(frozenset({TARGET})))
        request = machine(repeatable=True, keyed=False)
        handed_over(request)
        request.head(AttemptId("a0"), False, 0.0)
        request.data(AttemptId("a0"), 0, b"half", 0.0)
        step = request.failed(
            AttemptId("a0"), Reason.TARGET_FAILED, "", Usage(), True, 0.0
        )
        self.ended(step, Outcome.UNKNOWN, Reason.TARGET_FAILED)
        self.assertIs(step.ending.cut, True)

    def test_retry_budget_bounds_retries(self):
        """
        Many targets fail at once. Beyond its share of retries a router stops
        adding to the load, and says that it does not know.
        """
        request = machine(repeatable=True, keyed=False)
        while request.retries.may_retry(0.0) is True:
            pass
        handed_over(request)
        step = request.failed(
            AttemptId("a0"), Reason.TARGET_FAILED, "", Usage(), True, 0.0
        )
        self.ended(step, Outcome.UNKNOWN, Reason.TARGET_FAILED)

    def test_key_of_which_nobody_can_tell(self):
        """The owner of the key's slot died in an outage: the word is unknown."""
        request = machine()
        request.begin(0.0)
        request.placed(TARGET, "i.0", 0.0)
        step = request.claim_answered(CannotTell(), 0.0)
        self.ended(step, Outcome.UNKNOWN, Reason.CLAIM_UNAVAILABLE)

    def test_attempt_of_a_dead_router_that_never_left_is_replaced(self):
        """
        A router dies between its claim and its order. The caller's retry finds
        the claim, proves that the attempt never started, and runs the request.
        """
        request = machine()
        request.begin(0.0)
        request.placed(TARGET, "i.0", 0.0)
        other = Claim(b"", AttemptId("b"), TargetName("t2"), "j.0", b"d")
        step = request.claim_answered(Existing(other), 0.0)
        self.assertEqual(step, HandOver("b", "t2", "j.0", 0, True))
        request.handed_over()
        step = request.refused(Refused(Reason.NOT_FOUND), 0.0)
        self.assertEqual(step, CancelAttempt("b", "t2", "j.0", True))
        step = request.cancelled(
            never_started=True, running=False, ended=False, usage=Usage(), now_s=0.0
        )
        self.assertIsInstance(step, Place)
        step = request.placed(TARGET, "i.0", 0.0)
        self.assertEqual(step.ask.replaces, "b")

    def test_answer_made_anew_is_not_glued_to_the_old_one(self):
        """
        An answer breaks off, fails at its target, and the caller's other try
        starts it anew there. The rest of the new answer is not given out behind
        the first half of the old one.
        """
        for streams in (True, False):
            request = machine(repeatable=True, streams=streams)
            handed_over(request)
            request.head(AttemptId("a0"), False, 0.0)
            request.data(AttemptId("a0"), 0, b"half", 0.0)
            request.lost(delivered=True, now_s=0.0)
            request.paused(0.1)
            request.handed_over()
            step = request.head(AttemptId("b"), True, 0.2)
            if streams:
                self.ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)
                self.assertIs(step.ending.cut, True)
            else:
                self.assertIsInstance(step, Place)

    def test_answer_of_another_attempt_is_not_given_out(self):
        """Frames of a foreign attempt that was not joined raise."""
        request = machine()
        handed_over(request)
        with self.assertRaises(InvariantError):
            request.head(AttemptId("other"), False, 0.0)


class _Truth:
    """Play targets and owners by random choices, and know what really ran."""

    def __init__(self, rng, request):
        self.rng = rng
        self.request = request
        self.now_s = 0.0
        self.ran = set()
        self.under_way = set()
        self.barred = set()
        self.received = b""

    def run(self):
        step = self.request.begin(0.0)
        for _ in range(300):
            if isinstance(step, Finish):
                return step.ending
            self.now_s += self.rng.choice([0.0, 0.1, 1.0])
            if self.now_s > 100.0 or self.rng.random() < 0.02:
                reason = self.rng.choice([Reason.DEADLINE, Reason.CANCELLED])
                step = self.request.stop(reason, self.now_s)
                if isinstance(step, CancelAttempt):
                    step = self.cancel(step)
                continue
            step = self.carry_out(step)
        raise AssertionError("the request never ended")

    def carry_out(self, step):
        now_s, rng, request = self.now_s, self.rng, self.request
        match step:
            case Place():
                if rng.random() < 0.1:
                    return request.not_placed(Refused(Reason.OVERLOADED), now_s)
                target = TargetName(rng.choice(["t1", "t2"]))
                return request.placed(target, "i.0", now_s)
            case AskClaim(ask=ask):
                if rng.random() < 0.3:
                    return request.claim_lost(now_s)
                if rng.random() < 0.2:
                    other = Claim(b"", AttemptId("b"), TARGET, "j.0", b"d")
                    if "b" not in self.barred and ask.replaces != "b":
                        if rng.random() < 0.5:
                            self.ran.add(AttemptId("b"))
                        return request.claim_answered(Existing(other), now_s)
                return request.claim_answered(Granted(True), now_s)
            case Pause(seconds_s=seconds_s):
                self.now_s += seconds_s
                return request.paused(self.now_s)
            case HandOver():
                return self.hand_over(step)
            case CancelAttempt():
                return self.cancel(step)

    def hand_over(self, step):
        request, attempt = self.request, step.attempt_id
        if step.resume_offset_bytes == 0:
            self.received = b""
        request.handed_over()
        luck = self.rng.random()
        if luck < 0.15:
            return request.lost(delivered=False, now_s=self.now_s)
        if luck < 0.35:
            if not step.join_only and attempt not in self.barred:
                self.under_way.add(attempt)
            self.arrive()
            return request.lost(delivered=True, now_s=self.now_s)
        if attempt in self.ran:
            return self.answer(step, joined=True)
        if attempt in self.barred:
            return request.refused(Refused(Reason.CANCELLED), self.now_s)
        if step.join_only:
            return request.refused(Refused(Reason.NOT_FOUND), self.now_s)
        if luck < 0.6:
            reasons = [Reason.DRAINING, Reason.WRONG_INSTANCE, Reason.OVERLOADED]
            refused = Refused(self.rng.choice(reasons))
            return request.refused(refused, self.now_s)
        self.ran.add(attempt)
        return self.answer(step, joined=False)

    def answer(self, step, joined):
        request, attempt = self.request, step.attempt_id
        whole = f"answer of {attempt}".encode()
        request.head(attempt, joined, self.now_s)
        luck = self.rng.random()
        cut = len(whole) if luck < 0.7 else self.rng.randint(0, len(whole))
        offset = step.resume_offset_bytes
        for start in range(offset, cut, 5):
            frame = whole[start : min(start + 5, cut)]
            for piece in request.data(attempt, start, frame, self.now_s):
                self.received += piece.data
        if luck < 0.7:
            return request.ended(attempt, len(whole), Usage(1, 1), self.now_s)
        if luck < 0.8:
            reason = self.rng.choice([Reason.TARGET_FAILED, Reason.DEADLINE])
            return request.failed(attempt, reason, "", Usage(), True, self.now_s)
        return request.lost(delivered=True, now_s=self.now_s)

    def cancel(self, step):
        attempt = step.attempt_id
        self.arrive()
        luck = self.rng.random()
        if luck < 0.2:
            return self.request.cancel_lost(self.now_s)
        told = luck < 0.8
        started = attempt in self.ran
        if not started:
            self.barred.add(attempt)
            self.under_way.discard(attempt)
        return self.request.cancelled(
            never_started=told and not started,
            running=told and started and luck < 0.4,
            ended=told and started and luck >= 0.4,
            usage=Usage(1, 1),
            now_s=self.now_s,
        )

    def arrive(self):
        """Let orders whose connections broke arrive, or stay under way."""
        for attempt in sorted(self.under_way):
            if self.rng.random() < 0.5:
                self.under_way.discard(attempt)
                self.ran.add(attempt)


class RandomTruthTests(unittest.TestCase):
    @seed(20261205)
    @settings(max_examples=3000, derandomize=True, database=None, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    def test_what_the_caller_is_told_is_true(self, number, repeatable, keyed, streams):
        """
        Orders, answers, claims and cancels are lost, late and refused in any
        order. *Not run* is said only where nothing ran or ever will, at most
        one attempt of a booking runs, and an answer is the one of its attempt.
        """
        request = machine(repeatable=repeatable, keyed=keyed, streams=streams)
        truth = _Truth(random.Random(number), request)
        ending = truth.run()
        # What is still under way arrives in the end.
        ran = truth.ran | truth.under_way
        if ending.outcome is Outcome.NOT_RUN:
            self.assertEqual(ran, set())
        if not repeatable:
            self.assertLessEqual(len(ran), 1)
        if ending.outcome is Outcome.ANSWERED:
            self.assertIn(truth.received, {f"answer of {a}".encode() for a in ran})
