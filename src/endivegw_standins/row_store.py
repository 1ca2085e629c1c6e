"""In-memory row store with simulated network faults and a clock."""

from __future__ import annotations

import asyncio
from typing import Callable

import anyio
from attrs import define, field

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    HistoryGone,
    NewRow,
    StoredRow,
    StoreTimestamp,
)

__all__ = ["MemoryRows", "RowStoreClient"]


#: Delay of the writes of clients in :attr:`MemoryRows.late`.
_LATE_WRITE_DELAY_S = 4.0


@define
class MemoryRows:
    """Hold all rows and the faults of each client's connection.

    :ivar clock: returns the store's monotonic time in seconds.
    :ivar answer_s: round-trip time of a call.
    :ivar revision: revision of the last transaction.
    :ivar cut: clients whose calls time out without an effect.
    :ivar unanswered: clients whose calls take effect but time out.
    :ivar late: clients whose writes time out and take effect later.
    :ivar max_entries: maximum number of entries of one transaction.
    """

    clock: Callable[[], float]
    answer_s: float = 0.004
    revision: int = 0
    rows: dict[tuple[str, str], StoredRow] = field(factory=dict)
    cut: set[str] = field(factory=set)
    unanswered: set[str] = field(factory=set)
    late: set[str] = field(factory=set)
    max_entries: int = 100

    def timestamp(self) -> StoreTimestamp:
        """Return the newest revision and the reading of the store's clock."""
        return StoreTimestamp(self.revision, int(self.clock() * 1000))

    def apply(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        deletes: tuple[ExpectedRow, ...],
    ) -> Done[StoreTimestamp] | Conflict:
        """Apply all writes or none."""
        current = [self._current(row) for row in expected + deletes]
        for row, wanted in zip(current, expected + deletes):
            if row.revision != wanted.revision:
                return Conflict(tuple(current), self.timestamp())
        self.revision += 1
        for put in puts:
            row = StoredRow(put.table, put.key, put.value, self.revision)
            self.rows[put.table, put.key] = row
        for delete in deletes:
            self.rows.pop((delete.table, delete.key), None)
        return Done(self.timestamp())

    def listed(self, table: str) -> Changes:
        """Return all rows of a table."""
        rows = tuple(row for (name, _), row in self.rows.items() if name == table)
        return Changes(rows, self.timestamp())

    def _current(self, row: ExpectedRow) -> StoredRow:
        absent = StoredRow(row.table, row.key, b"", 0, True)
        return self.rows.get((row.table, row.key), absent)


@define
class RowStoreClient:
    """Give one router access to the store.

    :param name: the router's name in the store's fault settings.
    """

    name: str
    store: MemoryRows

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Apply all writes or none, subject to this client's faults."""
        if self.name in self.store.cut:
            return await self._time_out(timeout_s)
        await anyio.sleep(self.store.answer_s / 2)
        entries = len(expected) + len(puts) + 2 * len(deletes)
        if entries > self.store.max_entries:
            return Refused(Reason.UNREACHABLE, "HTTP 400: transaction is too large")
        if self.name in self.store.late:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _LATE_WRITE_DELAY_S, self.store.apply, expected, puts, deletes
            )
            return await self._time_out(timeout_s)
        result = self.store.apply(expected, puts, deletes)
        if self.name in self.store.unanswered:
            return await self._time_out(timeout_s)
        await anyio.sleep(self.store.answer_s / 2)
        return result

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a table; partitions are not simulated."""
        if self.name in self.store.cut | self.store.unanswered:
            return await self._time_out(timeout_s)
        await anyio.sleep(self.store.answer_s / 2)
        changes = self.store.listed(table)
        await anyio.sleep(self.store.answer_s / 2)
        return Done(changes)

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes after a revision, once the wait is over."""
        await anyio.sleep(wait_s)
        if self.name in self.store.cut:
            return Unknown(Reason.TIMEOUT, "no response from the store")
        changes = self.store.listed(table)
        rows = tuple(row for row in changes.rows if row.revision > after_revision)
        return Done(Changes(rows, changes.timestamp))

    async def _time_out(self, timeout_s: float) -> Unknown:
        await anyio.sleep(timeout_s)
        return Unknown(Reason.TIMEOUT, "no response from the store")
