"""One resource of a router's machine and the work that it has been given."""

from __future__ import annotations

import math

from attrs import define

__all__ = ["Resource"]

#: Time constant of the rates, long enough to cover the gaps between events of a stream.
_RATE_S = 1.0


@define
class Resource:
    """Track the work that a resource was given and has not yet had time for.

    :ivar per_s: how much the resource does in a second, for example bytes.
    :ivar backlog_s: time that the resource needs for the admitted work.
    :ivar offered: share of the resource that arriving requests ask for.
    :ivar admitted: share of the resource that admitted requests ask for.
    """

    per_s: float
    backlog_s: float = 0.0
    offered: float = 0.0
    admitted: float = 0.0
    _updated_s: float = 0.0

    def advance(self, now_s: float) -> None:
        """Let time pass."""
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self.backlog_s = max(0.0, self.backlog_s - passed_s)
        decay = math.exp(-passed_s / _RATE_S)
        self.offered *= decay
        self.admitted *= decay

    def offer(self, amount: float) -> None:
        """Record that a request asks for some of the resource."""
        self.offered += amount / self.per_s / _RATE_S

    def admit(self, amount: float) -> None:
        """Record that a request that asks for some of the resource was admitted."""
        need_s = amount / self.per_s
        self.backlog_s += need_s
        self.admitted += need_s / _RATE_S

    def fits(self, amount: float, max_backlog_s: float) -> bool:
        """Return whether the resource can take on a request.

        A request that alone needs longer than the limit fits an idle resource.
        """
        return self.backlog_s <= 0.0 or (
            self.backlog_s + amount / self.per_s <= max_backlog_s
        )

    @property
    def spare(self) -> float:
        """Return how much more the resource could do per second."""
        return max(0.0, 1.0 - self.admitted) * self.per_s
