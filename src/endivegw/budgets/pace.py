"""Limit how often one router writes to the table."""

from __future__ import annotations

from attrs import define, field

__all__ = ["WriteRateLimiter"]


@define
class WriteRateLimiter:
    """Limit writes to a sustained rate, with bursts after idle periods.

    The table carries several hundred writes per second for the whole fleet. Without a
    limit, hundreds of routers with many rarely used budgets would send thousands, and
    the table would throttle draws of busy budgets as well.

    :param rate_per_s: sustained writes per second.
    :param burst: maximum number of consecutive writes.
    """

    rate_per_s: float
    burst: int
    _available_writes: float = field(init=False)
    _at_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        self._available_writes = float(self.burst)

    def wait_s(self, now_s: float) -> float:
        """Return how many seconds to wait before the next write."""
        self._refill(now_s)
        return max((1.0 - self._available_writes) / self.rate_per_s, 0.0)

    def record_write(self, now_s: float) -> None:
        """Count one write."""
        self._refill(now_s)
        self._available_writes -= 1.0

    def _refill(self, now_s: float) -> None:
        refilled = max(now_s - self._at_s, 0.0) * self.rate_per_s
        self._available_writes = min(
            self._available_writes + refilled, float(self.burst)
        )
        self._at_s = max(now_s, self._at_s)
