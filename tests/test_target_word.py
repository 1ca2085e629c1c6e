"""What a target says of itself, and what the decisions make of it."""

from __future__ import annotations

import random
import unittest

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Expired,
    Placement,
    Policy,
    Queued,
    TargetView,
    WorkItem,
)
from endivegw.gossip.messages import BroadcastMessage, TargetLeaving, decode, encode
from endivegw.platform.wire import PlatformWire
from endivegw.quarantine import RequestRecord, TargetStart, TargetTerminated
from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.relay.attempt import AttemptResult, End
from endivegw.relay.request_progress import attempt_kind
from endivegw.results import Reason, Refused
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
)

ZONE = AvailabilityZone("z")


def view(name: str, started_ms: int | None = 1, slots: int = 2) -> TargetView:
    """Return a target of a plain service."""
    return TargetView(
        TargetName(name),
        InstanceId(name),
        f"{name}:80",
        ZONE,
        frozenset({"service:app"}),
        slots,
        started_ms=started_ms,
    )


def work(number: int, deadline_s: float = 30.0) -> WorkItem:
    """Return one request for it."""
    return WorkItem(
        f"r-{number}",
        ClientAccountName("hotel"),
        Priority.URGENT,
        1.0,
        "service:app",
        deadline_s,
        0,
        0,
        0.0,
    )


class WireTests(unittest.TestCase):
    """Read the header fields of answers."""

    def test_a_pause_is_read_as_targets_write_it(self) -> None:
        """Guards against a malformed field that fails an answer or pauses for good."""
        wire = PlatformWire()
        for value, pause_s in (
            (b"3", 3.0),
            (b"0.25", 0.25),
            (b"86400", 86400.0),
            (b"0", None),
            (b"-1", None),
            (b"nan", None),
            (b"1e300", 86400.0),
            (b"inf", 86400.0),
            (b"soon", None),
            (b"", None),
        ):
            marks = wire.read_answer(503, [(b"retry-after", value)])
            self.assertEqual(marks.pause_s, pause_s, value)
        self.assertIsNone(wire.read_answer(200, [(b"retry-after", b"3")]).pause_s)
        self.assertIsNone(wire.read_answer(503, []).pause_s)

    def test_another_instance_speaks_for_itself(self) -> None:
        """Guards against a target that is given up for its successor's word."""
        wire = PlatformWire()
        fields = [(b"server-leaving", b"1")]
        self.assertTrue(wire.read_answer(200, fields).leaving)
        self.assertTrue(wire.read_answer(503, fields).leaving)
        self.assertFalse(wire.read_answer(421, fields).leaving)
        self.assertFalse(wire.read_answer(200, [(b"server-leaving", b"0")]).leaving)


class HoldOffTests(unittest.TestCase):
    """Targets that want nothing for a while."""

    def setUp(self) -> None:
        self.dispatcher = Dispatcher(Policy(choices=8), ZONE, random.Random(1))
        self.dispatcher.set_targets([view("a"), view("b")], 0.0)

    def places(self, count: int, now_s: float) -> list[str]:
        """Place work that is there at the same time; return where it went."""
        placed = []
        for number in range(count):
            decision = self.dispatcher.submit(work(number), now_s)
            assert isinstance(decision, Placement), decision
            placed.append(decision)
        for decision in placed:
            self.end(decision, now_s + 0.05)
        return [str(decision.target) for decision in placed]

    def end(self, placed: Placement, now_s: float) -> None:
        """End a placed piece of work."""
        end = AttemptEnd(AttemptKind.OK)
        self.dispatcher.ended(placed.item.request_id, placed.target, end, now_s)

    def test_work_goes_to_the_others_until_the_pause_is_over(self) -> None:
        """Guards against work that is pressed on a target within its pause."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.assertEqual(set(self.places(2, 1.0)), {"b"})
        self.assertFalse(
            self.dispatcher.availability.accepts_work(TargetName("a"), 9.9)
        )
        self.assertIn("a", self.places(2, 10.1))

    def test_a_pause_ends_with_the_start_that_asked_for_it(self) -> None:
        """Guards against a target that is left alone for its predecessor's word."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.dispatcher.set_targets([view("a", 2), view("b")], 1.0)
        self.assertIn("a", self.places(2, 1.0))
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.assertTrue(self.dispatcher.availability.accepts_work(TargetName("a"), 1.0))

    def test_callers_hear_at_once_when_the_first_is_back(self) -> None:
        """Guards against work that piles up while all targets want nothing."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.dispatcher.availability.back_off(TargetName("b"), 1, 7.0)
        refused = self.dispatcher.submit(work(1), 2.0)
        assert isinstance(refused, Refused)
        self.assertEqual(refused.reason, Reason.OVERLOADED)
        self.assertEqual(refused.retry_after_s, 5.0)

    def test_queued_work_is_answered_when_all_want_nothing(self) -> None:
        """Guards against work that waits out its deadline behind a pause."""
        self.dispatcher.set_targets([view("a", slots=1)], 0.0)
        placed = [self.dispatcher.submit(work(number), 0.0) for number in range(9)]
        self.assertIsInstance(placed[-1], Queued)
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        decided = self.dispatcher.poll(1.0)
        self.assertTrue(decided)
        for decision in decided:
            assert isinstance(decision, Expired)
            self.assertEqual(decision.retry_after_s, 9.0)

    def test_queued_work_is_answered_when_all_leave(self) -> None:
        """Guards against work that waits for targets that take none any more."""
        self.dispatcher.set_targets([view("a", slots=1)], 0.0)
        for number in range(9):
            self.dispatcher.submit(work(number), 0.0)
        self.dispatcher.set_targets([], 1.0)
        self.assertTrue(self.dispatcher.poll(1.0))
        self.assertFalse(
            self.dispatcher.availability.accepts_work(TargetName("a"), 1.0)
        )


class HealthTests(unittest.TestCase):
    """What a refusal says of a target's health."""

    def test_a_target_that_asks_for_a_pause_is_not_sick(self) -> None:
        """Guards against a target that gets no work long after its pause."""
        paused = AttemptResult(End.NOT_RUN, paused=True)
        self.assertEqual(attempt_kind(paused, True), AttemptKind.CANCELLED)
        refused = AttemptResult(End.NOT_RUN)
        self.assertEqual(attempt_kind(refused, True), AttemptKind.REFUSED)


class NewsTests(unittest.TestCase):
    """What routers pass on arrives as it was."""

    def test_each_kind_of_news_is_read_as_it_was_written(self) -> None:
        """Guards against news that one router writes and another drops."""
        start = TargetStart(InstanceId("e-1"), 7)
        other = TargetStart(InstanceId("e-2"), None)
        name = Fingerprint("fp")
        for told in (
            TargetLeaving(start),
            TargetLeaving(other),
            TargetTerminated(start, (name, Fingerprint("other"))),
            RequestRecord(name, frozenset({start, other}), frozenset({start}), True),
        ):
            news = BroadcastMessage(InstanceId("vm-0"), told)
            self.assertEqual(decode(encode(news)), news)

    def test_malformed_news_is_dropped(self) -> None:
        """Guards against a datagram that ends a router."""
        for data in (
            b'["leaving","vm",["a"]]',
            b'["leaving","vm",7]',
            b'["ended","vm",["a",1],7]',
            b'["record","vm","fp",[["a","x"]],[],true]',
        ):
            self.assertIsNone(decode(data), data)


if __name__ == "__main__":
    unittest.main()
