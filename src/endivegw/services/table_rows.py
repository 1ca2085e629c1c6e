"""Row store implemented on the transactional table service."""

from __future__ import annotations

import sys

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.ports import (
    Delete,
    Page,
    Put,
    Row,
    RowKey,
    TablePort,
    Transaction,
    Write,
)
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    NewRow,
    StoredRow,
    StoreTimestamp,
)

__all__ = ["TableRows"]

_VALUE = "value"

#: The table counts versions per row and has no global revision.
_NEWEST = StoreTimestamp(sys.maxsize, 0)


class TableRows:
    """Read and write small rows.

    A row's revision is its version in the table.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a table, reading page by page."""
        found: list[StoredRow] = []
        after: str | None = None
        while True:
            page: Result[Page] = await self._table.scan(
                table, after=after, timeout_s=timeout_s
            )
            if not isinstance(page, Done):
                return page
            found += [_stored(table, row) for row in page.value.rows]
            after = page.value.next_sort
            if after is None:
                return Done(Changes(tuple(found), _NEWEST))

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Write or delete one row.

        :param expected: the row to write, with its current revision.
        """
        (row,) = expected or deletes
        key = RowKey(row.table, row.key)
        write: Write = Delete(key, row.revision)
        if puts:
            fields = {_VALUE: puts[0].value.decode()}
            write = Put(key, fields, row.revision)
        result = await self._table.transact(Transaction((write,)), timeout_s=timeout_s)
        match result:
            case Done():
                return Done(StoreTimestamp(row.revision + 1, 0))
            case Refused(reason=Reason.CONFLICT):
                return await self._conflict(row, key, timeout_s)
        return result

    async def _conflict(
        self, expected: ExpectedRow, key: RowKey, timeout_s: float
    ) -> Conflict | Refused | Unknown:
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done):
            return result
        (row,) = result.value
        if row is None:
            absent = StoredRow(expected.table, expected.key, b"", 0, True)
            return Conflict((absent,), _NEWEST)
        return Conflict((_stored(expected.table, row),), _NEWEST)


def _stored(table: str, row: Row) -> StoredRow:
    value = str(row.fields.get(_VALUE, "")).encode()
    return StoredRow(table, row.key.sort, value, row.version)
