"""The stand-in table as seen over a bad network: away, late, lost and doubled."""

from __future__ import annotations

import random

import anyio
from anyio.abc import TaskGroup
from attrs import define

from endivegw.results import Done, Reason, Result, Unknown
from endivegw.services import Page, Row, RowKey, Transaction
from endivegw_standins.memory_table import MemoryTable

__all__ = ["FaultyTable", "TableFaults"]


@define
class TableFaults:
    """Hold what goes wrong between one process and the table; may be changed.

    :ivar away: no call gets through.
    :ivar lose_answer: share of writes that take effect and are not answered.
    :ivar late: share of writes that are not answered and take effect later.
    :ivar double: share of writes that arrive a second time later.
    """

    away: bool = False
    lose_answer: float = 0.0
    late: float = 0.0
    double: float = 0.0
    latency_s: float = 0.005
    late_by_s: float = 20.0


class FaultyTable:
    """Give one process its view of a shared table.

    :param background: where writes that arrive later wait.
    """

    def __init__(
        self,
        table: MemoryTable,
        faults: TableFaults,
        rng: random.Random,
        background: TaskGroup,
    ) -> None:
        self._table = table
        self._faults = faults
        self._rng = rng
        self._background = background

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Write, or fail in one of the ways that the faults name."""
        faults = self._faults
        if faults.away:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        chance = self._rng.random()
        if chance < faults.late:
            self._background.start_soon(self._arrive_late, transaction)
            return await self._time_out(timeout_s)
        result = self._table.transact_now(transaction)
        if chance < faults.late + faults.double:
            self._background.start_soon(self._arrive_late, transaction)
        elif chance < faults.late + faults.double + faults.lose_answer:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        return result

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Read, unless the table is away."""
        if self._faults.away:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        result = await self._table.read(keys, timeout_s=timeout_s)
        await anyio.sleep(self._latency_s())
        return result

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """List a page, unless the table is away."""
        if self._faults.away:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        self._table.reads += 1
        page = self._table.page(partition, prefix, after, limit)
        await anyio.sleep(self._latency_s())
        return Done(page)

    def _latency_s(self) -> float:
        return self._faults.latency_s * (0.5 + self._rng.random())

    async def _time_out(self, timeout_s: float) -> Unknown:
        await anyio.sleep(timeout_s)
        return Unknown(Reason.TIMEOUT, "no answer from the table")

    async def _arrive_late(self, transaction: Transaction) -> None:
        await anyio.sleep(self._faults.late_by_s * self._rng.random())
        self._table.transact_now(transaction)
