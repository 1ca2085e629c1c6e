"""Progress of one request, and what its attempts indicate about their targets."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions import AttemptKind
from endivegw.relay.attempt import (
    AttemptOutcome,
    AttemptResult,
    CompleteAnswer,
    StreamProgress,
)
from endivegw.routing import Route, RouteKind
from endivegw.types import TargetName

__all__ = [
    "MIN_SERVER_ERROR_STATUS",
    "RequestProgress",
    "UNSENT_OUTCOMES",
    "attempt_kind",
    "is_retryable_answer",
    "lower_quartile",
]

#: The lowest HTTP status that reports a failure of the target.
MIN_SERVER_ERROR_STATUS = 500

#: Outcomes of attempts that sent nothing.
UNSENT_OUTCOMES = (AttemptOutcome.NOT_SENT, AttemptOutcome.HELD_BACK)

#: Minimum number of pauses in an answer from which a target's speed is estimated.
_MIN_PAUSES = 8


@define
class RequestProgress:
    """Track the progress of one request over all attempts.

    :ivar send_count: number of attempts that sent the request to a target.
    :ivar replaced_count: number of these that another instance answered, because the
        addressed target had ended.
    :ivar may_have_run: whether some target may have run the request.
    :ivar excluded: targets that must not receive the request again.
    :ivar addresses: addresses that were sent the request.
    :ivar fallback: a failure that a target answered, for which another target may still
        have a better answer; None if there is none.
    :ivar first_data_s: time at which the first data of an answer arrived.
    :ivar last_relayed_s: time at which events were last relayed.
    :ivar pauses_s: pauses between relayed batches of events.
    :ivar target: target of the latest attempt.
    """

    stream_progress: StreamProgress
    send_count: int = 0
    replaced_count: int = 0
    may_have_run: bool = False
    excluded: set[TargetName] = field(factory=set)
    addresses: set[str] = field(factory=set)
    fallback: CompleteAnswer | None = None
    first_data_s: float | None = None
    last_relayed_s: float | None = None
    pauses_s: list[float] = field(factory=list)
    target: str = ""

    @property
    def target_count(self) -> int:
        """Return the number of targets that were sent the request."""
        return self.send_count - self.replaced_count


def lower_quartile(pauses_s: list[float]) -> float | None:
    """Return the lower quartile of the pauses, None if there are too few of them."""
    if len(pauses_s) < _MIN_PAUSES:
        return None
    return sorted(pauses_s)[len(pauses_s) // 4]


def is_retryable_answer(route: Route, answer: CompleteAnswer) -> bool:
    """Return whether a server error may be retried on another target."""
    failed = answer.head.status >= MIN_SERVER_ERROR_STATUS
    return failed and route.kind is RouteKind.REPEATABLE


def attempt_kind(result: AttemptResult, done: bool) -> AttemptKind:
    """Return the kind of an attempt as it is reported to the dispatcher.

    :param done: whether the attempt ended without being cancelled.
    """
    if not done:
        return AttemptKind.CANCELLED
    match result.outcome:
        case AttemptOutcome.ANSWERED:
            answer = result.answer
            failed = (
                answer is not None and answer.head.status >= MIN_SERVER_ERROR_STATUS
            )
            return AttemptKind.FAILED if failed else AttemptKind.OK
        case AttemptOutcome.NOT_RUN if not result.paused:
            return AttemptKind.REFUSED
        case AttemptOutcome.NOT_RUN | AttemptOutcome.HELD_BACK:
            # The pause that the target asked for is applied separately, so the
            # attempt must not count against its health.
            return AttemptKind.CANCELLED
        case _:
            return AttemptKind.FAILED
