"""Following a table of a store over a slow link."""

from __future__ import annotations

import unittest
from typing import Any

import anyio

from endivegw.daemons.row_feed import RowFeed
from endivegw.results import Done, Reason, Unknown
from endivegw.services.row_store import Changes, StoredRow, StoreTimestamp
from endivegw.telemetry import EventLog


class SlowLinkStore:
    """Hold one row with many versions, of which an answer can carry three in time.

    :ivar version: the newest version.
    """

    def __init__(self) -> None:
        self.version = 1

    async def list_rows(self, table: str, **options: Any) -> Done[Changes]:
        """Return only the newest version."""
        return Done(self._changes(self.version, self.version))

    async def watch(
        self, table: str, after_revision: int, **options: Any
    ) -> Done[Changes] | Unknown:
        """Return all versions after a revision, or time out if they are too many."""
        await anyio.sleep(0.001)
        if self.version - after_revision > 3:
            return Unknown(Reason.TIMEOUT, "no answer within the timeout")
        return Done(self._changes(after_revision + 1, self.version))

    def _changes(self, first: int, last: int) -> Changes:
        rows = tuple(
            StoredRow("op", "config", b"%d" % number, number, False)
            for number in range(first, last + 1)
        )
        return Changes(rows, StoreTimestamp(last, 0))


class Reader:
    """Record the newest value that the feed delivers."""

    def __init__(self) -> None:
        self.newest = b""

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Receive a listing."""
        for row in rows:
            self.on_row(row)

    def on_row(self, row: StoredRow) -> None:
        """Receive a row."""
        self.newest = row.value

    def on_unavailable(self) -> None:
        """Ignore outages."""

    def on_response(self) -> None:
        """Ignore answers."""


class FailingReader(Reader):
    """Fail to handle a listing and one row."""

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Fail."""
        raise LookupError("an unexpected error")

    def on_row(self, row: StoredRow) -> None:
        """Fail on the second version."""
        if row.value == b"2":
            raise LookupError("an unexpected error")
        super().on_row(row)


class WaitingStore(SlowLinkStore):
    """Answer a read that waits for a change never, as on a connection that is dead."""

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, **options: Any
    ) -> Done[Changes] | Unknown:
        """Return the changes only to a read that does not wait."""
        if wait_s:
            await anyio.sleep_forever()
        return Done(self._changes(after_revision + 1, self.version))


class RefreshTests(unittest.TestCase):
    """Changes are read now, besides the feed's reads that wait for one."""

    # Guards against a refresh that relies on the feed's own read, which hears nothing.
    def test_changes_are_delivered_while_the_feed_hears_nothing(self) -> None:
        async def scenario() -> None:
            store, reader = WaitingStore(), Reader()
            feed = RowFeed(store, "op", reader, anyio.current_time, EventLog("test"))
            self.assertFalse(await feed.refresh(0.05))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                self.assertTrue(await feed.refresh(1.0))
                store.version = 2
                self.assertTrue(await feed.refresh(1.0))
                self.assertEqual(reader.newest, b"2")
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


class RowFeedTests(unittest.TestCase):
    """The newest state must arrive even if single answers time out."""

    def test_a_burst_of_versions_over_a_slow_link_arrives(self) -> None:
        """Configurations of 60 KB are written in quick succession, at 5 Mbit/s.

        The feed's answer contains all of them and times out, and each repeated
        request returns even more. The router would stay at an old version, and
        callers of new routes would get 404 long after the operator's change was
        acknowledged.
        """

        async def scenario() -> None:
            store, reader = SlowLinkStore(), Reader()
            feed = RowFeed(store, "op", reader, anyio.current_time, EventLog("router"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                with anyio.fail_after(2):
                    while reader.newest != b"1":
                        await anyio.sleep(0.005)
                    store.version = 20
                    while reader.newest != b"20":
                        await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    # Guards against a row that keeps all further rows from a reader.
    def test_a_row_that_cannot_be_handled_is_left_out(self) -> None:
        async def scenario() -> None:
            store, reader = SlowLinkStore(), FailingReader()
            feed = RowFeed(store, "op", reader, anyio.current_time, EventLog("r"))
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(feed.run)
                    for version in (2, 3):
                        await anyio.sleep(0.05)
                        store.version = version
                    while reader.newest != b"3":
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()

        anyio.run(scenario)
