"""Check that all software versions that are registered now are known."""

from __future__ import annotations

from typing import Awaitable, Callable

import anyio
from attrs import define, field

__all__ = ["RegistryCheck"]


@define
class _Batch:
    """Hold a check, for which several requests may wait."""

    confirmed: bool = False
    ended: anyio.Event = field(factory=anyio.Event)


class RegistryCheck:
    """Read what the store holds, whenever knowledge of the past does not suffice.

    A router that is cut off or was suspended has heard of nothing, whatever there is.
    Requests that arrive during a check share the next one, so that checks are no more
    frequent than the answers of the store.

    :param read: reads all versions up to a moment after the call; returns whether it
        succeeded.
    """

    def __init__(self, read: Callable[[], Awaitable[bool]]) -> None:
        self._read = read
        self._batch = _Batch()
        self._wanted = anyio.Event()

    async def run(self) -> None:
        """Make the checks that are requested, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            batch, self._batch = self._batch, _Batch()
            try:
                batch.confirmed = await self._read()
            finally:
                batch.ended.set()

    async def confirm(self, timeout_s: float) -> bool:
        """Return whether all versions up to a moment after this call are known."""
        batch = self._batch
        self._wanted.set()
        with anyio.move_on_after(timeout_s):
            await batch.ended.wait()
        return batch.confirmed
