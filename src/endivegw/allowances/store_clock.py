"""The store's clock as a router knows it between two answers."""

from __future__ import annotations

from attrs import define

__all__ = ["StoreClock"]


@define
class StoreClock:
    """Estimate the store's clock, never ahead of it.

    A limit that grows with time must not grow faster here than in the reckoning
    of a successor, who reads the store's clock. Each answer was made before it
    arrived, and between answers a margin makes the own clock slower.

    :param margin: factor on the own clock, below 1.
    """

    margin: float = 0.99
    _store_ms: float = 0.0
    _heard_s: float | None = None

    def heard(self, store_ms: int, now_s: float) -> None:
        """Take in the clock's reading in an answer that just arrived."""
        if self._heard_s is None or store_ms > self.now_ms(now_s):
            self._store_ms = store_ms
            self._heard_s = now_s

    @property
    def known(self) -> bool:
        """Return whether the store was heard at all."""
        return self._heard_s is not None

    def now_ms(self, now_s: float) -> float:
        """Return the estimate; 0 before the first answer."""
        if self._heard_s is None:
            return 0.0
        elapsed_s = max(0.0, now_s - self._heard_s)
        return self._store_ms + elapsed_s * 1000.0 * self.margin
