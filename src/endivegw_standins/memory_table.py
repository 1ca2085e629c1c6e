"""The stand-in table's rows and transactions, in memory, without sockets."""

from __future__ import annotations

import bisect

from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import (
    MAX_TRANSACTION_ITEMS,
    Add,
    Check,
    Delete,
    Page,
    Put,
    Row,
    RowKey,
    RowValue,
    Transaction,
    Write,
)

__all__ = ["MemoryTable"]


class MemoryTable:
    """Keep rows and carry out transactions, as the platform's table does.

    :ivar reads: how many rows or pages were asked for.
    :ivar writes: how many transactions were asked for.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0
        self._partitions: dict[str, dict[str, Row]] = {}
        self._sorted: dict[str, list[str]] = {}

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Carry out all writes, or none and refuse with ``CONFLICT``."""
        return self.transact_now(transaction)

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys."""
        self.reads += len(keys)
        return Done(tuple(self.get(key) for key in keys))

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """Return up to ``limit`` rows of the partition in sort order."""
        self.reads += 1
        return Done(self.page(partition, prefix, after, limit))

    def transact_now(self, transaction: Transaction) -> Done[None] | Refused:
        """Carry out a transaction without a wait, for tests and the server."""
        self.writes += 1
        writes = transaction.writes
        if not 0 < len(writes) <= MAX_TRANSACTION_ITEMS:
            return Refused(Reason.BAD_REQUEST, "a transaction holds 1 to 100 items")
        if len({write.key for write in writes}) != len(writes):
            return Refused(Reason.BAD_REQUEST, "a transaction names a row twice")
        for write in writes:
            if not self._holds(write):
                return Refused(Reason.CONFLICT, f"condition failed on {write.key}")
        for write in writes:
            self._apply(write)
        return Done(None)

    def get(self, key: RowKey) -> Row | None:
        """Return one row, None where it is absent."""
        return self._partitions.get(key.partition, {}).get(key.sort)

    def page(self, partition: str, prefix: str, after: str | None, limit: int) -> Page:
        """Return one page of a partition."""
        names = self._sorted.get(partition, [])
        start = bisect.bisect_left(names, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(names, after))
        rows: list[Row] = []
        for name in names[start:]:
            if not name.startswith(prefix):
                break
            if len(rows) == limit:
                return Page(tuple(rows), rows[-1].key.sort)
            rows.append(self._partitions[partition][name])
        return Page(tuple(rows), None)

    def _holds(self, write: Write) -> bool:
        row = self.get(write.key)
        version = row.version if row else 0
        match write:
            case Put(expected_version=None):
                return True
            case Put() | Delete() | Check():
                return version == write.expected_version
            case Add():
                if row is None:
                    return False
                fields = row.fields
                return all(
                    int(fields.get(name, 0)) >= least
                    for name, least in write.minimums.items()
                )

    def _apply(self, write: Write) -> None:
        row = self.get(write.key)
        version = row.version if row else 0
        match write:
            case Put():
                self._store(Row(write.key, version + 1, dict(write.fields)))
            case Delete():
                del self._partitions[write.key.partition][write.key.sort]
                self._sorted[write.key.partition].remove(write.key.sort)
            case Add():
                assert row is not None
                fields: dict[str, RowValue] = dict(row.fields)
                for name, delta in write.deltas.items():
                    fields[name] = int(fields.get(name, 0)) + delta
                self._store(Row(write.key, version + 1, fields))
            case Check():
                pass

    def _store(self, row: Row) -> None:
        rows = self._partitions.setdefault(row.key.partition, {})
        if row.key.sort not in rows:
            bisect.insort(self._sorted.setdefault(row.key.partition, []), row.key.sort)
        rows[row.key.sort] = row
