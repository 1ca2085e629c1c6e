"""A store of rows whose calls are timed."""

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
    StoreMoment,
)

__all__ = ["CallMeter", "MeasuredRows"]


class CallMeter(Protocol):
    """Take what calls took."""

    def store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Record one call; ``outcome`` is the result's kind in lower case."""


@frozen
class MeasuredRows:
    """Pass calls on to a store, and tell a meter how long each took."""

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
    ) -> Done[StoreMoment] | Conflict | Refused | Unknown:
        """Write all or nothing."""
        begun_s = self.clock()
        result = await self.store.transact(
            expected, puts, deletes=deletes, timeout_s=timeout_s
        )
        self._note("write", result, begun_s)
        return result

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a table's partition as of one moment."""
        begun_s = self.clock()
        result = await self.store.list_rows(
            table, timeout_s=timeout_s, partition=partition
        )
        self._note("list", result, begun_s)
        return result

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes since a revision, as soon as there is one."""
        begun_s = self.clock()
        result = await self.store.watch(
            table, after_revision, wait_s=wait_s, timeout_s=timeout_s
        )
        self._note("watch", result, begun_s)
        return result

    def _note(self, call: str, result: object, begun_s: float) -> None:
        outcome = type(result).__name__.lower()
        self.meter.store_call(call, outcome, self.clock() - begun_s)
