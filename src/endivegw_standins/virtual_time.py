"""An event loop whose time jumps to the next timer instead of passing.

Hours of a fleet's life run in seconds, in the same order each time.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

__all__ = ["VirtualLoop"]


class _JumpingSelector(selectors.DefaultSelector):
    """Select without waiting, and tell the loop how long it would have waited."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout:
            self.loop.jump(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers one after the other without waiting for them."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual_s

    def jump(self, duration_s: float) -> None:
        """Let time pass at once."""
        self._virtual_s += duration_s
