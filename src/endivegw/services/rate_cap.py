"""Limit the rate of one daemon's calls to its share of the fleet's capacity."""

from __future__ import annotations

from attrs import define, frozen

__all__ = ["RateLimiter", "TableShares"]

#: Capacity of the table for the entire fleet.
FLEET_READS_PER_S = 2000.0
FLEET_WRITES_PER_S = 500.0

#: Multiple of its share that a daemon may use. Daemons do not all need their share
#: at the same time: reads follow a change or a restart, writes a busy budget. If
#: all daemons exceed their share, the circuit breaker and the throttling of the
#: service limit the load.
_OVERCOMMIT = 4.0

#: Length of a burst, in seconds of calls at the limit. A daemon makes all its reads
#: at once while it starts; a limit without a burst would delay starts and protect
#: nothing.
_BURST_S = 10.0


@frozen
class TableShares:
    """Hold the number of reads and writes per second that one daemon may make."""

    reads_per_s: float
    writes_per_s: float

    @classmethod
    def of_fleet(cls, daemons: int) -> TableShares:
        """Return the share of one of ``daemons`` daemons, at least one per second."""
        count = max(1, daemons)
        return cls(
            max(1.0, FLEET_READS_PER_S * _OVERCOMMIT / count),
            max(1.0, FLEET_WRITES_PER_S * _OVERCOMMIT / count),
        )


@define
class RateLimiter:
    """Limit the rate of calls with a token bucket that returns a wait time.

    A fault that makes daemons read in a loop would make the table unavailable once
    a thousand daemons have it. The limiter delays calls instead of refusing them
    while the caller's timeout permits.
    """

    per_s: float
    _free_at_s: float = float("-inf")

    def wait_s(self, now_s: float, max_wait_s: float) -> float | None:
        """Reserve one call and return the time to wait before it.

        :param max_wait_s: if the wait would exceed this, nothing is reserved.
        :returns: the wait, or None if it would exceed ``max_wait_s``.
        """
        start_s = max(self._free_at_s, now_s - _BURST_S)
        wait_s = max(0.0, start_s - now_s)
        if wait_s > max_wait_s:
            return None
        self._free_at_s = start_s + 1.0 / self.per_s
        return wait_s
