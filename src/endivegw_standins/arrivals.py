"""Arrivals of requests at targets."""

from __future__ import annotations

from typing import Sequence

__all__ = ["most_arrivals"]


def most_arrivals(arrivals_s: Sequence[float], from_s: float, window_s: float) -> int:
    """Return the largest number of arrivals in any window after a time.

    :param arrivals_s: times of all arrivals, in order.
    """
    times_s = [at_s for at_s in arrivals_s if at_s >= from_s]
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
