"""The state machine of one request, under loss, refusal, failure and cancellation."""

import random
import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.decisions.retry import RetryBudget, RetryPolicy
from endivegw.exceptions import InvariantError
from endivegw.requests.attempt_limits import AttemptLimits
from endivegw.requests.attempts import RequestStateMachine
from endivegw.requests.claims import CannotTell, Claim, Existing, Granted
from endivegw.requests.steps import (
    CancelAttempt,
    Finish,
    HandOver,
    Pause,
    Place,
    ProposeClaim,
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
    return RequestStateMachine(
        RequestFacts(IDENTITY, b"d", keyed, repeatable, 100.0, streams),
        AttemptLimits(),
        RetryPolicy(),
        RetryBudget(),
        random.Random(1),
        lambda: AttemptId(f"a{next(numbers)}"),
    )


def handed_over(request):
    """Advance a request until its first order has been sent."""
    request.start(0.0)
    step = request.placed(TARGET, "i.0", 0.0)
    if isinstance(step, ProposeClaim):
        step = request.claim_answered(Granted(True), 0.0)
    assert isinstance(step, HandOver)
    request.handed_over()
    return step


class EndingTests(unittest.TestCase):
    def assert_ended(self, step, outcome, reason=None):
        self.assertIsInstance(step, Finish)
        self.assertIs(step.ending.outcome, outcome)
        self.assertIs(step.ending.reason, reason)

    def test_no_key_is_refused_as_not_run(self):
        """A non-repeatable request without a key is refused and does not run."""
        step = machine(keyed=False).start(0.0)
        self.assert_ended(step, Outcome.NOT_RUN, Reason.KEY_REQUIRED)

    def test_lost_stream_is_resumed_where_it_broke(self):
        """
        The connection to the sidecar breaks in the middle of an answer. The router
        resumes at the first missing byte.
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
        self.assert_ended(step, Outcome.ANSWERED)

    def test_refusal_after_a_broken_order_is_no_proof(self):
        """
        The connection of an order broke and the second order is refused. The first
        order can still be in transit, so the attempt is barred before the request is
        placed on another target.
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
        Guards against a false *not run* when a sidecar restarts after it was sent a
        non-repeatable request: it refuses the second order, but the first may have run.
        """
        request = machine()
        handed_over(request)
        request.lost(delivered=True, now_s=0.0)
        request.paused(0.1)
        step = request.refused(Refused(Reason.WRONG_INSTANCE), 0.1)
        self.assert_ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)

    def test_discarded_answer_is_not_requested_forever(self):
        """
        Guards against a loop when a sidecar was replaced and its successor learns from
        the engine that the attempt has ended, so that its answer is lost. A repeatable
        request moves to another target at once; a non-repeatable one ends as unknown
        at once.
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
                    self.assert_ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)

    def test_deadline_before_the_order_is_sent_is_not_run(self):
        """The deadline passes in the queue, before any order was sent."""
        request = machine(repeatable=True, keyed=False)
        request.start(0.0)
        self.assert_ended(
            request.stop(Reason.DEADLINE, 100.0), Outcome.NOT_RUN, Reason.DEADLINE
        )

    def test_deadline_after_the_order_cancels_before_it_reports(self):
        """After the deadline only a confirmed bar allows the result *not run*."""
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
            self.assert_ended(step, outcome, Reason.DEADLINE)

    def test_caller_disconnect_leaves_a_non_repeatable_request_running(self):
        """
        The caller's connection drops while a non-repeatable request runs. The attempt
        continues, so that a retry with the same key gets the answer.
        """
        request = machine()
        handed_over(request)
        step = request.stop(Reason.CANCELLED, 1.0)
        self.assert_ended(step, Outcome.UNKNOWN, Reason.CANCELLED)

    def test_caller_disconnect_cancels_a_repeatable_request(self):
        """The caller of a repeatable request disconnects; the engine is released."""
        request = machine(repeatable=True, keyed=False)
        handed_over(request)
        step = request.stop(Reason.CANCELLED, 1.0)
        self.assertEqual(step, CancelAttempt(AttemptId("a0"), TARGET, "i.0", False))

    def test_repeatable_request_is_retried_until_bytes_are_delivered(self):
        """
        A target fails. A repeatable request is retried on another target if no bytes
        were delivered, and ends in an explicit error otherwise.
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
        self.assert_ended(step, Outcome.UNKNOWN, Reason.TARGET_FAILED)
        self.assertIs(step.ending.truncated, True)

    def test_retry_budget_bounds_retries(self):
        """
        Guards against retry storms when many targets fail at once: without budget for
        a retry the router reports the outcome as unknown.
        """
        request = machine(repeatable=True, keyed=False)
        while request.retries.may_retry(0.0) is True:
            pass
        handed_over(request)
        step = request.failed(
            AttemptId("a0"), Reason.TARGET_FAILED, "", Usage(), True, 0.0
        )
        self.assert_ended(step, Outcome.UNKNOWN, Reason.TARGET_FAILED)

    def test_key_of_a_possibly_incomplete_slot_is_unknown(self):
        """The owner of the key's slot was lost in an outage: the outcome is unknown."""
        request = machine()
        request.start(0.0)
        request.placed(TARGET, "i.0", 0.0)
        step = request.claim_answered(CannotTell(), 0.0)
        self.assert_ended(step, Outcome.UNKNOWN, Reason.CLAIM_UNAVAILABLE)

    def test_unsent_attempt_of_a_crashed_router_is_replaced(self):
        """
        A router crashes between its claim and its order. The caller's retry finds the
        claim, proves that the attempt never started, and runs the request.
        """
        request = machine()
        request.start(0.0)
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
        self.assertEqual(step.proposal.replaces, "b")

    def test_restarted_answer_is_not_appended_to_the_old_one(self):
        """
        An answer breaks off and fails at its target, where another try of the caller
        restarts it. The rest of the new answer must not be delivered after the first
        half of the old one.
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
                self.assert_ended(step, Outcome.UNKNOWN, Reason.ANSWER_LOST)
                self.assertIs(step.ending.truncated, True)
            else:
                self.assertIsInstance(step, Place)

    def test_answer_of_another_attempt_is_not_delivered(self):
        """Frames of another attempt that was not joined raise an error."""
        request = machine()
        handed_over(request)
        with self.assertRaises(InvariantError):
            request.head(AttemptId("other"), False, 0.0)


class _Simulation:
    """Simulate targets and slot owners at random, and record what actually ran."""

    def __init__(self, rng, request):
        self.rng = rng
        self.request = request
        self.now_s = 0.0
        self.ran = set()
        self.in_transit = set()
        self.barred = set()
        self.received = b""

    def run(self):
        step = self.request.start(0.0)
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
            step = self.execute(step)
        raise AssertionError("the request did not end within 300 steps")

    def execute(self, step):
        now_s, rng, request = self.now_s, self.rng, self.request
        match step:
            case Place():
                if rng.random() < 0.1:
                    return request.not_placed(Refused(Reason.OVERLOADED), now_s)
                target = TargetName(rng.choice(["t1", "t2"]))
                return request.placed(target, "i.0", now_s)
            case ProposeClaim(proposal=proposal):
                if rng.random() < 0.3:
                    return request.claim_lost(now_s)
                if rng.random() < 0.2:
                    other = Claim(b"", AttemptId("b"), TARGET, "j.0", b"d")
                    if "b" not in self.barred and proposal.replaces != "b":
                        if rng.random() < 0.5:
                            self.ran.add(AttemptId("b"))
                        return request.claim_answered(Existing(other), now_s)
                return request.claim_answered(Granted(True), now_s)
            case Pause(duration_s=duration_s):
                self.now_s += duration_s
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
        draw = self.rng.random()
        if draw < 0.15:
            return request.lost(delivered=False, now_s=self.now_s)
        if draw < 0.35:
            if not step.join_only and attempt not in self.barred:
                self.in_transit.add(attempt)
            self.arrive()
            return request.lost(delivered=True, now_s=self.now_s)
        if attempt in self.ran:
            return self.answer(step, joined=True)
        if attempt in self.barred:
            return request.refused(Refused(Reason.CANCELLED), self.now_s)
        if step.join_only:
            return request.refused(Refused(Reason.NOT_FOUND), self.now_s)
        if draw < 0.6:
            reasons = [Reason.DRAINING, Reason.WRONG_INSTANCE, Reason.OVERLOADED]
            refused = Refused(self.rng.choice(reasons))
            return request.refused(refused, self.now_s)
        self.ran.add(attempt)
        return self.answer(step, joined=False)

    def answer(self, step, joined):
        request, attempt = self.request, step.attempt_id
        full_answer = f"answer of {attempt}".encode()
        request.head(attempt, joined, self.now_s)
        draw = self.rng.random()
        sent_bytes = (
            len(full_answer) if draw < 0.7 else self.rng.randint(0, len(full_answer))
        )
        offset = step.resume_offset_bytes
        for start in range(offset, sent_bytes, 5):
            frame = full_answer[start : min(start + 5, sent_bytes)]
            for chunk in request.data(attempt, start, frame, self.now_s):
                self.received += chunk.data
        if draw < 0.7:
            return request.ended(attempt, len(full_answer), Usage(1, 1), self.now_s)
        if draw < 0.8:
            reason = self.rng.choice([Reason.TARGET_FAILED, Reason.DEADLINE])
            return request.failed(attempt, reason, "", Usage(), True, self.now_s)
        return request.lost(delivered=True, now_s=self.now_s)

    def cancel(self, step):
        attempt = step.attempt_id
        self.arrive()
        draw = self.rng.random()
        if draw < 0.2:
            return self.request.cancel_lost(self.now_s)
        answered = draw < 0.8
        started = attempt in self.ran
        if not started:
            self.barred.add(attempt)
            self.in_transit.discard(attempt)
        return self.request.cancelled(
            never_started=answered and not started,
            running=answered and started and draw < 0.4,
            ended=answered and started and draw >= 0.4,
            usage=Usage(1, 1),
            now_s=self.now_s,
        )

    def arrive(self):
        """Let each order whose connection broke arrive or stay in transit."""
        for attempt in sorted(self.in_transit):
            if self.rng.random() < 0.5:
                self.in_transit.discard(attempt)
                self.ran.add(attempt)


class RandomSimulationTests(unittest.TestCase):
    @seed(20261205)
    @settings(max_examples=3000, derandomize=True, database=None, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    def test_reported_outcome_is_true(self, number, repeatable, keyed, streams):
        """
        Orders, answers, claims and cancels are lost, delayed and refused in any order.
        *Not run* is reported only if nothing ran or ever will, at most one attempt of a
        non-repeatable request runs, and an answer comes from a single attempt.
        """
        request = machine(repeatable=repeatable, keyed=keyed, streams=streams)
        simulation = _Simulation(random.Random(number), request)
        ending = simulation.run()
        # Orders that are still in transit arrive eventually.
        ran = simulation.ran | simulation.in_transit
        if ending.outcome is Outcome.NOT_RUN:
            self.assertEqual(ran, set())
        if not repeatable:
            self.assertLessEqual(len(ran), 1)
        if ending.outcome is Outcome.ANSWERED:
            self.assertIn(simulation.received, {f"answer of {a}".encode() for a in ran})
