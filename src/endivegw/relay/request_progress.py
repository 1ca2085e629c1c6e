"""What became of one request so far, and what its attempts say of their targets."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions import AttemptKind
from endivegw.relay.attempt import AttemptResult, End, StreamPassed
from endivegw.types import TargetName

__all__ = ["SERVER_ERROR", "RequestProgress", "attempt_kind", "lower_quartile"]

#: The smallest status by which a target says that it failed.
SERVER_ERROR = 500

#: Pauses of an answer from which on they say how fast its target is.
_LEAST_PAUSES = 8


@define
class RequestProgress:
    """Count what became of one request.

    :ivar sent: targets that the request went to.
    :ivar maybe_run: whether some target may have run it.
    :ivar last_s: when events were passed on last.
    """

    passed: StreamPassed
    sent: int = 0
    maybe_run: bool = False
    excluded: set[TargetName] = field(factory=set)
    first_s: float | None = None
    last_s: float | None = None
    pauses_s: list[float] = field(factory=list)
    target: str = ""


def lower_quartile(pauses_s: list[float]) -> float | None:
    """Return the pause that a quarter is below, None where there are too few."""
    if len(pauses_s) < _LEAST_PAUSES:
        return None
    return sorted(pauses_s)[len(pauses_s) // 4]


def attempt_kind(result: AttemptResult, done: bool) -> AttemptKind:
    """Return how the dispatcher sees an attempt.

    :param done: whether it ended by itself.
    """
    if not done:
        return AttemptKind.CANCELLED
    match result.end:
        case End.ANSWERED:
            answer = result.answer
            failed = answer is not None and answer.head.status >= SERVER_ERROR
            return AttemptKind.FAILED if failed else AttemptKind.OK
        case End.NOT_RUN if not result.paused:
            return AttemptKind.REFUSED
        case End.NOT_RUN | End.HELD_BACK:
            # It is left alone for as long as it asked; that is all it wants.
            return AttemptKind.CANCELLED
        case _:
            return AttemptKind.FAILED
