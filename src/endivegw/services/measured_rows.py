"""Row store wrapper that records the duration of each call."""

from __future__ import annotations

from typing import Callable, Protocol

from attrs import frozen

from endivegw.results import Done, Refused, Unknown
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    HistoryGone,
    NewRow,
    RowStorePort,
    StoreTimestamp,
)

__all__ = ["CallMeter", "TimedRowStore"]


class CallMeter(Protocol):
    """Record the durations of store calls."""

    def store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Record one call; ``outcome`` is the result's class name in lower case."""


@frozen
class TimedRowStore:
    """Forward calls to a store and report their durations to a meter."""

    store: RowStorePort
    meter: CallMeter
    clock: Callable[[], float]

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Apply all writes or none."""
        started_s = self.clock()
        result = await self.store.transact(
            expected, puts, deletes=deletes, timeout_s=timeout_s
        )
        self._record("write", result, started_s)
        return result

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return a consistent snapshot of a table's partition."""
        started_s = self.clock()
        result = await self.store.list_rows(
            table, timeout_s=timeout_s, partition=partition
        )
        self._record("list", result, started_s)
        return result

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes after a revision, as soon as there are any."""
        started_s = self.clock()
        result = await self.store.watch(
            table, after_revision, wait_s=wait_s, timeout_s=timeout_s
        )
        self._record("watch", result, started_s)
        return result

    def _record(self, call: str, result: object, started_s: float) -> None:
        outcome = type(result).__name__.lower()
        self.meter.store_call(call, outcome, self.clock() - started_s)
