"""Estimate of the store's clock between two answers of the store."""

from __future__ import annotations

import math

from attrs import define

__all__ = ["StoreClock"]


@define
class StoreClock:
    """Lower and upper bounds of the store's clock.

    A limit that grows with time must not grow faster here than a successor, which reads
    the store's clock, assumes; and a row that others may take over must not be used
    here after it has expired. Each answer was produced between its request and its
    arrival, and a margin covers the drift of the local clock.

    :param margin: factor on the local clock, below 1.
    """

    margin: float = 0.99
    _store_ms: float = 0.0
    _updated_at_s: float | None = None
    _latest_ms: float = math.inf
    _latest_sent_s: float = 0.0

    def update(self, store_ms: int, now_s: float, sent_s: float | None = None) -> None:
        """Apply the clock reading of an answer that just arrived.

        :param sent_s: when the answer was requested; without it, the reading
            only raises the lower bound.
        """
        if self._updated_at_s is None or store_ms > self.now_ms(now_s):
            self._store_ms = store_ms
            self._updated_at_s = now_s
        if sent_s is None:
            return
        if store_ms + self._max_elapsed_ms(sent_s, now_s) < self.latest_ms(now_s):
            self._latest_ms = store_ms
            self._latest_sent_s = sent_s

    @property
    def is_known(self) -> bool:
        """Return whether the store has answered at least once."""
        return self._updated_at_s is not None

    def now_ms(self, now_s: float) -> float:
        """Return the lower bound of the clock; 0 before the first answer."""
        if self._updated_at_s is None:
            return 0.0
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        return self._store_ms + elapsed_s * 1000.0 * self.margin

    def latest_ms(self, now_s: float) -> float:
        """Return the upper bound of the clock; infinity before the first answer."""
        return self._latest_ms + self._max_elapsed_ms(self._latest_sent_s, now_s)

    def _max_elapsed_ms(self, since_s: float, now_s: float) -> float:
        return max(0.0, now_s - since_s) * 1000.0 / self.margin
