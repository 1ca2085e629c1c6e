"""Tests of the row store on the transactional table, and of engine start ids."""

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
    """Return a row with the revision that a writer expects."""
    return ExpectedRow(QUARANTINE_TABLE, key, revision)


def new(key: str, value: bytes) -> NewRow:
    """Return a row to be written."""
    return NewRow(QUARANTINE_TABLE, key, value)


class TableRowsTests(unittest.TestCase):
    """Concurrent writers of one row get conflicts instead of lost updates."""

    def test_stale_write_conflicts(self) -> None:
        """Two routers must not overwrite each other's evidence."""

        async def run() -> None:
            rows = TableRows(MemoryTable())
            first = await rows.transact(
                (expected("a", 0),), (new("a", b"1"),), timeout_s=1.0
            )
            assert isinstance(first, Done)
            conflict = await rows.transact(
                (expected("a", 0),), (new("a", b"2"),), timeout_s=1.0
            )
            assert isinstance(conflict, Conflict)
            self.assertEqual(conflict.rows[0].value, b"1")
            self.assertEqual(conflict.rows[0].revision, first.value.revision)
            again = await rows.transact(
                (expected("a", conflict.rows[0].revision),),
                (new("a", b"12"),),
                timeout_s=1.0,
            )
            assert isinstance(again, Done)
            listed = await rows.list_rows(QUARANTINE_TABLE, timeout_s=1.0)
            assert isinstance(listed, Done)
            found = [(row.key, row.value) for row in listed.value.rows]
            self.assertEqual(found, [("a", b"12")])

        anyio.run(run)

    def test_delete_requires_the_current_revision(self) -> None:
        """A row must not be deleted after it was written again for a new request."""

        async def run() -> None:
            rows = TableRows(MemoryTable())
            for revision in (0, 1):
                await rows.transact(
                    (expected("a", revision),), (new("a", b"1"),), timeout_s=1.0
                )
            conflict = await rows.transact(
                (), (), deletes=(expected("a", 1),), timeout_s=1
            )
            self.assertIsInstance(conflict, Conflict)
            done = await rows.transact((), (), deletes=(expected("a", 2),), timeout_s=1)
            self.assertIsInstance(done, Done)
            listed = await rows.list_rows(QUARANTINE_TABLE, timeout_s=1.0)
            assert isinstance(listed, Done)
            self.assertEqual(listed.value.rows, ())
            absent = await rows.transact(
                (expected("a", 2),), (new("a", b"1"),), timeout_s=1.0
            )
            assert isinstance(absent, Conflict)
            self.assertTrue(absent.rows[0].deleted)

        anyio.run(run)


class EngineStartsTests(unittest.TestCase):
    """Generations of one engine refer to the engine start that they belong to."""

    def test_one_termination_has_one_id(self) -> None:
        """One termination of an engine must not be counted once per generation."""
        starts = EngineStarts(InstanceId("s-1"))
        first = second = starts.number
        self.assertEqual(starts.record_termination(first), "s-1.1")
        later = starts.number
        self.assertEqual(starts.record_termination(second), "s-1.1")
        self.assertEqual(starts.record_termination(later), "s-1.2")


if __name__ == "__main__":
    unittest.main()
