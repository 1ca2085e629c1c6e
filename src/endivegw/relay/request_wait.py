"""How long a connection waits for its caller under limits that may change."""

from __future__ import annotations

import enum

from attrs import define

from endivegw.routing import CallerLimits

__all__ = ["RequestPhase", "RequestWait"]


class RequestPhase(enum.Enum):
    """Which part of a request a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


@define
class RequestWait:
    """Decide until when to wait for the next part of a request.

    A longer limit applies at once, also to a wait that has begun. A shorter one counts
    from the time at which it came into force, because the caller relied on the longer
    one until then.

    :ivar due_s: time at which the wait ends.
    """

    limits: CallerLimits
    due_s: float = 0.0
    _phase: RequestPhase | None = None
    _since_s: float = 0.0

    def update(
        self, phase: RequestPhase, since_s: float, limits: CallerLimits, now_s: float
    ) -> None:
        """Apply the present phase and the limits in force.

        :param since_s: start of the wait; for a body, the time of the last data.
        """
        limit_s = limits.idle_timeout_s
        if phase is RequestPhase.HEAD:
            limit_s = limits.head_timeout_s
        if (phase, since_s) != (self._phase, self._since_s):
            self._phase, self._since_s = phase, since_s
            self.due_s = since_s + limit_s
        else:
            self.due_s = max(since_s + limit_s, min(self.due_s, now_s + limit_s))
        # A request that has begun may be as large as any limit since then allowed.
        if phase is not RequestPhase.IDLE:
            limits = self.limits.widened(limits)
        self.limits = limits
