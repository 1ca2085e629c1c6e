"""Keep one daemon's calls within its share of what the whole fleet may use."""

from __future__ import annotations

from attrs import define, frozen

__all__ = ["RateCap", "TableShares"]

#: What the table bears for the whole fleet.
FLEET_READS_PER_S = 2000.0
FLEET_WRITES_PER_S = 500.0

#: Daemons do not all need their share at the same time: reads come after a
#: change or a restart, writes where a budget is busy. A daemon may use this
#: many times its share; the circuit and the service's own throttling stop the
#: rare case in which all do.
_OVERCOMMIT = 4.0

#: A daemon that starts reads all at once, so that a cap without room for a
#: burst would make starts slow and protect nothing.
_BURST_S = 10.0


@frozen
class TableShares:
    """Hold how many reads and writes a second one daemon may make."""

    reads_per_s: float
    writes_per_s: float

    @classmethod
    def of_fleet(cls, daemons: int) -> TableShares:
        """Return the share in a fleet of so many daemons, at least one a second."""
        count = max(1, daemons)
        return cls(
            max(1.0, FLEET_READS_PER_S * _OVERCOMMIT / count),
            max(1.0, FLEET_WRITES_PER_S * _OVERCOMMIT / count),
        )


@define
class RateCap:
    """Spread calls in time: a token bucket that says how long to wait.

    A daemon with a fault that makes it read in a loop would, with a thousand
    others at the same fault, take the table away from all. The cap slows it
    down instead of refusing, as long as the caller has time.
    """

    per_s: float
    _free_at_s: float = float("-inf")

    def wait_s(self, now_s: float, longest_s: float) -> float | None:
        """Take one call's place and return its wait, None where it is too long.

        :param longest_s: beyond it no place is taken.
        """
        start_s = max(self._free_at_s, now_s - _BURST_S)
        wait_s = max(0.0, start_s - now_s)
        if wait_s > longest_s:
            return None
        self._free_at_s = start_s + 1.0 / self.per_s
        return wait_s
