"""Check, from what callers saw, that each whole request was answered.

A request that was sent whole gets one whole answer or a refusal. Each other end needs
an excuse: the time of the request had passed, the target that ran it really broke off,
or its router was killed, was frozen or had reached the end of its grace period. An idle
connection stays open for as long as the configuration allows.
"""

from __future__ import annotations

import enum
import math
from typing import Sequence, TypeVar

from attrs import define, field, frozen

__all__ = [
    "Evidence",
    "Excuse",
    "IdleClose",
    "Outcome",
    "SentRequest",
    "Span",
    "find_early_close",
    "find_excuse",
    "find_violation",
]

_Value = TypeVar("_Value")

#: Statuses of answers of routers that need the same excuse as an answer that is cut.
_FAILURES = frozenset({500, 502, 504})

#: Precision of the times that callers and faults record.
_SLACK_S = 0.15

#: A request that gets nothing may have crossed the close of its connection if that
#: follows within this time.
_CROSSING_S = 0.2

#: Time after which each router that reaches the store has a new configuration.
_APPLY_S = 2.0

#: How long routers may be without news after the store could not be reached.
_CATCH_UP_S = 10.0

#: Time after its end for which a target cannot be reached.
_RESTART_S = 0.8

#: Time after its limit at which a request must have ended somehow.
_END_S = 1.5

#: Grace period of a stop, its last part, in which answers may be cut, and the time
#: until its end is seen.
_GRACE_S = 8.0
_GRACE_END_S = _GRACE_S * 5 / 6
_GRACE_SEEN_S = _GRACE_S + 1.0


class Outcome(enum.Enum):
    """What a caller got for a request."""

    WHOLE = "a whole answer"
    CUT = "a part of an answer"
    NOTHING = "nothing before the connection closed"
    NO_END = "no end"


class Excuse(enum.Enum):
    """Why a request need not have been answered."""

    NOT_WHOLE = "not sent whole"
    BEHIND_CLOSE = "sent after an answer that closes the connection"
    #: Nothing can follow an answer that is not whole, whose own end is judged.
    BEHIND_CUT = "behind an answer that is not whole"
    ROUTER_LOST = "router killed, frozen or at the end of its grace period"
    TIME = "its time had passed"
    CROSSED = "crossed the close of its connection"
    TARGET = "its target broke off"


@define
class SentRequest:
    """Record one request as its caller saw it.

    :ivar router: name of the router's process.
    :ivar began_s: time at which its first byte was sent.
    :ivar whole_s: time at which its last byte was sent; None if it was not.
    :ivar deadline_s: time that its caller allows.
    :ivar before: request before it that was in progress on its connection.
    :ivar behind_close: whether an answer had said before that the connection closes.
    """

    request_id: str
    route: str
    router: str
    began_s: float
    whole_s: float | None = None
    deadline_s: float = 3.0
    before: SentRequest | None = None
    behind_close: bool = False
    outcome: Outcome = Outcome.NO_END
    status: int | None = None
    ended_s: float = math.inf


@frozen
class IdleClose:
    """Record that a router closed a connection on which nothing was in progress."""

    router: str
    idle_since_s: float
    closed_s: float


