"""Read the slot map, and keep the last one while the table is away."""

from __future__ import annotations

import anyio

from endivegw.daemons.sidecar_ports import Clock
from endivegw.requests.claim_rows import SLOT_PARTITION, slot_map_of_rows
from endivegw.requests.slots import DEFAULT_SLOTS, SlotMap
from endivegw.results import Done
from endivegw.services import TablePort

__all__ = ["SlotMapReader", "read_slot_map"]

_TIMEOUT_S = 1.0

#: Between two readings while a slot has no owner.
_INCOMPLETE_S = 0.5

#: How long a fresh router waits for owners.
_SETTLE_S = 5.0


async def read_slot_map(table: TablePort, clock: Clock) -> SlotMap | None:
    """Return the map, None where the table gives no answer.

    A slot and its beat make two rows; the listing's usual page holds 500 slots.
    """
    started_s = clock()
    result = await table.scan(SLOT_PARTITION, timeout_s=_TIMEOUT_S)
    if not isinstance(result, Done):
        return None
    return slot_map_of_rows(result.value.rows, started_s)


class SlotMapReader:
    """Keep a router's copy of the map.

    :ivar current: the last map that was read. While the table is away it
        freezes, and so does the map itself: no slot changes hands then.
    :param interval_s: 370 routers at 10 seconds cost 37 reads a second.
    """

    def __init__(
        self, table: TablePort, clock: Clock, interval_s: float = 10.0
    ) -> None:
        self.current = SlotMap()
        self._read_at_s: float | None = None
        self._table = table
        self._clock = clock
        self._interval_s = interval_s
        self._wanted = anyio.Event()

    @property
    def complete(self) -> bool:
        """Return whether each slot has an owner."""
        return all(self.current.owner(n) is not None for n in range(DEFAULT_SLOTS))

    def settled(self, now_s: float) -> bool:
        """Return whether a fresh router may take requests that name a key.

        One that took them before it knows the owners could not find another
        router's attempt, and would run a repeated request again. The bound is
        for a table that is away: what may not be repeated waits for its owner
        in any case.
        """
        if self.complete:
            return True
        return self._read_at_s is not None and now_s - self._read_at_s > _SETTLE_S

    async def run(self) -> None:
        """Read at the interval, and sooner where an owner is missing or gone."""
        while True:
            self._wanted = anyio.Event()
            current = await read_slot_map(self._table, self._clock)
            if self._read_at_s is None:
                self._read_at_s = self._clock()
            if current is not None:
                self.current = current
            # Slots without owners are rare: a new fleet, or an owner that ended.
            wait_s = self._interval_s if self.complete else _INCOMPLETE_S
            with anyio.move_on_after(wait_s):
                await self._wanted.wait()
                # Many claims that fail at once ask for one reading.
                await anyio.sleep(1.0)

    def want(self) -> None:
        """Ask for a reading soon."""
        self._wanted.set()
