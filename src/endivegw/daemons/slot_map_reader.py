"""Read the slot map, and keep the last one while the table is away."""

from __future__ import annotations

import anyio

from endivegw.daemons.sidecar_ports import Clock
from endivegw.platform import TablePort
from endivegw.requests.claim_rows import SLOT_PARTITION, slot_map_of_rows
from endivegw.requests.slots import SlotMap
from endivegw.results import Done

__all__ = ["SlotMapReader", "read_slot_map"]

_TIMEOUT_S = 1.0


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
        self._table = table
        self._clock = clock
        self._interval_s = interval_s
        self._wanted = anyio.Event()

    async def run(self) -> None:
        """Read at the interval, and sooner where a claim found an owner gone."""
        while True:
            self._wanted = anyio.Event()
            current = await read_slot_map(self._table, self._clock)
            if current is not None:
                self.current = current
            with anyio.move_on_after(self._interval_s):
                await self._wanted.wait()
                # Many claims that fail at once ask for one reading.
                await anyio.sleep(1.0)

    def want(self) -> None:
        """Ask for a reading soon."""
        self._wanted.set()
