"""Requests that only targets of one software version may run."""

from __future__ import annotations

import random
import unittest

from attrs import evolve

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
from endivegw.results import Reason, Refused
from endivegw.types import AvailabilityZone, InstanceId, Priority, TargetName

MODEL = "m"

#: Longest pause of a stream after which its caller still waits.
CALLER_WAITS_S = 2.0


def view(name: str, version: str, slots: int = 2) -> TargetView:
    """Return the membership entry of a target."""
    return TargetView(
        TargetName(name),
        InstanceId(name),
        f"{name}:80",
        AvailabilityZone("z"),
        frozenset({MODEL}),
        slots,
        software_version=version,
    )


def work(name: str, version: str | None = None, now_s: float = 0.0) -> WorkItem:
    """Return a request that arrives now."""
    return WorkItem(
        name,
        "hotel",
        Priority.NORMAL,
        1.0,
        MODEL,
        now_s + 20.0,
        20,
        20,
        now_s,
        software_version=version,
    )


class BoundRequestTests(unittest.TestCase):
    """One router in front of targets of two versions."""

    def setUp(self) -> None:
        self.dispatcher = Dispatcher(
            Policy(choices=32, overfill=0.0, urgent_overfill=0.0),
            AvailabilityZone("z"),
            random.Random(1),
        )
        self.views = [view("old", "v1"), view("new-1", "v2"), view("new-2", "v2")]
        self.dispatcher.set_targets(self.views, 0.0)

    def place(self, name: str, version: str | None = None) -> Placement:
        """Place a request that must find a slot."""
        placement = self.dispatcher.submit(work(name, version), 0.0)
        assert isinstance(placement, Placement)
        return placement

    def fill(self, version: str) -> None:
        """Fill all slots of a version."""
        slots = sum(v.slots for v in self.views if v.software_version == version)
        for number in range(slots):
            self.place(f"{version}-{number}", version)

    def end(self, placement_name: str, target: str, now_s: float) -> None:
        """End a request."""
        end = AttemptEnd(AttemptKind.OK)
        self.dispatcher.ended(placement_name, TargetName(target), end, now_s)

    def test_a_stream_goes_on_at_its_version(self) -> None:
        """Guards against a stream that a target of another version continues."""
        for number in range(2):
            self.assertEqual(self.place(f"r-{number}", "v1").target, "old")
        for number in range(4):
            placement = self.place(f"s-{number}", "v2")
            self.assertEqual(placement.software_version, "v2")

    def test_a_stream_waits_for_a_slot_of_its_version(self) -> None:
        """Guards against a stream that is refused at once while its version is full."""
        self.fill("v1")
        queued = self.dispatcher.submit(work("r-1", "v1"), 0.0)
        self.assertIsInstance(queued, Queued)
        self.assertEqual(self.dispatcher.poll(0.1), [])
        self.end("v1-0", "old", 0.2)
        (placement,) = self.dispatcher.poll(0.2)
        self.assertEqual(placement.target, "old")
        self.assertEqual(self.dispatcher.poll(0.3), [])

    def test_a_stream_that_waits_does_not_delay_other_requests(self) -> None:
        """Guards against a queue whose first request has no target for a while."""
        self.fill("v1")
        self.dispatcher.submit(work("r-1", "v1"), 0.0)
        self.assertIsInstance(self.dispatcher.submit(work("r-2"), 0.0), Placement)

    def test_a_stream_is_refused_before_its_caller_leaves(self) -> None:
        """Guards against callers that wait in vain for a version that stays full."""
        self.fill("v1")
        self.dispatcher.submit(work("r-1", "v1"), 0.0)
        now_s, decided = 0.0, []
        while not decided:
            next_s = self.dispatcher.next_poll_s(now_s)
            assert next_s is not None and next_s > now_s
            now_s = next_s
            decided = self.dispatcher.poll(now_s)
        self.assertLess(now_s, CALLER_WAITS_S / 2)
        (expired,) = decided
        assert isinstance(expired, Expired)
        self.assertIs(expired.reason, Reason.VERSION_UNAVAILABLE)

    def test_a_stream_whose_version_is_gone_is_refused_at_once(self) -> None:
        """Guards against callers that wait for a version that no target runs."""
        refused = self.dispatcher.submit(work("r-1", "v0"), 0.0)
        assert isinstance(refused, Refused)
        self.assertIs(refused.reason, Reason.VERSION_UNAVAILABLE)

    def test_waiting_streams_are_refused_when_their_version_goes(self) -> None:
        """Guards against callers that wait on for targets that have left."""
        self.fill("v1")
        self.dispatcher.submit(work("r-1", "v1"), 0.0)
        self.dispatcher.set_targets(
            [evolve(self.views[0], draining=True), *self.views[1:]], 0.1
        )
        (expired,) = self.dispatcher.poll(0.1)
        self.assertIsInstance(expired, Expired)

    def test_a_caller_that_leaves_frees_its_place(self) -> None:
        """Guards against slots that are given to callers that have disconnected."""
        self.fill("v1")
        self.dispatcher.submit(work("r-1", "v1"), 0.0)
        self.dispatcher.cancel("r-1", 0.1)
        self.end("v1-0", "old", 0.2)
        self.assertEqual(self.dispatcher.poll(0.2), [])

    def test_a_target_that_restarts_with_other_software_is_not_sent_to(self) -> None:
        """Guards against a restart between the choice of a target and the send."""
        placement = self.place("r-1", "v1")
        self.dispatcher.set_targets([view("old", "v2"), *self.views[1:]], 0.1)
        sent = self.dispatcher.availability.start_send(
            "r-1", placement.target, 0.1, placement.software_version
        )
        self.assertFalse(sent)

    def test_only_targets_of_the_version_count_as_untried(self) -> None:
        """Guards against waits for a second target that may not continue the stream."""
        availability = self.dispatcher.availability
        excluded = frozenset({TargetName("old")})
        self.assertTrue(availability.has_untried(MODEL, excluded, 0.0))
        self.assertFalse(availability.has_untried(MODEL, excluded, 0.0, "v1"))

    def test_streams_of_the_only_version_wait_like_all_others(self) -> None:
        """Guards against requests that claim to resume a stream to pass the queue."""
        self.views = [view("a", "v1"), view("b", "v1")]
        self.dispatcher.set_targets(self.views, 0.0)
        self.fill("v1")
        self.dispatcher.submit(work("r-1"), 0.0)
        self.dispatcher.submit(work("r-2", "v1"), 0.01)
        self.end("v1-0", "a", 0.1)
        self.end("v1-0", "b", 0.1)
        (placement,) = self.dispatcher.poll(0.1)
        self.assertEqual(placement.item.request_id, "r-1")


if __name__ == "__main__":
    unittest.main()
