"""Save the records of a router in its row, for the next process on its vm."""

from __future__ import annotations

from typing import Callable, Iterable

import anyio

from endivegw.results import Done
from endivegw.services.row_store import Conflict, ExpectedRow, NewRow, RowsPort
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.streams.records import StreamRecord
from endivegw.streams.rows import RECORDS_TABLE, decode_records, encode_records
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RecordSaver"]

#: Interval between writes; records of streams that began since are lost with the
#: processes that hold them.
_INTERVAL_S = 1.0

#: Maximum time for one call to the store.
_TIMEOUT_S = 1.0


class RecordSaver:
    """Write the records that a router holds to its row, and read them at its start.

    The routers that keep a record are chosen by vm, so the next process on a vm is
    asked for the records of the one before.

    :param records: returns the records to be saved, none while there is no need.
    :param restore: takes the records of the process before.
    """

    def __init__(
        self,
        store: RowsPort,
        vm: str,
        records: Callable[[], list[StreamRecord]],
        restore: Callable[[Iterable[StreamRecord]], None],
        log: EventLog,
    ) -> None:
        self._store = store
        self._vm = vm
        self._records = records
        self._restore = restore
        self._unreadable = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)
        self._saved: frozenset[StreamRecord] = frozenset()
        self._revision = 0

    async def run(self) -> None:
        """Read the row, then write it at intervals if it has changed."""
        while not await self._load():
            await anyio.sleep(_INTERVAL_S)
        while True:
            await anyio.sleep(_INTERVAL_S)
            await self._save()

    async def _load(self) -> bool:
        result = await self._store.list_rows(
            RECORDS_TABLE, timeout_s=_TIMEOUT_S, partition=self._vm
        )
        if not isinstance(result, Done):
            return False
        for row in result.value.rows:
            if row.key != self._vm:
                continue
            self._revision = row.revision
            try:
                self._restore(decode_records(row.value))
            except ValueError as error:
                self._unreadable.record(row, error)
        return True

    async def _save(self) -> None:
        records = self._records()
        if self._saved.issuperset(records):
            return
        result = await self._store.transact(
            (ExpectedRow(RECORDS_TABLE, self._vm, self._revision, self._vm),),
            (NewRow(RECORDS_TABLE, self._vm, encode_records(records), self._vm),),
            timeout_s=_TIMEOUT_S,
        )
        if isinstance(result, Done):
            self._revision = result.value.revision
            self._saved = frozenset(records)
        elif isinstance(result, Conflict):
            # An earlier write took effect although it was not answered.
            self._revision = result.rows[0].revision
