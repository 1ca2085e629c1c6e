"""Registry entries of targets: foreign rows, and restarts under the same id."""

from __future__ import annotations

import base64
import json
import random
import types
import unittest
from typing import Any

import logbook
from hypothesis import given, settings, strategies as st

from endivegw.daemons.target_reader import TargetReader
from endivegw.decisions import Dispatcher, Placement, Policy, WorkItem
from endivegw.platform.command import PlatformDecoder
from endivegw.platform.configuration import DecodeError, decode_target
from endivegw.platform.store import _decode_rows
from endivegw.relay.target_pool import TargetPool
from endivegw.relay.termination_detector import TerminationDetector
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, InstanceId, Priority
from endivegw_standins.platform_target import TARGET_ENTRY

STARTED_MS = 1_790_000_000_000

ENTRY = {
    **TARGET_ENTRY,
    "Service": "engine",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 64,
}

ENGINE = "service:engine"


def row(key: str, entry: Any, revision: int) -> StoredRow:
    """Return a row of the registry; an entry in bytes is not encoded."""
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return StoredRow("servers", key, value, revision, entry is None)


def work(number: int, digests: tuple[bytes, ...] = ()) -> WorkItem:
    """Return a request for the service of these tests."""
    return WorkItem(
        f"r-{number}",
        "hotel",
        Priority.NORMAL,
        1.0,
        ENGINE,
        10.0,
        0,
        0,
        0.0,
        digests,
    )


class ReaderCase(unittest.TestCase):
    """Pass rows to a reader, and query where the dispatcher places work."""

    def setUp(self) -> None:
        self.dispatcher = Dispatcher(
            Policy(choices=8), AvailabilityZone("z"), random.Random(1)
        )
        queue = types.SimpleNamespace(dispatcher=self.dispatcher, wake=lambda: None)
        self.pool = TargetPool(lambda: 0.0)
        log = EventLog("router", vm="vm-0")
        terminations = TerminationDetector(
            self.pool, lambda start, names: None, lambda: 0.0, log
        )
        context = types.SimpleNamespace(
            table=None, queue=queue, pool=self.pool, terminations=terminations
        )
        self.reader = TargetReader(context, PlatformDecoder(), lambda: 0.0, log)
        self.placed = 0

    def place(self) -> Placement | None:
        """Return the placement of one request, None if it is not placed."""
        self.placed += 1
        result = self.dispatcher.submit(work(self.placed), 0.0)
        return result if isinstance(result, Placement) else None


class ForeignEntryTests(ReaderCase):
    """Rows of another writer among the rows of targets."""

    def test_an_entry_with_a_missing_or_mistyped_field_is_rejected(self) -> None:
        """Another program writes a row into the registry.

        The row differs from a target's in one field only. A router that accepts it
        would send callers to an address where no target answers.
        """
        decode_target("i", json.dumps(ENTRY).encode())
        others: list[Any] = ["7", True, 1.5, None, [], {}, -1, ""]
        for name, value in ENTRY.items():
            rest = {key: field for key, field in ENTRY.items() if key != name}
            invalid = [rest]
            invalid += [
                {**rest, name: other}
                for other in others
                if type(other) is not type(value) or other in (-1, "")
            ]
            if name == "ColdRemainingMs":
                # Any number is valid; a negative one means that the start is over.
                invalid = [
                    entry for entry in invalid if entry.get(name) not in (1.5, -1)
                ]
            for entry in invalid:
                with self.assertRaises(DecodeError, msg=str(entry)):
                    decode_target("i", json.dumps(entry).encode())
        for started in ("1790000000000", True, 1.79e12, None, -1):
            with self.assertRaises(DecodeError, msg=str(started)):
                decode_target("i", json.dumps({**ENTRY, "born": started}).encode())
        for address in ("host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:x", "10.1:80"):
            with self.assertRaises(DecodeError, msg=address):
                decode_target("i", json.dumps({**ENTRY, "Address": address}).encode())
        with self.assertRaises(DecodeError):
            decode_target("i", json.dumps({**ENTRY, "State": "paused"}).encode())
        for value in (b"\xff\xfe", b"[" * 100_000, b"", b"1e999", b"null"):
            with self.assertRaises(DecodeError, msg=str(value[:9])):
                decode_target("i", value)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*ENTRY, "born"]),
            st.one_of(
                st.none(),
                st.booleans(),
                st.integers(),
                st.floats(),
                st.text(max_size=9),
            ),
        ),
        st.binary(max_size=40),
    )
    def test_any_row_is_a_target_or_an_error(
        self, changes: dict[str, Any], noise: bytes
    ) -> None:
        """Decoding any row must raise no other error, which would end a router."""
        for value in (json.dumps({**ENTRY, **changes}).encode(), noise):
            try:
                target = decode_target("i", value)
            except DecodeError:
                continue
            self.assertGreaterEqual(target.slots, 1)

    def test_a_corrupt_row_drops_its_target_and_no_other(self) -> None:
        """Another writer overwrites the row of a target that is in use.

        Callers must not be sent there any more, and other targets must stay in use.
        It is logged once, however often the row is overwritten.
        """
        with logbook.TestHandler() as lines:
            self.reader.on_listing((row("a", ENTRY, 1), row("b", ENTRY, 2)), 2)
            for revision, corrupt in enumerate((b"\xff", {"Slots": "8"}, b"{"), 3):
                self.reader.on_row(row("a", corrupt, revision))
            used = {self.place().target for _ in range(20)}
            self.assertEqual(used, {"b"})
            logged = [line for line in lines.records if "unreadable" in line.message]
            self.assertEqual(len(logged), 1)
            self.reader.on_row(row("a", ENTRY, 9))
            self.assertIn("a", {self.place().target for _ in range(20)})

    def test_a_malformed_value_does_not_hide_other_rows(self) -> None:
        """One row of a listing has a value that is not in the store's encoding.

        The other rows stay valid; a router that starts now must learn its targets.
        """
        valid = base64.b64encode(b"{}").decode()
        content = {
            "Rows": [
                {"Table": "t", "Key": "a", "Value": "%%", "ResourceVersion": 1},
                {"Table": "t", "Key": "b", "Value": valid, "ResourceVersion": 2},
                {"Table": "t", "Key": "c", "Value": 7, "ResourceVersion": 3},
            ]
        }
        self.assertEqual(
            [found.value for found in _decode_rows(content)], [b"", b"{}", b""]
        )

    def test_an_entry_without_a_start_time_is_not_used_if_others_have_one(
        self,
    ) -> None:
        """All targets write their start time, and one entry lacks it.

        Such an entry comes from another writer. In a fleet where no target writes its
        start time, all entries are used.
        """
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_listing(
            (row("a", with_start, 1), row("b", with_start, 2), row("c", ENTRY, 3)), 3
        )
        self.assertEqual({self.place().target for _ in range(30)}, {"a", "b"})
        self.reader.on_row(row("a", ENTRY, 4))
        self.assertNotIn("a", {self.place().target for _ in range(30)})


