"""Size of a simulated request world, and the report on the outcomes."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from endivegw.requests.claims import ClaimLimits

__all__ = ["WorldLimits", "WorldReport"]


@frozen
class WorldLimits:
    """Size and timing of a simulated world.

    :param targets: number of targets, each with one sidecar.
    :param slots: number of key slots.
    :param service_s: seconds for which a target works on a request.
    :param deadline_s: seconds until the deadline of each try.
    :param tries: number of tries of one caller.
    :param list_lag_s: seconds until the VM list shows the termination of a machine.
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
    """Counts of the outcomes of requests.

    :ivar ran_twice: non-repeatable requests that started twice.
    :ivar false_not_run: callers to whom *not run* was reported wrongly.
    :ivar wrong_bytes: answers that differ from the output of a single attempt.
    :ivar lost: requests whose caller got no result in any of its tries.
    :ivar first: results of the first tries.
    :ivar last: final results, after retries.
    :ivar reasons: reasons of final results that are not answers.
    :ivar retry_s: seconds from a router's crash to the complete answer of the retry.
    :ivar claim_s: durations of claims in seconds.
    """

    requests: int = 0
    ran_twice: int = 0
    false_not_run: int = 0
    wrong_bytes: int = 0
    lost: int = 0
    first: Counter[str] = field(factory=Counter)
    last: Counter[str] = field(factory=Counter)
    reasons: Counter[str] = field(factory=Counter)
    retry_s: list[float] = field(factory=list)
    claim_s: list[float] = field(factory=list)
