"""Follow a table of a store that is slow, forgets, or is away."""

from __future__ import annotations

import unittest
from typing import Any

import anyio

from endivegw.daemons.row_feed import RowFeed
from endivegw.results import Done, Reason, Unknown
from endivegw.services.row_store import Changes, StoredRow, StoreTimestamp
from endivegw.telemetry import EventLog


class SlowLinkStore:
    """Hold one row with many versions, of which an answer brings three in its time.

    :ivar version: the newest.
    """

    def __init__(self) -> None:
        self.version = 1

    async def list_rows(self, table: str, **options: Any) -> Done[Changes]:
        """Return the newest version alone."""
        return Done(self._changes(self.version, self.version))

    async def watch(
        self, table: str, after_revision: int, **options: Any
    ) -> Done[Changes] | Unknown:
        """Return all versions since one, or nothing where they are too many."""
        await anyio.sleep(0.001)
        if self.version - after_revision > 3:
            return Unknown(Reason.TIMEOUT, "not within its time")
        return Done(self._changes(after_revision + 1, self.version))

    def _changes(self, first: int, last: int) -> Changes:
        rows = tuple(
            StoredRow("op", "config", b"%d" % number, number, False)
            for number in range(first, last + 1)
        )
        return Changes(rows, StoreTimestamp(last, 0))


class Reader:
    """Note what the feed says."""

    def __init__(self) -> None:
        self.newest = b""

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in a listing."""
        for row in rows:
            self.changed(row)

    def changed(self, row: StoredRow) -> None:
        """Take in a row."""
        self.newest = row.value

    def lost(self) -> None:
        """Ignore outages."""

    def heard(self) -> None:
        """Ignore answers."""


class RowFeedTests(unittest.TestCase):
    """Bring the newest state, whatever becomes of single answers."""

    def test_a_burst_of_versions_over_a_slow_link_arrives(self) -> None:
        """Configurations of 60 KB come in quick succession, at a link of 5 Mbit/s.

        The feed's answer has all of them and is not there within its time. Asked for
        again it has still more. The router goes on with an old version, and callers
        of new routes get 404 long after the operator's change was acknowledged.
        """

        async def play() -> None:
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

        anyio.run(play)
