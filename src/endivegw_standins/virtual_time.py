"""Event loop with virtual time, which advances to the next timer without waiting.

Hours of simulated time run in seconds and in a deterministic order.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

__all__ = ["VirtualLoop"]


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Select without waiting and advance the loop's time by the timeout instead."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout:
            self.loop.advance(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual_s

    def advance(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self._virtual_s += duration_s
