"""How often one request is tried, and after which refusals it is not."""

from __future__ import annotations

from attrs import frozen

from endivegw.results import Reason

__all__ = ["ASK_ANEW", "HOPELESS", "NO_RETRY", "AttemptLimits"]

#: Refusals that another target would repeat.
HOPELESS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.BUDGET_EXHAUSTED,
        Reason.DEADLINE,
        Reason.KEY_CONFLICT,
        Reason.UNKNOWN_MODEL,
    }
)

#: Refusals by a target that takes the request once the router has caught up.
ASK_ANEW = frozenset(
    {Reason.NOT_READY, Reason.STALE_CONFIGURATION, Reason.WRONG_INSTANCE}
)

#: Failures of a started attempt that another target would repeat.
NO_RETRY = frozenset({Reason.BUDGET_EXHAUSTED, Reason.CANCELLED, Reason.DEADLINE})


@frozen
class AttemptLimits:
    """Bound the tries of one request.

    :param placements: targets tried at most. Each refusal costs a round trip;
        a request that four targets refused is better told so.
    :param waits: placements after a pause, where the target only needs to be
        asked anew (its sidecar restarted, or has a newer configuration). Six
        with backoff take some two seconds, in which a heartbeat brings what the
        router lacks.
    :param resumes: connections made anew for a broken answer whose bytes the
        caller has in part; then it ends in an explicit error.
    :param resumes_before_retry: the same where a repeatable request can be
        tried elsewhere; a dead machine should not cost more than one try.
    """

    placements: int = 4
    waits: int = 6
    resumes: int = 6
    resumes_before_retry: int = 1
