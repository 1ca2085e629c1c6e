"""The configuration of one process: polled from the table, never going back."""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.configuration import EMPTY_SNAPSHOT, Snapshot
from endivegw.configuration.store import load_revision, load_snapshot
from endivegw.exceptions import InvariantError
from endivegw.platform import TablePort
from endivegw.results import Done
from endivegw.types import ConfigRevision

__all__ = ["HeldConfiguration"]


class HeldConfiguration:
    """Hold the newest snapshot that this process has.

    :param poll_interval_s: mean time between two looks at the revision row.
    """

    def __init__(
        self,
        table: TablePort,
        rng: random.Random,
        *,
        poll_interval_s: float = 1.0,
        timeout_s: float = 2.0,
    ) -> None:
        self._table = table
        self._rng = rng
        self._poll_interval_s = poll_interval_s
        self._timeout_s = timeout_s
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._heard = ConfigRevision(0)
        self._wake = anyio.Event()
        self._changed = anyio.Event()
        self.snapshot = EMPTY_SNAPSHOT

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision that is held whole; 0 for none."""
        return self.snapshot.revision

    @property
    def ready(self) -> bool:
        """Return whether this process has heard the table since it started."""
        return self.snapshot.revision > 0

    def heard(self, revision: ConfigRevision) -> None:
        """Learn from a peer that a revision exists."""
        if revision > max(self._heard, self.revision):
            self._heard = revision
            self._wake.set()

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Call a listener with each newer snapshot."""
        self._listeners.append(listener)

    async def wait_until_current(self) -> None:
        """Wait until the newest revision that was heard of is in force here."""
        while self.revision < self._heard:
            await self._changed.wait()

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the encoded snapshot where it is newer."""
        return b""

    def adopt(self, snapshot: Snapshot) -> None:
        """Take over a snapshot; an older one is a broken promise."""
        if snapshot.revision < self.revision:
            raise InvariantError(
                f"revision {snapshot.revision} would replace {self.revision}"
            )
        if snapshot.revision > self.revision:
            self.snapshot = snapshot
            for listener in self._listeners:
                listener(snapshot)
            self._changed.set()
            self._changed = anyio.Event()

    async def run(self) -> None:
        """Poll for as long as the process lives."""
        while True:
            await self._poll()
            # Jitter keeps a thousand processes from asking at the same moment.
            wait_s = self._poll_interval_s * self._rng.uniform(0.5, 1.5)
            with anyio.move_on_after(wait_s):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _poll(self) -> None:
        newest = await load_revision(self._table, timeout_s=self._timeout_s)
        if not isinstance(newest, Done) or newest.value <= self.revision:
            return
        loaded = await load_snapshot(self._table, timeout_s=self._timeout_s)
        if isinstance(loaded, Done) and loaded.value.revision > self.revision:
            self.adopt(loaded.value)
