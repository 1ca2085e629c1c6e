"""Stand-in table behind a faulty network that loses, delays and duplicates calls."""

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
    """Configure the faults between one process and the table; may change at run time.

    :ivar unavailable: whether all calls time out without an effect.
    :ivar lost_answer_share: share of writes that take effect but time out.
    :ivar delayed_share: share of writes that time out and take effect later.
    :ivar double: share of writes that are applied a second time later.
    :ivar latency_s: mean latency of each direction of a call.
    :ivar late_by_s: maximum delay of writes that are applied later.
    """

    unavailable: bool = False
    lost_answer_share: float = 0.0
    delayed_share: float = 0.0
    double: float = 0.0
    latency_s: float = 0.005
    late_by_s: float = 20.0


class FaultyTable:
    """Give one process access to a shared table with its own faults.

    :param background: task group that applies delayed writes.
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
        """Carry out a transaction, subject to the configured faults."""
        faults = self._faults
        if faults.unavailable:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        chance = self._rng.random()
        if chance < faults.delayed_share:
            self._background.start_soon(self._apply_later, transaction)
            return await self._time_out(timeout_s)
        result = self._table.transact_now(transaction)
        if chance < faults.delayed_share + faults.double:
            self._background.start_soon(self._apply_later, transaction)
        elif chance < faults.delayed_share + faults.double + faults.lost_answer_share:
            return await self._time_out(timeout_s)
        await anyio.sleep(self._latency_s())
        return result

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Read rows unless the table is unavailable."""
        if self._faults.unavailable:
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
        """Return one page of a partition unless the table is unavailable."""
        if self._faults.unavailable:
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
        return Unknown(Reason.TIMEOUT, "no response from the table")

    async def _apply_later(self, transaction: Transaction) -> None:
        await anyio.sleep(self._faults.late_by_s * self._rng.random())
        self._table.transact_now(transaction)
