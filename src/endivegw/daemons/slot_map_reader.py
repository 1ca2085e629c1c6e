"""Read the slot map, and retain the last one while the table is unavailable."""

from __future__ import annotations

import anyio

from endivegw.daemons.sidecar_ports import Clock
from endivegw.requests.claim_rows import SLOT_PARTITION, slot_map_of_rows
from endivegw.requests.slots import DEFAULT_SLOTS, SlotMap
from endivegw.results import Done
from endivegw.services import TablePort

__all__ = ["SlotMapReader", "read_slot_map"]

_TIMEOUT_S = 1.0

#: Interval between two reads while a slot has no owner.
_INCOMPLETE_INTERVAL_S = 0.5

#: How long a router that just started waits until every slot has an owner.
_MAX_SETTLE_S = 5.0


async def read_slot_map(table: TablePort, clock: Clock) -> SlotMap | None:
    """Return the slot map, None if the table does not answer.

    A slot and its heartbeat take two rows; a page of the listing usually holds
    500 slots.
    """
    started_s = clock()
    result = await table.scan(SLOT_PARTITION, timeout_s=_TIMEOUT_S)
    if not isinstance(result, Done):
        return None
    return slot_map_of_rows(result.value.rows, started_s)


class SlotMapReader:
    """Keep a router's copy of the slot map up to date.

    :param interval_s: interval in seconds between reads; 370 routers at 10
        seconds cost 37 reads a second.
    :ivar current: the last map that was read. It stays unchanged while the table
        is unavailable, as does the map itself: no slot changes its owner then.
    """

    def __init__(
        self, table: TablePort, clock: Clock, interval_s: float = 10.0
    ) -> None:
        self.current = SlotMap()
        self._read_at_s: float | None = None
        self._table = table
        self._clock = clock
        self._interval_s = interval_s
        self._refresh_requested = anyio.Event()

    @property
    def complete(self) -> bool:
        """Return whether every slot has an owner."""
        return all(self.current.owner(n) is not None for n in range(DEFAULT_SLOTS))

    def settled(self, now_s: float) -> bool:
        """Return whether a new router may accept requests that name a key.

        Before it knows the owners it could not find another router's attempt,
        and would run a repeated request again. The time limit applies while the
        table is unavailable; requests that must not be repeated wait for the
        slot's owner in any case.
        """
        if self.complete:
            return True
        return self._read_at_s is not None and now_s - self._read_at_s > _MAX_SETTLE_S

    async def run(self) -> None:
        """Read the map at the interval, and sooner if an owner is missing."""
        while True:
            self._refresh_requested = anyio.Event()
            current = await read_slot_map(self._table, self._clock)
            if self._read_at_s is None:
                self._read_at_s = self._clock()
            if current is not None:
                self.current = current
            # Slots without an owner are rare: the fleet is new, or an owner
            # terminated.
            wait_s = self._interval_s if self.complete else _INCOMPLETE_INTERVAL_S
            with anyio.move_on_after(wait_s):
                await self._refresh_requested.wait()
                # Claims that fail at the same time share one read.
                await anyio.sleep(1.0)

    def request_refresh(self) -> None:
        """Request a read of the map ahead of the interval."""
        self._refresh_requested.set()
