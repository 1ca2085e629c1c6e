"""In-memory stand-in of the platform's transactional table, without sockets."""

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
    """Store rows and carry out transactions like the platform's table.

    :ivar reads: number of rows and pages requested.
    :ivar writes: number of transactions requested.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0
        self._partitions: dict[str, dict[str, Row]] = {}
        #: Sort keys of each partition, in ascending order.
        self._sort_keys: dict[str, list[str]] = {}

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Apply all writes, or refuse with ``CONFLICT`` if a condition fails."""
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
        """Return up to ``limit`` rows of a partition in sort order."""
        self.reads += 1
        return Done(self.page(partition, prefix, after, limit))

    def transact_now(self, transaction: Transaction) -> Done[None] | Refused:
        """Carry out a transaction synchronously, for tests and the server."""
        self.writes += 1
        writes = transaction.writes
        if not 0 < len(writes) <= MAX_TRANSACTION_ITEMS:
            return Refused(
                Reason.BAD_REQUEST,
                "transaction must have 1 to 100 items",
            )
        if len({write.key for write in writes}) != len(writes):
            return Refused(Reason.BAD_REQUEST, "transaction has two writes of one row")
        for write in writes:
            if not self._condition_holds(write):
                return Refused(Reason.CONFLICT, f"condition failed on {write.key}")
        for write in writes:
            self._apply(write)
        return Done(None)

    def get(self, key: RowKey) -> Row | None:
        """Return one row, or None if it does not exist."""
        return self._partitions.get(key.partition, {}).get(key.sort)

    def page(self, partition: str, prefix: str, after: str | None, limit: int) -> Page:
        """Return one page of a partition."""
        sort_keys = self._sort_keys.get(partition, [])
        start = bisect.bisect_left(sort_keys, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(sort_keys, after))
        rows: list[Row] = []
        for sort_key in sort_keys[start:]:
            if not sort_key.startswith(prefix):
                break
            if len(rows) == limit:
                return Page(tuple(rows), rows[-1].key.sort)
            rows.append(self._partitions[partition][sort_key])
        return Page(tuple(rows), None)

    def _condition_holds(self, write: Write) -> bool:
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
                    int(fields.get(name, 0)) >= minimum
                    for name, minimum in write.minimums.items()
                )

    def _apply(self, write: Write) -> None:
        row = self.get(write.key)
        version = row.version if row else 0
        match write:
            case Put():
                self._store(Row(write.key, version + 1, dict(write.fields)))
            case Delete():
                del self._partitions[write.key.partition][write.key.sort]
                self._sort_keys[write.key.partition].remove(write.key.sort)
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
            bisect.insort(
                self._sort_keys.setdefault(row.key.partition, []), row.key.sort
            )
        rows[row.key.sort] = row
