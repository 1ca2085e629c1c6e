"""Limits on the attempts of one request, and refusals that rule out a retry."""

from __future__ import annotations

from attrs import frozen

from endivegw.results import Reason

__all__ = ["AttemptLimits", "FINAL_FAILURES", "FINAL_REFUSALS", "TRANSIENT_REFUSALS"]

#: Refusals that any other target would repeat, so that no retry is made.
FINAL_REFUSALS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.BUDGET_EXHAUSTED,
        Reason.DEADLINE,
        Reason.KEY_CONFLICT,
        Reason.UNKNOWN_MODEL,
    }
)

#: Refusals that end once the router has received the target's current state, so
#: that the request is retried after a pause.
TRANSIENT_REFUSALS = frozenset(
    {Reason.NOT_READY, Reason.STALE_CONFIGURATION, Reason.WRONG_INSTANCE}
)

#: Failures of a started attempt that any other target would repeat.
FINAL_FAILURES = frozenset({Reason.BUDGET_EXHAUSTED, Reason.CANCELLED, Reason.DEADLINE})


@frozen
class AttemptLimits:
    """Limits on the attempts of one request.

    :param max_placements: number of targets tried. Each refusal costs a round
        trip, so after four refusals the caller is sent the refusal instead.
    :param max_transient_refusals: number of times that the request is placed again
        after a pause because of a transient refusal (the sidecar restarted or has a
        newer configuration). Six pauses with backoff take about 2 s, enough for a
        heartbeat to bring the state that the router lacks.
    :param max_resumes: number of reconnections for a broken answer that the
        caller has partly received; after that the answer ends in an explicit
        error.
    :param max_resumes_before_retry: number of reconnections while a repeatable
        request can still be retried on another target. A dead machine should not
        cost more than one reconnection.
    """

    max_placements: int = 4
    max_transient_refusals: int = 6
    max_resumes: int = 6
    max_resumes_before_retry: int = 1
