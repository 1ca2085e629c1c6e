"""Platform service clients with timeouts, retries, circuit breakers and rate limits."""

from __future__ import annotations

import random
from typing import Any, Awaitable, Callable, Hashable, TypeVar

import anyio
from attrs import define, field

from endivegw.results import Reason, Refused, Result
from endivegw.services.circuit import CircuitBreaker
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
from endivegw.services.rate_cap import RateLimiter, TableShares

__all__ = ["GuardedObjects", "GuardedTable", "GuardedVmList", "GuardedWeightStore"]

T = TypeVar("T")


@define
class _PendingRead:
    """Hold a read in progress, whose result equal reads share."""

    done: anyio.Event = field(factory=anyio.Event)
    result: Result[Any] | None = None


class _ReadCoalescer:
    """Let concurrent equal reads share one call.

    Many requests of one account may miss the same row at the same time. A read
    that starts after a write of this process has ended must see that write, so it
    must not join a read that started before: each write starts a new generation.
    """

    def __init__(self) -> None:
        self._pending: dict[Hashable, _PendingRead] = {}
        self._generation = 0

    def start_generation(self) -> None:
        """Prevent later reads from joining the reads that are in progress."""
        self._generation += 1

    async def share(
        self,
        query: Hashable,
        fetch: Callable[[], Awaitable[Result[T]]],
        *,
        timeout_s: float,
    ) -> Result[T]:
        """Return the result of an equal read in progress, or start a new one."""
        key = (self._generation, query)
        pending = self._pending.get(key)
        if pending is None:
            return await self._fetch_shared(key, fetch)
        with anyio.move_on_after(timeout_s):
            await pending.done.wait()
            if pending.result is not None:
                return pending.result
            # The task that made the call was cancelled before it had a result.
            return await fetch()
        return Refused(
            Reason.TIMEOUT, f"no response to an equal read within {timeout_s:g} s"
        )

    async def _fetch_shared(
        self, key: Hashable, fetch: Callable[[], Awaitable[Result[T]]]
    ) -> Result[T]:
        pending: _PendingRead = _PendingRead()
        self._pending[key] = pending
        try:
            result = await fetch()
            pending.result = result
            return result
        finally:
            self._pending.pop(key, None)
            pending.done.set()


class GuardedTable:
    """Guard a table; see :class:`endivegw.services.guard.Guard`.

    Reads and writes share one circuit breaker, because one service handles both,
    and have separate rate limits.

    :param daemons: number of daemons that share the table's capacity.
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
        self.circuit = CircuitBreaker(random=source)
        self._reads = Guard(
            "table", self.circuit, RateLimiter(shares.reads_per_s), random=source
        )
        self._writes = Guard(
            "table", self.circuit, RateLimiter(shares.writes_per_s), random=source
        )
        self._table = table
        self._coalescer = _ReadCoalescer()

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Apply all writes or none, without a retry after an unknown outcome."""
        self._coalescer.start_generation()
        try:
            return await self._writes.call(
                lambda remaining_s: self._table.transact(
                    transaction, timeout_s=remaining_s
                ),
                timeout_s=timeout_s,
                changes=True,
            )
        finally:
            self._coalescer.start_generation()

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys."""

        async def fetch() -> Result[tuple[Row | None, ...]]:
            return await self._reads.call(
                lambda remaining_s: self._table.read(keys, timeout_s=remaining_s),
                timeout_s=timeout_s,
                changes=False,
            )

        return await self._coalescer.share(keys, fetch, timeout_s=timeout_s)

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

        async def fetch() -> Result[Page]:
            return await self._reads.call(
                lambda remaining_s: self._table.scan(
                    partition,
                    prefix=prefix,
                    after=after,
                    limit=limit,
                    timeout_s=remaining_s,
                ),
                timeout_s=timeout_s,
                changes=False,
            )

        query = (partition, prefix, after, limit)
        return await self._coalescer.share(query, fetch, timeout_s=timeout_s)


class GuardedObjects:
    """Guard an object store; see :class:`endivegw.services.guard.Guard`."""

    #: Objects are used for snapshots and exports only; a daemon that makes more
    #: than one call per second is faulty.
    CALLS_PER_S = 1.0

    def __init__(
        self, objects: ObjectStorePort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = CircuitBreaker(random=source)
        rate_limiter = RateLimiter(self.CALLS_PER_S)
        self._guard = Guard("object store", self.circuit, rate_limiter, random=source)
        self._objects = objects

    async def get(self, name: str, *, timeout_s: float) -> Result[StoredObject]:
        """Return the named object."""
        return await self._guard.call(
            lambda remaining_s: self._objects.get(name, timeout_s=remaining_s),
            timeout_s=timeout_s,
            changes=False,
        )

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag, without a retry after an unknown outcome."""
        return await self._guard.call(
            lambda remaining_s: self._objects.put(
                name, body, expected_tag=expected_tag, timeout_s=remaining_s
            ),
            timeout_s=timeout_s,
            changes=True,
        )


class GuardedVmList:
    """Guard the VM list; concurrent reads share one call."""

    #: The list is read every 30 s, and more often only while a daemon starts.
    CALLS_PER_S = 1.0

    def __init__(
        self, vms: VmListPort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = CircuitBreaker(random=source)
        rate_limiter = RateLimiter(self.CALLS_PER_S)
        self._guard = Guard("VM list", self.circuit, rate_limiter, random=source)
        self._vms = vms
        self._coalescer = _ReadCoalescer()

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the virtual machines that the platform lists."""

        async def fetch() -> Result[tuple[ListedVm, ...]]:
            return await self._guard.call(
                lambda remaining_s: self._vms.list_vms(timeout_s=remaining_s),
                timeout_s=timeout_s,
                changes=False,
            )

        return await self._coalescer.share("list", fetch, timeout_s=timeout_s)


class GuardedWeightStore:
    """Guard the weight store.

    The store itself limits the rate of calls. A refusal that states when to retry
    is retried at that time if the caller's timeout permits.
    """

    #: A sidecar makes one call before each load, and loads one at a time.
    CALLS_PER_S = 1.0

    def __init__(
        self, weights: WeightStorePort, *, random_source: random.Random | None = None
    ) -> None:
        source = random_source or random.Random()
        self.circuit = CircuitBreaker(random=source)
        rate_limiter = RateLimiter(self.CALLS_PER_S)
        self._guard = Guard("weight store", self.circuit, rate_limiter, random=source)
        self._weights = weights

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return the size of the weights of a model or adapter."""
        return await self._guard.call(
            lambda remaining_s: self._weights.size_bytes(name, timeout_s=remaining_s),
            timeout_s=timeout_s,
            changes=False,
        )
