"""Acquire and release slots of the weight store through the table."""

from __future__ import annotations

from typing import Callable

from endivegw.results import Done, Unknown
from endivegw.services import RowKey, TablePort, WeightStorePort
from endivegw.targets.weight_slots import (
    SLOT_PARTITION,
    SlotClaim,
    SlotTracker,
    WeightShare,
    acquire_slot,
    release_slot,
)
from endivegw.types import InstanceId, TargetName

__all__ = ["WeightService"]


class WeightService:
    """Acquire at most one slot at a time for one target.

    :param timeout_s: time-out in seconds of each call to the table or weight store.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        target: TargetName,
        instance_id: InstanceId,
        table: TablePort,
        weights: WeightStorePort,
        share: WeightShare,
        *,
        timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._target = target
        self._instance_id = instance_id
        self._table = table
        self._weights = weights
        self._share = share
        self._timeout_s = timeout_s
        self._clock = clock
        self._tracker = SlotTracker()

    async def acquire(self, name: str) -> SlotClaim | None:
        """Acquire a slot for loading a model or adapter, None if none is available."""
        size = await self._weights.size_bytes(name, timeout_s=self._timeout_s)
        # Without an answer the slot is held for the minimum time. An engine that loads
        # for longer then shares the bandwidth with one more load.
        size_bytes = size.value if isinstance(size, Done) else 0
        page = await self._table.scan(SLOT_PARTITION, timeout_s=self._timeout_s)
        if not isinstance(page, Done):
            return None
        claim = acquire_slot(
            page.value.rows,
            self._share,
            self._target,
            self._instance_id,
            size_bytes,
            self._tracker,
            self._clock(),
        )
        if claim is None:
            return None
        result = await self._table.transact(
            claim.transaction, timeout_s=self._timeout_s
        )
        if isinstance(result, Unknown):
            return claim if await self._owns_slot(claim.key) else None
        return claim if isinstance(result, Done) else None

    async def release(self, claim: SlotClaim) -> None:
        """Release a slot; if that fails, the slot becomes free after its hold time."""
        await self._table.transact(release_slot(claim), timeout_s=self._timeout_s)

    async def _owns_slot(self, key: RowKey) -> bool:
        result = await self._table.read((key,), timeout_s=self._timeout_s)
        if not isinstance(result, Done) or result.value[0] is None:
            return False
        return result.value[0].fields["holder"] == self._instance_id
