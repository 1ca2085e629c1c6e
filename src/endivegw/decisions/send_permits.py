"""Share among routers the requests that a target accepts from all of them.

A target may limit the requests per second that it accepts from all routers together.
The routers' callers are unevenly spread, and some routers may be unreachable. One
router, the target's coordinator, therefore assigns each send to a point in time and
grants it as a permit to the router that asks for it. It assigns less than the limit
while it does not reach all routers. A router that cannot reach the coordinator uses
half of its even part of the limit.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from endivegw.types import TargetName

__all__ = ["Permits", "PermitRequest", "SendLimit", "SendPermits", "SendSchedule"]

#: How far ahead sends are assigned. Requests hardly wait longer for a target.
_MAX_AHEAD_S = 0.25

#: How long a permit may be used. Permits that are used late add to the sends of the
#: second after them.
_VALID_S = 1.0

#: Expected time until a request for permits is answered.
_ANSWER_S = 0.02

#: Maximum number of permits in one answer.
_MAX_PERMITS = 64

#: Total rate at which routers that got no permit ask again. Otherwise the queries of a
#: large fleet would exceed what one router can answer.
_MAX_RETRIES_PER_S = 20.0

#: For how long the lower of two limits that routers state is kept.
_KEEP_LOWER_S = 2.0


@frozen
class SendLimit:
    """Hold a target's limit.

    :param rate_per_s: requests per second from all routers together.
    :param part_per_s: the even part of one router.
    :param ends_s: time from which the limit no longer applies; None while the target
        states it.
    """

    rate_per_s: float
    part_per_s: float
    ends_s: float | None = None


@frozen
class PermitRequest:
    """Ask for permits to send requests to a target.

    :param started_ms: start of the target's incarnation.
    :param sends: number of permits.
    """

    target: TargetName
    started_ms: int | None
    limit: SendLimit
    sends: int


@frozen
class Permits:
    """Hold permits for consecutive sends.

    :param sends: number of permits; 0 if none can be granted at present.
    :param first_in_s: time from now until the first one may be used.
    :param interval_s: time between two of them.
    :param retry_in_s: time from now until further permits may be granted.
    """

    sends: int
    first_in_s: float
    interval_s: float
    retry_in_s: float


@define
class SendSchedule:
    """Assign sends to one target to points in time.

    :ivar next_s: time of the next send that is not assigned yet.
    """

    next_s: float
    used_s: float = 0.0
    _next_retry_s: float = 0.0
    _rate_per_s: float = 0.0
    _rate_set_s: float = -math.inf

    def assign(self, rate_per_s: float, sends: int, now_s: float) -> Permits:
        """Assign sends that fall into the near future.

        Times that have passed unassigned are lost, except for one send, so that the
        sends of an idle period do not arrive at once.

        :param rate_per_s: sends per second that are assigned.
        """
        self.used_s = now_s
        interval_s = 1.0 / rate_per_s
        self.next_s = max(self.next_s, now_s - interval_s)
        first_s = self.next_s
        assigned = 0
        sends = min(sends, _MAX_PERMITS)
        while assigned < sends and self.next_s <= now_s + _MAX_AHEAD_S:
            assigned += 1
            self.next_s += interval_s
        retry_s = max(now_s, self.next_s - _MAX_AHEAD_S)
        if not assigned:
            retries_per_s = max(_MAX_RETRIES_PER_S, rate_per_s)
            self._next_retry_s = max(self._next_retry_s, now_s) + 1.0 / retries_per_s
            retry_s = max(retry_s, self._next_retry_s)
        return Permits(assigned, max(0.0, first_s - now_s), interval_s, retry_s - now_s)

    def lower_rate(self, rate_per_s: float, now_s: float) -> float:
        """Return the lowest limit that routers stated lately.

        Routers may have read different limits in answers that overtook each other.
        """
        outdated = now_s > self._rate_set_s + _KEEP_LOWER_S
        if outdated or rate_per_s <= self._rate_per_s:
            self._rate_per_s, self._rate_set_s = rate_per_s, now_s
        return self._rate_per_s


@define
class SendPermits:
    """Hold this router's permits for one target.

    :ivar requested: number of permits asked for and not yet answered.
    :ivar next_request_s: time from which further permits may be asked for.
    """

    requested: int = 0
    next_request_s: float = 0.0
    _valid_from_s: list[float] = field(factory=list)

    def receive(self, permits: Permits, now_s: float) -> None:
        """Add the permits that answer a request."""
        self.requested = 0
        self.next_request_s = now_s + permits.retry_in_s
        first_s = now_s + permits.first_in_s
        self._valid_from_s += [
            first_s + number * permits.interval_s for number in range(permits.sends)
        ]
        self._valid_from_s.sort()

    def held(self, now_s: float) -> int:
        """Return the number of permits that may be used now or later."""
        self._drop_expired(now_s)
        return len(self._valid_from_s)

    def may_request(self, now_s: float) -> bool:
        """Return whether permits may be asked for."""
        return not self.requested and self.next_request_s <= now_s

    def wait_s(self, unsent: int, now_s: float) -> float:
        """Return the expected time until another request may be sent.

        :param unsent: requests that were placed on the target and not yet sent.
        """
        if self.held(now_s) > unsent:
            return max(0.0, self._valid_from_s[unsent] - now_s)
        if self.requested:
            return _ANSWER_S
        return max(_ANSWER_S, self.next_request_s - now_s)

    def consume(self, now_s: float) -> bool:
        """Use a permit; return False if there is none to be used now."""
        if not self.held(now_s) or self._valid_from_s[0] > now_s:
            return False
        del self._valid_from_s[0]
        return True

    def _drop_expired(self, now_s: float) -> None:
        while self._valid_from_s and self._valid_from_s[0] + _VALID_S < now_s:
            del self._valid_from_s[0]
