"""Random histories: each request gets exactly one decision."""

import random
import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Expired,
    LoadFigures,
    Placement,
    Policy,
    Queued,
    TargetView,
    WorkItem,
)
from endivegw.results import Refused
from endivegw.types import Priority

TARGETS = 3
MODELS = ("badge", "plan", "service:ramp")

SUBMIT = st.tuples(
    st.just("submit"),
    st.sampled_from(MODELS),
    st.sampled_from((Priority.URGENT, Priority.NORMAL, Priority.NORMAL)),
    st.integers(0, 1),
    st.sampled_from((0.5, 5.0, 15.0, 30.0, 60.0)),
    st.sampled_from((10, 100, 400)),
)

# Submissions are more frequent than other steps, so that queues fill.
STEP = st.one_of(
    SUBMIT,
    SUBMIT,
    SUBMIT,
    SUBMIT,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(AttemptKind))),
    st.tuples(st.just("cancel"), st.integers(0, 50)),
    st.tuples(st.just("drain"), st.integers(0, TARGETS - 1)),
    st.tuples(st.just("models"), st.integers(0, TARGETS - 1), st.integers(1, 7)),
    st.tuples(
        st.just("report"),
        st.integers(0, TARGETS - 1),
        st.integers(0, 2),
        st.booleans(),
    ),
    st.tuples(st.just("wait"), st.floats(0.0, 5.0)),
)


class History:
    """Execute steps and check the invariants after each one."""

    def __init__(self):
        self.now_s = 0.0
        self.router = Dispatcher(Policy(queue_items=5), "a", random.Random(1))
        self.models = [frozenset(MODELS)] * TARGETS
        self.draining = set()
        self.reported_draining = set()
        self.queued = set()
        self.running = {}
        self.decisions = {}
        self.count = 0
        self.publish()

    def publish(self):
        """Pass the current membership to the dispatcher."""
        self.router.set_targets(
            [
                TargetView(f"t{n}", "1", "", "ab"[n % 2], models, 1, n in self.draining)
                for n, models in enumerate(self.models)
            ],
            self.now_s,
        )

    def record_decision(self, name, decision):
        """Record the only decision that a request may get."""
        assert name not in self.decisions, f"{name} was decided twice"
        self.decisions[name] = decision
        self.queued.discard(name)
        if isinstance(decision, Placement):
            number = int(decision.target[1:])
            assert number not in self.draining | self.reported_draining
            assert decision.item.model in self.models[number]
            assert decision.item.deadline_s > self.now_s
            self.running[name] = decision

    def poll(self):
        """Collect decisions on queued requests."""
        for decision in self.router.poll(self.now_s):
            assert isinstance(decision, (Placement, Expired))
            assert decision.item.request_id in self.queued
            self.record_decision(decision.item.request_id, decision)
        next_s = self.router.next_poll_s(self.now_s)
        assert (next_s is not None) == bool(self.queued)

    def submit(self, model, priority, account, deadline_s, tokens):
        """Submit a request."""
        name = f"r{self.count}"
        self.count += 1
        item = WorkItem(
            name,
            f"account-{account}",
            priority,
            1.0 + account,
            model,
            self.now_s + deadline_s,
            100 * (not model.startswith("service:")),
            tokens * (not model.startswith("service:")),
            self.now_s,
            (model.encode(),),
        )
        decision = self.router.submit(item, self.now_s)
        if isinstance(decision, Queued):
            assert decision.wait_s >= 0.0
            self.queued.add(name)
            return
        if isinstance(decision, Refused) and decision.retry_after_s is not None:
            assert decision.retry_after_s >= 0.0
        self.record_decision(name, decision)

    def end(self, number, kind):
        """End a running attempt."""
        if self.running:
            names = list(self.running)
            name = names[number % len(names)]
            target = self.running.pop(name).target
            end = AttemptEnd(kind, 100, 30)
            self.router.first_token(name, self.now_s)
            self.router.ended(name, target, end, self.now_s)

    def cancel(self, number):
        """Disconnect the caller of a queued request."""
        if self.queued:
            name = sorted(self.queued)[number % len(self.queued)]
            self.router.cancel(name, self.now_s)
            self.record_decision(name, None)

    def drain(self, number):
        """Start or end a drain."""
        self.draining ^= {number}
        self.publish()

    def change_models(self, number, mask):
        """Load and unload models."""
        loaded = [model for bit, model in enumerate(MODELS) if mask >> bit & 1]
        self.models[number] = frozenset(loaded)
        self.publish()

    def report(self, number, running, draining):
        """Deliver a load report."""
        self.reported_draining.discard(number)
        if draining:
            self.reported_draining.add(number)
        figures = LoadFigures(running, 0, 1, 10.0, 0.2, draining=draining)
        self.router.report(f"t{number}", figures, self.now_s)

    def step(self, what):
        """Execute one step."""
        match what:
            case ("submit", model, priority, account, deadline_s, tokens):
                self.submit(model, priority, account, deadline_s, tokens)
            case ("end", number, kind):
                self.end(number, kind)
            case ("cancel", number):
                self.cancel(number)
            case ("drain", number):
                self.drain(number)
            case ("models", number, mask):
                self.change_models(number, mask)
            case ("report", number, running, draining):
                self.report(number, running, draining)
            case ("wait", wait_s):
                self.now_s += wait_s
        self.poll()


class RandomHistoryTests(unittest.TestCase):
    @seed(6)
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.lists(STEP, min_size=40, max_size=100))
    def test_each_request_is_decided_once(self, steps):
        """No decision is lost or made twice.

        Requests wait while targets drain, fail and change their models. A lost decision
        leaves a request hanging until it times out, and a duplicate one executes the
        request twice.
        """
        history = History()
        for what in steps:
            history.step(what)
        history.now_s += 60.0
        history.poll()
        self.assertEqual(history.queued, set())
        self.assertEqual(len(history.decisions), history.count)