class RestartTests(ReaderCase):
    """A target that restarts under the same id."""

    def test_state_of_the_earlier_start_is_dropped(self) -> None:
        """A target crashes and restarts a second later under the same id.

        It has no cached prompts and is not slow. A router that does not detect the
        restart would wait for work that was lost, and rely on lost cache entries.
        """
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_listing((row("a", with_start, 1),), 1)
        for _ in range(8):
            self.assertIsNotNone(self.place())
        self.assertEqual(self.dispatcher.local_load()["a"].running, 8)
        for started in (STARTED_MS + 900, STARTED_MS - 70_000):
            # The target's clock may have been set back in the meantime.
            self.reader.on_row(row("a", {**with_start, "born": started}, self.placed))
            self.assertEqual(self.dispatcher.local_load()["a"].running, 0)
            placement = self.place()
            self.assertEqual(placement.started_ms, started)

    def test_connections_of_the_earlier_start_are_not_used(self) -> None:
        """A machine loses power, so that no connection is reset.

        A request on a pooled connection would get no answer, and its outcome would
        be unknown.
        """
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_listing((row("a", with_start, 1),), 1)
        pooled = types.SimpleNamespace(
            address="10.0.0.1:80", idle_since_s=0.0, keep_alive_s=None
        )
        self.pool._idle["10.0.0.1:80"] = [pooled]
        self.reader.on_row(row("a", {**with_start, "Sequence": 9}, 2))
        self.assertTrue(self.pool._usable(pooled, require_fresh=True))
        self.reader.on_row(row("a", {**with_start, "born": STARTED_MS + 1}, 3))
        self.assertFalse(self.pool._usable(pooled, require_fresh=False))

    def test_a_replaced_start_does_not_bar_the_next(self) -> None:
        """A target was dropped because another instance answered at its address.

        Its old entry must not restore it, but once it restarts under the same id
        it must get work again.
        """
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_listing((row("a", with_start, 1),), 1)
        self.reader.on_replaced(InstanceId("a"), STARTED_MS)
        self.reader.on_row(row("a", {**with_start, "Sequence": 9}, 2))
        self.assertIsNone(self.place())
        self.reader.on_row(row("a", {**with_start, "born": STARTED_MS + 5000}, 3))
        self.assertIsNotNone(self.place())

    def test_a_late_refusal_by_the_earlier_start_does_not_drop_the_next(self) -> None:
        """A request is sent before a restart, and its refusal arrives after it."""
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_listing((row("a", with_start, 1),), 1)
        self.reader.on_row(row("a", {**with_start, "born": STARTED_MS + 5000}, 2))
        self.reader.on_replaced(InstanceId("a"), STARTED_MS)
        self.assertIsNotNone(self.place())

    def test_an_older_entry_that_arrives_late_is_ignored(self) -> None:
        """A listing that was read before a restart arrives after the feed's row."""
        with_start = {**ENTRY, "born": STARTED_MS}
        self.reader.on_row(row("a", {**with_start, "born": STARTED_MS + 5000}, 5))
        self.reader.on_listing((row("a", with_start, 4),), 4)
        self.assertEqual(self.place().started_ms, STARTED_MS + 5000)
