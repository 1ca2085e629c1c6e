"""The size of a world of requests, and the report on what came of them."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from endivegw.requests.claims import ClaimLimits

__all__ = ["WorldLimits", "WorldReport"]


@frozen
class WorldLimits:
    """Hold the size of a world.

    :param service_s: how long a target works on a request.
    :param list_lag_s: how late the VM list learns of a machine's end.
    """

    targets: int = 6
    routers: int = 3
    slots: int = 4
    service_s: float = 0.2
    deadline_s: float = 10.0
    tries: int = 4
    list_lag_s: float = 10.0
    claims: ClaimLimits = ClaimLimits()


@define
class WorldReport:
    """Count what came of the requests.

    :ivar doubled: requests that may not be repeated and started twice.
    :ivar told_not_run_but_ran: callers who were told *not run* wrongly.
    :ivar wrong_bytes: answers that are not what one attempt made.
    :ivar lost: requests whose caller was told nothing within all its tries.
    :ivar first: what callers were told at their first try.
    :ivar last: what they had in the end, with retries.
    :ivar reasons: why the last word was not an answer.
    :ivar retry_s: from a router's death to the whole answer by the retry.
    :ivar claim_s: how long claims took.
    """

    requests: int = 0
    doubled: int = 0
    told_not_run_but_ran: int = 0
    wrong_bytes: int = 0
    lost: int = 0
    first: Counter[str] = field(factory=Counter)
    last: Counter[str] = field(factory=Counter)
    reasons: Counter[str] = field(factory=Counter)
    retry_s: list[float] = field(factory=list)
    claim_s: list[float] = field(factory=list)
