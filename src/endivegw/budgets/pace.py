"""Bound how often one router writes to the table."""

from __future__ import annotations

from attrs import define, field

__all__ = ["WritePace"]


@define
class WritePace:
    """Hand out writes at a sustained rate, with bursts after a quiet time.

    Made for a table that carries several hundred writes a second for the whole
    fleet. Without a bound, hundreds of routers with many cold budgets would ask
    for thousands, and the table would throttle the draws of the hot ones too.

    :param rate_per_s: sustained writes.
    :param burst: writes that may come at once.
    """

    rate_per_s: float
    burst: int
    _saved: float = field(init=False)
    _at_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        self._saved = float(self.burst)

    def wait_s(self, now_s: float) -> float:
        """Return how long to wait for the next write."""
        self._refill(now_s)
        return max((1.0 - self._saved) / self.rate_per_s, 0.0)

    def take(self, now_s: float) -> None:
        """Count one write."""
        self._refill(now_s)
        self._saved -= 1.0

    def _refill(self, now_s: float) -> None:
        earned = max(now_s - self._at_s, 0.0) * self.rate_per_s
        self._saved = min(self._saved + earned, float(self.burst))
        self._at_s = max(now_s, self._at_s)
