"""Tests of targets' reports about themselves and of their effect on placement."""

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
from endivegw.relay.attempt import AttemptOutcome, AttemptResult
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
    """Return one request for that service."""
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
    """Metadata in the header fields of answers."""

    def test_pause_is_parsed_from_retry_after(self) -> None:
        """A malformed field must neither fail the answer nor pause a target forever."""
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
            metadata = wire.read_answer_fields(503, [(b"retry-after", value)])
            self.assertEqual(metadata.pause_s, pause_s, value)
        self.assertIsNone(
            wire.read_answer_fields(200, [(b"retry-after", b"3")]).pause_s
        )
        self.assertIsNone(wire.read_answer_fields(503, []).pause_s)

    def test_leaving_of_another_instance_is_ignored(self) -> None:
        """A target must not be abandoned because of another instance's report."""
        wire = PlatformWire()
        fields = [(b"server-leaving", b"1")]
        self.assertTrue(wire.read_answer_fields(200, fields).leaving)
        self.assertTrue(wire.read_answer_fields(503, fields).leaving)
        self.assertFalse(wire.read_answer_fields(421, fields).leaving)
        self.assertFalse(
            wire.read_answer_fields(200, [(b"server-leaving", b"0")]).leaving
        )

    def test_fields_that_are_not_read_are_reported(self) -> None:
        """Guards against a new field of the platform that is ignored unnoticed."""
        wire = PlatformWire()
        fields = [
            (b"endivegw-attempt-id", b"a"),
            (b"server-news", b"7"),
            (b"content-length", b"0"),
        ]
        metadata = wire.read_answer_fields(200, fields)
        self.assertEqual(metadata.unknown_fields, ((b"server-news", b"7"),))


class BackOffTests(unittest.TestCase):
    """Targets that ask to receive no requests for some time."""

    def setUp(self) -> None:
        self.dispatcher = Dispatcher(Policy(choices=8), ZONE, random.Random(1))
        self.dispatcher.set_targets([view("a"), view("b")], 0.0)

    def places(self, count: int, now_s: float) -> list[str]:
        """Place concurrent requests; return the targets that they were placed on."""
        placed = []
        for number in range(count):
            decision = self.dispatcher.submit(work(number), now_s)
            assert isinstance(decision, Placement), decision
            placed.append(decision)
        for decision in placed:
            self.end(decision, now_s + 0.05)
        return [str(decision.target) for decision in placed]

    def end(self, placed: Placement, now_s: float) -> None:
        """Report the successful end of a placed request."""
        end = AttemptEnd(AttemptKind.OK)
        self.dispatcher.ended(placed.item.request_id, placed.target, end, now_s)

    def test_paused_target_receives_no_requests(self) -> None:
        """Requests must go to other targets until the pause has expired."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.assertEqual(set(self.places(2, 1.0)), {"b"})
        self.assertFalse(
            self.dispatcher.availability.accepts_work(TargetName("a"), 9.9)
        )
        self.assertIn("a", self.places(2, 10.1))

    def test_pause_does_not_outlast_the_instance_that_asked_for_it(self) -> None:
        """A restarted target must not stay paused because of its predecessor."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.dispatcher.set_targets([view("a", 2), view("b")], 1.0)
        self.assertIn("a", self.places(2, 1.0))
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.assertTrue(self.dispatcher.availability.accepts_work(TargetName("a"), 1.0))

    def test_refusal_states_when_the_first_pause_expires(self) -> None:
        """Requests must not queue up while all targets are paused."""
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        self.dispatcher.availability.back_off(TargetName("b"), 1, 7.0)
        refused = self.dispatcher.submit(work(1), 2.0)
        assert isinstance(refused, Refused)
        self.assertEqual(refused.reason, Reason.OVERLOADED)
        self.assertEqual(refused.retry_after_s, 5.0)

    def test_queued_requests_are_refused_when_all_targets_pause(self) -> None:
        """Queued requests must not wait for their deadline while targets are paused."""
        self.dispatcher.set_targets([view("a", slots=1)], 0.0)
        placed = [self.dispatcher.submit(work(number), 0.0) for number in range(9)]
        self.assertIsInstance(placed[-1], Queued)
        self.dispatcher.availability.back_off(TargetName("a"), 1, 10.0)
        decided = self.dispatcher.poll(1.0)
        self.assertTrue(decided)
        for decision in decided:
            assert isinstance(decision, Expired)
            self.assertEqual(decision.retry_after_s, 9.0)

    def test_queued_requests_are_refused_when_all_targets_leave(self) -> None:
        """Queued requests must not wait for targets that have left."""
        self.dispatcher.set_targets([view("a", slots=1)], 0.0)
        for number in range(9):
            self.dispatcher.submit(work(number), 0.0)
        self.dispatcher.set_targets([], 1.0)
        self.assertTrue(self.dispatcher.poll(1.0))
        self.assertFalse(
            self.dispatcher.availability.accepts_work(TargetName("a"), 1.0)
        )


class HealthTests(unittest.TestCase):
    """Effect of a refusal on a target's health."""

    def test_request_for_a_pause_is_not_a_failure(self) -> None:
        """A pause must not count against health and keep requests away afterwards."""
        paused = AttemptResult(AttemptOutcome.NOT_RUN, paused=True)
        self.assertEqual(attempt_kind(paused, True), AttemptKind.CANCELLED)
        refused = AttemptResult(AttemptOutcome.NOT_RUN)
        self.assertEqual(attempt_kind(refused, True), AttemptKind.REFUSED)


class BroadcastTests(unittest.TestCase):
    """Messages between routers survive encoding and decoding."""

    def test_each_kind_of_message_round_trips(self) -> None:
        """A router must not drop a message that another router encoded."""
        start = TargetStart(InstanceId("e-1"), 7)
        other = TargetStart(InstanceId("e-2"), None)
        name = Fingerprint("fp")
        for content in (
            TargetLeaving(start),
            TargetLeaving(other),
            TargetTerminated(start, (name, Fingerprint("other"))),
            RequestRecord(name, frozenset({start, other}), frozenset({start}), True),
        ):
            message = BroadcastMessage(InstanceId("vm-0"), content)
            self.assertEqual(decode(encode(message)), message)

    def test_malformed_message_is_dropped(self) -> None:
        """A malformed datagram must not terminate a router."""
        for data in (
            b'["leaving","vm",["a"]]',
            b'["leaving","vm",7]',
            b'["ended","vm",["a",1],7]',
            b'["record","vm","fp",[["a","x"]],[],true]',
        ):
            self.assertIsNone(decode(data), data)


if __name__ == "__main__":
    unittest.main()
