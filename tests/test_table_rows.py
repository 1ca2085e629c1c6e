"""Rows with revisions in the transactional table, and the starts of engines."""

from __future__ import annotations

import unittest

import anyio

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.quarantine import QUARANTINE_TABLE
from endivegw.results import Done
from endivegw.services.row_store import Conflict, ExpectedRow, NewRow
from endivegw.services.table_rows import TableRows
from endivegw.types import InstanceId
from endivegw_standins.memory_table import MemoryTable


def expected(key: str, revision: int) -> ExpectedRow:
    """Return a row as a writer knows it."""
    return ExpectedRow(QUARANTINE_TABLE, key, revision)


def new(key: str, value: bytes) -> NewRow:
    """Return a row as it is to be."""
    return NewRow(QUARANTINE_TABLE, key, value)


class TableRowsTests(unittest.TestCase):
    """Two writers of the same row find out about each other."""

    def test_a_row_that_moved_on_is_not_overwritten(self) -> None:
        """Guards against evidence that two routers overwrite for each other."""

        async def play() -> None:
            rows = TableRows(MemoryTable())
            first = await rows.transact(
                (expected("a", 0),), (new("a", b"1"),), timeout_s=1.0
            )
            assert isinstance(first, Done)
            lost = await rows.transact(
                (expected("a", 0),), (new("a", b"2"),), timeout_s=1.0
            )
            assert isinstance(lost, Conflict)
            self.assertEqual(lost.rows[0].value, b"1")
            self.assertEqual(lost.rows[0].revision, first.value.revision)
            again = await rows.transact(
                (expected("a", lost.rows[0].revision),),
                (new("a", b"12"),),
                timeout_s=1.0,
            )
            assert isinstance(again, Done)
            listed = await rows.list_rows(QUARANTINE_TABLE, timeout_s=1.0)
            assert isinstance(listed, Done)
            found = [(row.key, row.value) for row in listed.value.rows]
            self.assertEqual(found, [("a", b"12")])

        anyio.run(play)

    def test_a_row_is_deleted_at_the_revision_that_was_read(self) -> None:
        """Guards against a row that is deleted though a request came again."""

        async def play() -> None:
            rows = TableRows(MemoryTable())
            for revision in (0, 1):
                await rows.transact(
                    (expected("a", revision),), (new("a", b"1"),), timeout_s=1.0
                )
            lost = await rows.transact((), (), deletes=(expected("a", 1),), timeout_s=1)
            self.assertIsInstance(lost, Conflict)
            done = await rows.transact((), (), deletes=(expected("a", 2),), timeout_s=1)
            self.assertIsInstance(done, Done)
            listed = await rows.list_rows(QUARANTINE_TABLE, timeout_s=1.0)
            assert isinstance(listed, Done)
            self.assertEqual(listed.value.rows, ())
            gone = await rows.transact(
                (expected("a", 2),), (new("a", b"1"),), timeout_s=1.0
            )
            assert isinstance(gone, Conflict)
            self.assertTrue(gone.rows[0].deleted)

        anyio.run(play)


class EngineStartsTests(unittest.TestCase):
    """Generations of one engine name the start that they belong to."""

    def test_one_end_has_one_name(self) -> None:
        """Guards against one end of an engine that counts for each generation."""
        starts = EngineStarts(InstanceId("s-1"))
        first = second = starts.number
        self.assertEqual(starts.ended(first), "s-1.1")
        later = starts.number
        self.assertEqual(starts.ended(second), "s-1.1")
        self.assertEqual(starts.ended(later), "s-1.2")


if __name__ == "__main__":
    unittest.main()