@frozen
class Span:
    """Time during which a fault was there."""

    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Return whether the fault was there in a part of a time."""
        return self.from_s <= until_s + _SLACK_S and self.until_s >= from_s - _SLACK_S


@define
class Evidence:
    """Hold what may excuse the end of a request.

    :ivar losses: when each router was killed or frozen.
    :ivar stops: when each router was told to stop.
    :ivar target_ends: when each target ended with all that ran there.
    :ivar target_faults: when each target was cut off.
    :ivar targets: targets of each route.
    :ivar ran_at: targets at which each request ran.
    :ivar broken_off: requests whose answer a target ended in the middle.
    :ivar store_faults: when any router could not reach the store.
    :ivar time_outs: time of each configuration, and its shortest time for each route.
    :ivar idle_limits: time of each configuration, and its limit on idle connections.
    """

    losses: dict[str, list[Span]] = field(factory=dict)
    stops: dict[str, list[float]] = field(factory=dict)
    target_ends: dict[str, list[float]] = field(factory=dict)
    target_faults: dict[str, list[Span]] = field(factory=dict)
    targets: dict[str, set[str]] = field(factory=dict)
    ran_at: dict[str, set[str]] = field(factory=dict)
    broken_off: set[str] = field(factory=set)
    store_faults: list[Span] = field(factory=list)
    time_outs: list[tuple[float, dict[str, float]]] = field(factory=list)
    idle_limits: list[tuple[float, float]] = field(factory=list)

    def shortest_idle_limit(self, at_s: float) -> float:
        """Return the shortest limit that may be in force in a router at a time."""
        return min(self._in_force(self.idle_limits, at_s, at_s), default=0.0)

    def time_limit_s(self, request: SentRequest) -> float:
        """Return the shortest time that a router may have given to a request."""
        found = self._in_force(self.time_outs, request.began_s, request.ended_s)
        limits = [times[request.route] for times in found if request.route in times]
        return min([request.deadline_s, *limits])

    def _in_force(
        self, history: Sequence[tuple[float, _Value]], from_s: float, until_s: float
    ) -> list[_Value]:
        """Return the values that may have been in force in a router in some time."""
        since_s = from_s - _APPLY_S
        if _any_overlaps(self.store_faults, from_s - _CATCH_UP_S, until_s):
            since_s = -math.inf
        ends_s = [written_s for written_s, _ in history[1:]] + [math.inf]
        return [
            value
            for (written_s, value), end_s in zip(history, ends_s)
            if written_s <= until_s and end_s >= since_s
        ]


def find_violation(request: SentRequest, evidence: Evidence) -> str | None:
    """Return how the end of a request breaks the promise; None if it does not."""
    if _is_answered(request) or find_excuse(request, evidence) is not None:
        return None
    if request.outcome is Outcome.WHOLE:
        return f"was answered {request.status} though nothing had broken off"
    return f"got {request.outcome.value}"


def find_excuse(request: SentRequest, evidence: Evidence) -> Excuse | None:
    """Return what excuses that a request was not answered; None if nothing does."""
    if _is_answered(request):
        return None
    if request.whole_s is None:
        return Excuse.NOT_WHOLE
    if request.behind_close:
        return Excuse.BEHIND_CLOSE
    if request.before is not None and request.before.outcome is not Outcome.WHOLE:
        return Excuse.BEHIND_CUT
    if _router_lost(request, evidence):
        return Excuse.ROUTER_LOST
    limit_s = request.began_s + evidence.time_limit_s(request)
    if request.outcome is Outcome.NO_END:
        # The router should have ended it; pipelined ones have begun later.
        is_late = request.before is None and request.ended_s >= limit_s + _END_S
        return None if is_late else Excuse.TIME
    if request.ended_s >= limit_s - _SLACK_S:
        return Excuse.TIME
    if request.outcome is Outcome.NOTHING:
        # The end of a target can still be answered.
        return Excuse.CROSSED if _crosses_close(request, evidence) else None
    return Excuse.TARGET if _target_broke_off(request, evidence) else None


def find_early_close(close: IdleClose, evidence: Evidence) -> str | None:
    """Return how the close of an idle connection breaks the promise, or None."""
    losses = evidence.losses.get(close.router, ())
    if _any_overlaps(losses, close.idle_since_s, close.closed_s):
        return None
    for stop_s in evidence.stops.get(close.router, ()):
        if -_SLACK_S <= close.closed_s - stop_s <= _GRACE_SEEN_S:
            return None
    idle_s = close.closed_s - close.idle_since_s
    limit_s = evidence.shortest_idle_limit(close.closed_s)
    if idle_s >= limit_s - _SLACK_S:
        return None
    return f"was closed after {idle_s:.2f} s, the limit was {limit_s:.2f} s"


def _is_answered(request: SentRequest) -> bool:
    """Return whether a request got a whole answer or a refusal."""
    return request.outcome is Outcome.WHOLE and request.status not in _FAILURES


def _any_overlaps(spans: Sequence[Span], from_s: float, until_s: float) -> bool:
    return any(span.overlaps(from_s, until_s) for span in spans)


def _router_lost(request: SentRequest, evidence: Evidence) -> bool:
    """Return whether the router was lost, or at the end of its grace period."""
    losses = evidence.losses.get(request.router, [])
    if _any_overlaps(losses, request.began_s, request.ended_s):
        return True
    return any(
        _GRACE_END_S <= request.ended_s - stop_s <= _GRACE_SEEN_S
        for stop_s in evidence.stops.get(request.router, ())
    )


def _target_broke_off(request: SentRequest, evidence: Evidence) -> bool:
    """Return whether a target that had the request really broke off.

    A request that is recorded at no target may have been on its way to each of them,
    and each may have been about to start again.
    """
    if request.request_id in evidence.broken_off:
        return True
    ran_at = evidence.ran_at.get(request.request_id, set())
    restart_s = 0.0 if ran_at else _RESTART_S
    for target in ran_at or evidence.targets.get(request.route, set()):
        ends = evidence.target_ends.get(target, [])
        faults = [Span(end_s, end_s + restart_s) for end_s in ends]
        faults += evidence.target_faults.get(target, [])
        if _any_overlaps(faults, request.began_s, request.ended_s):
            return True
    return False


def _crosses_close(request: SentRequest, evidence: Evidence) -> bool:
    """Return whether a request may have been sent on a connection that was closing."""
    if request.request_id in evidence.ran_at or request.before is not None:
        return False
    assert request.whole_s is not None
    return request.ended_s - request.whole_s <= _CROSSING_S
