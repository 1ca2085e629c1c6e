"""Follow one table of the store: list it once, then read what changes."""

from __future__ import annotations

from typing import Callable, Protocol

import anyio

from endivegw.results import Done, Refused, Unknown
from endivegw.services.row_store import Changes, HistoryGone, RowStorePort, StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["FeedReader", "RowFeed"]

#: How long one read waits for a change. Short, because a connection may fall
#: silent without a reset: the next read then shows it.
_WAIT_S = 0.5

#: What the answer may take beyond the wait; a hundred times the usual.
_ANSWER_S = 0.5

#: The listing is read again this often: a feed may say nothing for a second
#: while rows change and its history is dropped.
_LIST_EVERY_S = 5.0

#: Pause after a read that failed at once.
_PAUSE_S = 0.15


class FeedReader(Protocol):
    """Take in what a table says."""

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in all rows of the table."""

    def changed(self, row: StoredRow) -> None:
        """Take in one row that was written or deleted."""

    def lost(self) -> None:
        """Note that the store does not answer."""

    def heard(self) -> None:
        """Note an answer of the store, before what it says."""


class RowFeed:
    """Keep a reader up to date with one table."""

    def __init__(
        self,
        store: RowStorePort,
        table: str,
        reader: FeedReader,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._store = store
        self._table = table
        self._reader = reader
        self._clock = clock
        self._log = log
        self._revision: int | None = None
        self._listed_s = 0.0
        self._away_since_s: float | None = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._revision is None:
                ok = await self._list()
            else:
                ok = await self._watch(self._revision)
            if not ok:
                await anyio.sleep(_PAUSE_S)

    async def _list(self) -> bool:
        result = await self._store.list_rows(self._table, timeout_s=_WAIT_S + _ANSWER_S)
        if not isinstance(result, Done):
            self._lost(result)
            return False
        self._heard(result.value)
        self._reader.listed(result.value.rows)
        self._listed_s = self._clock()
        self._revision = result.value.timestamp.revision
        return True

    async def _watch(self, revision: int) -> bool:
        result = await self._store.watch(
            self._table, revision, wait_s=_WAIT_S, timeout_s=_WAIT_S + _ANSWER_S
        )
        match result:
            case Done(changes):
                self._heard(changes)
                for row in changes.rows:
                    self._reader.changed(row)
                self._revision = max(revision, changes.timestamp.revision)
                if self._clock() - self._listed_s > _LIST_EVERY_S:
                    self._revision = None
                return True
            case HistoryGone():
                self._revision = None
                return True
        self._lost(result)
        return False

    def _heard(self, changes: Changes) -> None:
        if self._away_since_s is not None:
            self._log.emit(
                events.FEED_RECOVERED,
                table=self._table,
                away_s=round(self._clock() - self._away_since_s, 3),
                revision=changes.timestamp.revision,
            )
            self._away_since_s = None
        self._reader.heard()

    def _lost(self, result: Refused | Unknown) -> None:
        # What has changed may be more than an answer can bring in its time: versions
        # that follow each other at once, over a slow link. Asked for again from the
        # same revision it only grows; a listing has the newest of each row.
        self._revision = None
        if self._away_since_s is None:
            self._away_since_s = self._clock()
            self._log.emit(
                events.FEED_LOST, table=self._table, reason=result.reason.value
            )
        self._reader.lost()
