"""Entries of targets: other writers' rows, and targets that start again under an id."""

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
from endivegw.platform.store import _rows
from endivegw.relay.target_ends import TerminationDetector
from endivegw.relay.target_pool import TargetPool
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
    """Return a row of the registry; bytes are taken as they are."""
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return StoredRow("servers", key, value, revision, entry is None)


def work(number: int, digests: tuple[bytes, ...] = ()) -> WorkItem:
    """Return a request for the plain service of these tests."""
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
    """Feed rows to a reader, and ask where work goes."""

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
        """Return where one request goes, None where it goes nowhere."""
        self.placed += 1
        found = self.dispatcher.submit(work(self.placed), 0.0)
        return found if isinstance(found, Placement) else None


class ForeignEntryTests(ReaderCase):
    """Rows that another writer left among the targets' own."""

    def test_a_field_that_is_missing_or_of_another_type_names_no_target(self) -> None:
        """Some other program writes into the registry.

        Its row looks like a target's but for one field. A router that reads it
        generously sends callers to an address where nobody answers for them.
        """
        decode_target("i", json.dumps(ENTRY).encode())
        others: list[Any] = ["7", True, 1.5, None, [], {}, -1, ""]
        for name, value in ENTRY.items():
            rest = {key: kept for key, kept in ENTRY.items() if key != name}
            bad = [rest]
            bad += [
                {**rest, name: other}
                for other in others
                if type(other) is not type(value) or other in (-1, "")
            ]
            if name == "ColdRemainingMs":
                # Any number is one; a start may even seem to be over already.
                bad = [entry for entry in bad if entry.get(name) not in (1.5, -1)]
            for entry in bad:
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
        """Whatever stands in the registry, reading it never ends the router."""
        for value in (json.dumps({**ENTRY, **changes}).encode(), noise):
            try:
                target = decode_target("i", value)
            except DecodeError:
                continue
            self.assertGreaterEqual(target.slots, 1)

    def test_a_spoilt_row_drops_its_target_and_no_other(self) -> None:
        """Another writer overwrites the row of a target that served until then.

        Callers must not be sent there any more, and the other targets must go on;
        the log says it once, however often the row is written again.
        """
        with logbook.TestHandler() as lines:
            self.reader.listed((row("a", ENTRY, 1), row("b", ENTRY, 2)))
            for revision, spoilt in enumerate((b"\xff", {"Slots": "8"}, b"{"), 3):
                self.reader.changed(row("a", spoilt, revision))
            found = {self.place().target for _ in range(20)}
            self.assertEqual(found, {"b"})
            said = [line for line in lines.records if "unreadable" in line.message]
            self.assertEqual(len(said), 1)
            self.reader.changed(row("a", ENTRY, 9))
            self.assertIn("a", {self.place().target for _ in range(20)})

    def test_bytes_that_no_store_should_hold_hide_no_other_row(self) -> None:
        """One row of a listing has a value that is not in the store's encoding.

        The others hold; a router that starts now must come to know its targets.
        """
        good = base64.b64encode(b"{}").decode()
        content = {
            "Rows": [
                {"Table": "t", "Key": "a", "Value": "%%", "ResourceVersion": 1},
                {"Table": "t", "Key": "b", "Value": good, "ResourceVersion": 2},
                {"Table": "t", "Key": "c", "Value": 7, "ResourceVersion": 3},
            ]
        }
        self.assertEqual([found.value for found in _rows(content)], [b"", b"{}", b""])

    def test_an_entry_without_a_start_is_not_a_target_where_others_say_theirs(
        self,
    ) -> None:
        """Each target says when it started, and one row doesn't.

        In a fleet where no target says it, all are used.
        """
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.listed((row("a", own, 1), row("b", own, 2), row("c", ENTRY, 3)))
        self.assertEqual({self.place().target for _ in range(30)}, {"a", "b"})
        self.reader.changed(row("a", ENTRY, 4))
        self.assertNotIn("a", {self.place().target for _ in range(30)})


class RestartTests(ReaderCase):
    """A target that starts again under the id that it had."""

    def test_nothing_of_the_earlier_start_holds(self) -> None:
        """A target crashes and is back a second later under its id.

        It has read no prompts and is not slow. A router that takes it for the same
        one waits for work that died, and counts on prompt parts that are gone.
        """
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.listed((row("a", own, 1),))
        for _ in range(8):
            self.assertIsNotNone(self.place())
        self.assertEqual(self.dispatcher.local_load()["a"].running, 8)
        for started in (STARTED_MS + 900, STARTED_MS - 70_000):
            # Its clock may have gone back meanwhile.
            self.reader.changed(row("a", {**own, "born": started}, self.placed))
            self.assertEqual(self.dispatcher.local_load()["a"].running, 0)
            placement = self.place()
            self.assertEqual(placement.started_ms, started)

    def test_connections_of_the_earlier_start_are_not_used(self) -> None:
        """The machine lost power, so that no connection was reset.

        What is sent on a kept one gets no answer, and nobody can say whether it ran.
        """
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.listed((row("a", own, 1),))
        kept = types.SimpleNamespace(
            address="10.0.0.1:80", idle_since_s=0.0, keep_alive_s=None
        )
        self.pool._idle["10.0.0.1:80"] = [kept]
        self.reader.changed(row("a", {**own, "Sequence": 9}, 2))
        self.assertTrue(self.pool._usable(kept, require_fresh=True))
        self.reader.changed(row("a", {**own, "born": STARTED_MS + 1}, 3))
        self.assertFalse(self.pool._usable(kept, require_fresh=False))

    def test_a_replaced_start_does_not_bar_the_next(self) -> None:
        """Another instance answered at a target's address, so that it was dropped.

        Later it is back under the same id and must get work again, while its old
        entry must not bring it back.
        """
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.listed((row("a", own, 1),))
        self.reader.replaced(InstanceId("a"), STARTED_MS)
        self.reader.changed(row("a", {**own, "Sequence": 9}, 2))
        self.assertIsNone(self.place())
        self.reader.changed(row("a", {**own, "born": STARTED_MS + 5000}, 3))
        self.assertIsNotNone(self.place())

    def test_a_late_answer_about_the_earlier_start_leaves_the_next_alone(self) -> None:
        """A request was sent before the restart, and its refusal comes after it."""
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.listed((row("a", own, 1),))
        self.reader.changed(row("a", {**own, "born": STARTED_MS + 5000}, 2))
        self.reader.replaced(InstanceId("a"), STARTED_MS)
        self.assertIsNotNone(self.place())

    def test_an_older_entry_that_arrives_late_changes_nothing(self) -> None:
        """A listing was under way when the feed brought the restart."""
        own = {**ENTRY, "born": STARTED_MS}
        self.reader.changed(row("a", {**own, "born": STARTED_MS + 5000}, 5))
        self.reader.listed((row("a", own, 4),))
        self.assertEqual(self.place().started_ms, STARTED_MS + 5000)
