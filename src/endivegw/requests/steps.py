"""What a router does next for one request, and how the request ended."""

from __future__ import annotations

from attrs import frozen

from endivegw.requests.claims import ClaimAsk
from endivegw.results import Reason
from endivegw.types import AttemptId, Outcome, RequestIdentity, TargetName, Usage

__all__ = [
    "AskClaim",
    "CancelAttempt",
    "Ending",
    "Finish",
    "HandOver",
    "Pause",
    "Place",
    "RequestFacts",
    "Step",
]


@frozen
class RequestFacts:
    """Hold what is fixed for one request.

    :param keyed: whether the caller chose the key; no other request can have a
        key that the router made up.
    :param deadline_s: by when the answer must be whole.
    :param streams: whether the caller reads the answer while it is made, so
        that bytes given out cannot be taken back.
    """

    identity: RequestIdentity
    body_digest: bytes
    keyed: bool
    repeatable: bool
    deadline_s: float
    streams: bool = True


@frozen
class Place:
    """Find a target, preferably none that failed before."""

    avoid: frozenset[TargetName]


@frozen
class AskClaim:
    """Ask the owner of the request's key slot."""

    ask: ClaimAsk


@frozen
class HandOver:
    """Send the order and read the frames of the answer.

    :param resume_offset_bytes: 0 where the answer is read from its first byte;
        bytes that the driver holds back from the caller are then to be dropped.
    :param join_only: the attempt is another router's; it must not start here.
    """

    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    resume_offset_bytes: int
    join_only: bool


@frozen
class CancelAttempt:
    """Bar or stop an attempt, and learn whether it ever started.

    :param bar_only: leave it alone where it has started.
    """

    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    bar_only: bool


@frozen
class Pause:
    """Wait before the next step."""

    seconds_s: float


@frozen
class Ending:
    """Hold what the caller is told.

    :param cut: whether bytes of an answer that will not become whole were given
        out; the caller must see an explicit error behind them.
    :param refused_try: whether this try was refused and only an earlier one with
        the same key may have run.
    """

    outcome: Outcome
    reason: Reason | None
    detail: str
    usage: Usage
    cut: bool = False
    refused_try: bool = False


@frozen
class Finish:
    """End the request."""

    ending: Ending


Step = Place | AskClaim | HandOver | CancelAttempt | Pause | Finish
