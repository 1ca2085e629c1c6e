"""The table and the object store behind timeouts, retries and a circuit."""

from __future__ import annotations

import random
from typing import Any, Awaitable, Callable, Hashable, TypeVar

import anyio
from attrs import define, field

from endivegw.results import Reason, Refused, Result
from endivegw.services.circuit import Circuit
from endivegw.services.guard import Guard
from endivegw.services.ports import (
    ListedVm,
    ObjectStorePort,
    Page,
    Row,
    RowKey,
    StoredObject,
    TablePort,
    Transaction,
    VmListPort,
    WeightStorePort,
)
from endivegw.services.rate_cap import RateCap, TableShares

__all__ = ["GuardedObjects", "GuardedTable", "GuardedVmList", "GuardedWeightStore"]

T = TypeVar("T")


@define
class _Flight:
    """Hold one read on its way, which others with the same question share."""

    done: anyio.Event = field(factory=anyio.Event)
    result: Result[Any] | None = None


class _Coalescer:
    """Let equal reads that overlap share one call.

    Many requests of one account miss the same row at the same moment. A read
    that begins after a write of this process has ended must see that write,
    so it joins no read from before: each write starts a new generation.
    """

    def __init__(self) -> None:
        self._flights: dict[Hashable, _Flight] = {}
        self._generation = 0

    def forget(self) -> None:
        """Let later reads join none that has begun by now."""
        self._generation += 1

    async def share(
        self,
        question: Hashable,
        ask: Callable[[], Awaitable[Result[T]]],
        *,
        timeout_s: float,
    ) -> Result[T]:
        """Return the answer of a read on its way, or ask."""
        key = (self._generation, question)
        flight = self._flights.get(key)
        if flight is None:
            return await self._lead(key, ask)
        with anyio.move_on_after(timeout_s):
            await flight.done.wait()
            if flight.result is not None:
                return flight.result
            # The asker was cancelled and took no answer home.
            return await ask()
        return Refused(Reason.TIMEOUT, "an equal read gave no answer in time")

    async def _lead(
        self, key: Hashable, ask: Callable[[], Awaitable[Result[T]]]
    ) -> Result[T]:
        flight: _Flight = _Flight()
        self._flights[key] = flight
        try:
            result = await ask()
            flight.result = result
            return result
        finally:
            self._flights.pop(key, None)
            flight.done.set()


class GuardedTable:
    """Guard a table; see :class:`endivegw.services.guard.Guard`.

    Reads and writes have one circuit, since one service answers both, and
    each its own rate cap.
    """

    def __init__(
        self,
        table: TablePort,
        *,
        daemons: int = 30,
        random_source: random.Random | None = None,
    ) -> None:
        source = random_source or random.Random()
        shares = TableShares.of_fleet(daemons)
        self.circuit = Circuit(random=source)
        self._reads = Guard(
            "table", self.circuit, RateCap(shares.reads_per_s), random=source
        )
        self._writes = Guard(
            "table", self.circuit, RateCap(shares.writes_per_s), random=source
        )
        self._table = table
        self._coalescer = _Coalescer()

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Write all or nothing; never again after an unknown outcome."""
        self._coalescer.forget()
        try:
            return await self._writes.call(
                lambda left_s: self._table.transact(transaction, timeout_s=left_s),
                timeout_s=timeout_s,
                changes=True,
            )
        finally:
            self._coalescer.forget()

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys."""

        async def ask() -> Result[tuple[Row | None, ...]]:
            return await self._reads.call(
                lambda left_s: self._table.read(keys, timeout_s=left_s),
                timeout_s=timeout_s,
                changes=False,
            )

        return await self._coalescer.share(keys, ask, timeout_s=timeout_s)

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """Return one page of a partition."""

        async def ask() -> Result[Page]:
            return await self._reads.call(
                lambda left_s: self._table.scan(
                    partition,
                    prefix=prefix,
                    after=after,
                    limit=limit,
                    timeout_s=left_s,
                ),
                timeout_s=timeout_s,
                changes=False,
            )

        question = (partition, prefix, after, limit)
        return await self._coalescer.share(question, ask, timeout_s=timeout_s)


class GuardedObjects:
    """Guard an object store in the same way."""

    #: Objects are read and written for snapshots and exports only; a daemon
    #: that wants more than one a second is out of order.
    CALLS_PER_S = 1.0

    def __init__(
        self, objects: ObjectStorePort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = Circuit(random=source)
        cap = RateCap(self.CALLS_PER_S)
        self._guard = Guard("object store", self.circuit, cap, random=source)
        self._objects = objects

    async def get(self, name: str, *, timeout_s: float) -> Result[StoredObject]:
        """Return the object."""
        return await self._guard.call(
            lambda left_s: self._objects.get(name, timeout_s=left_s),
            timeout_s=timeout_s,
            changes=False,
        )

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag; never again after an unknown outcome."""
        return await self._guard.call(
            lambda left_s: self._objects.put(
                name, body, expected_tag=expected_tag, timeout_s=left_s
            ),
            timeout_s=timeout_s,
            changes=True,
        )


class GuardedVmList:
    """Guard the VM list in the same way; equal readings share one call."""

    #: The list is read each half a minute, and more often only at a start.
    CALLS_PER_S = 1.0

    def __init__(
        self, vms: VmListPort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = Circuit(random=source)
        cap = RateCap(self.CALLS_PER_S)
        self._guard = Guard("VM list", self.circuit, cap, random=source)
        self._vms = vms
        self._coalescer = _Coalescer()

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the machines that the platform knows of."""

        async def ask() -> Result[tuple[ListedVm, ...]]:
            return await self._guard.call(
                lambda left_s: self._vms.list_vms(timeout_s=left_s),
                timeout_s=timeout_s,
                changes=False,
            )

        return await self._coalescer.share("list", ask, timeout_s=timeout_s)


class GuardedWeightStore:
    """Guard the weight store in the same way.

    The store limits its rate itself; a refusal that says when to come back is
    tried again then, where the caller has the time.
    """

    #: A sidecar asks before a load, of which there is one at a time.
    CALLS_PER_S = 1.0

    def __init__(
        self, weights: WeightStorePort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = Circuit(random=source)
        cap = RateCap(self.CALLS_PER_S)
        self._guard = Guard("weight store", self.circuit, cap, random=source)
        self._weights = weights

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return how large the weights of a model or adapter are."""
        return await self._guard.call(
            lambda left_s: self._weights.size_bytes(name, timeout_s=left_s),
            timeout_s=timeout_s,
            changes=False,
        )
