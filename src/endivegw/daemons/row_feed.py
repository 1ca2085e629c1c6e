"""Follow one table of the row store: list it, then read its changes."""

from __future__ import annotations

from typing import Callable, Protocol

import anyio

from endivegw.results import Done, Refused, Unknown
from endivegw.services.row_store import Changes, HistoryGone, RowStorePort, StoredRow
from endivegw.supervision import contain, record_failure
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["FeedReader", "ReaderGroup", "RowFeed"]

#: How long one read waits for a change. Short, because a connection may stall
#: without a reset; the next read then detects it.
_WAIT_S = 0.5

#: Time allowed for an answer beyond the wait, a hundred times the usual time.
_ANSWER_TIMEOUT_S = 0.5

#: Interval at which the whole table is listed again. A feed may deliver nothing
#: for a second while rows change and their history is dropped.
_LIST_INTERVAL_S = 5.0

#: Interval at which a refresh looks whether the first listing has arrived.
_LISTING_POLL_S = 0.01

#: Pause after a failed read, which may have failed immediately.
_RETRY_PAUSE_S = 0.15


class FeedReader(Protocol):
    """Receive the rows of a table and the state of the store."""

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Receive all rows of the table.

        :param revision: revision of the store at the time of the listing, which may be
            older than rows received before.
        """

    def on_row(self, row: StoredRow) -> None:
        """Receive one row that was written or deleted."""

    def on_unavailable(self) -> None:
        """Record that the store does not answer."""

    def on_response(self) -> None:
        """Record an answer of the store, before its rows are delivered."""


class ReaderGroup:
    """Pass everything that a feed delivers to several readers, in order."""

    def __init__(self, *readers: FeedReader) -> None:
        self._readers = readers

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Pass on a listing."""
        for reader in self._readers:
            reader.on_listing(rows, revision)

    def on_row(self, row: StoredRow) -> None:
        """Pass on one row."""
        for reader in self._readers:
            reader.on_row(row)

    def on_unavailable(self) -> None:
        """Pass on that the store does not answer."""
        for reader in self._readers:
            reader.on_unavailable()

    def on_response(self) -> None:
        """Pass on that the store answered."""
        for reader in self._readers:
            reader.on_response()


class RowFeed:
    """Keep a reader up to date with one table.

    A row that the reader fails to handle is left out and logged.

    :ivar name: name of the feed's task in the log.
    """

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
        self.name = f"feed of {table}"
        self._revision: int | None = None
        self._listed_s = 0.0
        self._unavailable_since_s: float | None = None
        #: Held during listings and refreshes: a listing removes what is not on it, so
        #: that rows which are newer must not arrive first.
        self._reading = anyio.Lock()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._revision is None:
                ok = await self._list()
            else:
                ok = await self._watch(self._revision)
            if not ok:
                await anyio.sleep(_RETRY_PAUSE_S)

    async def refresh(self, timeout_s: float) -> bool:
        """Deliver the changes up to a moment after this call; return whether it did.

        The feed itself waits for changes, and shows only after a time that it is cut.
        """
        with anyio.move_on_after(timeout_s):
            while True:
                async with self._reading:
                    if self._revision is not None:
                        return await self._read_changes(self._revision, timeout_s)
                await anyio.sleep(_LISTING_POLL_S)
        return False

    async def _read_changes(self, revision: int, timeout_s: float) -> bool:
        """Deliver the changes since a revision without waiting for one."""
        result = await self._store.watch(
            self._table, revision, wait_s=0.0, timeout_s=timeout_s
        )
        if not isinstance(result, Done):
            return False
        self._deliver(result.value)
        return True

    async def _list(self) -> bool:
        async with self._reading:
            return await self._list_rows()

    async def _list_rows(self) -> bool:
        result = await self._store.list_rows(
            self._table, timeout_s=_WAIT_S + _ANSWER_TIMEOUT_S
        )
        if not isinstance(result, Done):
            self._on_failure(result)
            return False
        self._on_answer(result.value)
        self._deliver_listing(result.value)
        self._listed_s = self._clock()
        self._revision = result.value.timestamp.revision
        return True

    def _deliver_listing(self, changes: Changes) -> None:
        try:
            self._reader.on_listing(changes.rows, changes.timestamp.revision)
        except Exception as error:
            # The next listing is soon; until then, single rows are followed.
            record_failure(self._log, self.name, error)

    async def _watch(self, revision: int) -> bool:
        result = await self._store.watch(
            self._table, revision, wait_s=_WAIT_S, timeout_s=_WAIT_S + _ANSWER_TIMEOUT_S
        )
        match result:
            case Done(changes):
                self._deliver(changes)
                self._revision = max(revision, changes.timestamp.revision)
                if self._clock() - self._listed_s > _LIST_INTERVAL_S:
                    self._revision = None
                return True
            case HistoryGone():
                self._revision = None
                return True
        self._on_failure(result)
        return False

    def _deliver(self, changes: Changes) -> None:
        """Deliver changes, some of which may have been delivered before."""
        self._on_answer(changes)
        for row in changes.rows:
            contain(self._log, self.name, self._reader.on_row, row, row.key)

    def _on_answer(self, changes: Changes) -> None:
        if self._unavailable_since_s is not None:
            self._log.emit(
                events.FEED_RECOVERED,
                table=self._table,
                away_s=round(self._clock() - self._unavailable_since_s, 3),
                revision=changes.timestamp.revision,
            )
            self._unavailable_since_s = None
        self._reader.on_response()

    def _on_failure(self, result: Refused | Unknown) -> None:
        # Many versions in quick succession over a slow link may not fit into one
        # answer within its timeout. Requested again from the same revision the
        # changes only grow, whereas a listing holds the newest version of each row.
        self._revision = None
        if self._unavailable_since_s is None:
            self._unavailable_since_s = self._clock()
            self._log.emit(
                events.FEED_LOST, table=self._table, reason=result.reason.value
            )
        self._reader.on_unavailable()
