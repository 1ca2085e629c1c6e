"""Track which attempts of a request may have run, and their consumption."""

from __future__ import annotations

from attrs import define, field

from endivegw.requests.steps import Ending
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Outcome, TargetName, Usage

__all__ = ["Attempt", "RunRecord"]


@define
class Attempt:
    """The state of one attempt as known to the router.

    :ivar foreign: whether another router created the attempt and this one only
        joins it.
    :ivar sends: number of times its start order was written to a connection.
    :ivar connection_broken: whether one of these connections broke before the
        answer.
    :ivar finished: whether the attempt is known to have started and ended.
    """

    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    foreign: bool = False
    sends: int = 0
    connection_broken: bool = False
    finished: bool = False


@define
class RunRecord:
    """Determine whether a request may have run.

    If a router reported *not run* only because its connection broke, the caller
    would send the request again and it would run twice. An attempt therefore
    counts as possibly run from the time its order is written until its refusal or
    its bar is confirmed.

    :ivar no_earlier_run: whether no earlier try with the request's key can have
        run. For a non-repeatable request only a claim can establish this.
    :ivar charges: usage of each attempt created by this router; None if unknown.
    """

    no_earlier_run: bool
    charges: dict[AttemptId, Usage | None] = field(factory=dict)
    _may_have_run: set[AttemptId] = field(factory=set)

    @property
    def nothing_ran(self) -> bool:
        """Return whether *not run* may be reported to the caller."""
        return self.no_earlier_run and not self._may_have_run

    def may_have_run(self, attempt: Attempt) -> bool:
        """Return whether an attempt may have started or may still start."""
        return attempt.attempt_id in self._may_have_run

    def handed_over(self, attempt: Attempt) -> None:
        """Record an attempt as possibly run, before its order is written."""
        self._may_have_run.add(attempt.attempt_id)
        if not attempt.foreign:
            self.charges.setdefault(attempt.attempt_id, None)

    def record_foreign(self, attempt_id: AttemptId) -> None:
        """Record another router's attempt as possibly run."""
        self._may_have_run.add(attempt_id)

    def record_not_run(self, attempt: Attempt) -> None:
        """Record that an attempt has not started and never will."""
        self._may_have_run.discard(attempt.attempt_id)
        if not attempt.foreign:
            self.charges[attempt.attempt_id] = Usage()

    def charge(self, attempt_id: AttemptId, usage: Usage | None) -> None:
        """Record the usage of an attempt.

        Another router's attempt is charged to the grant that it runs under, so it
        is not recorded here.
        """
        if attempt_id in self.charges:
            self.charges[attempt_id] = usage

    def refused(self, refused: Refused, *, truncated: bool) -> Ending:
        """Return the ending of a request that was refused.

        :param truncated: whether the caller has received bytes of an answer.
        """
        if self._may_have_run:
            return self.unknown(refused.reason, refused.detail, truncated=truncated)
        outcome = Outcome.NOT_RUN if self.no_earlier_run else Outcome.UNKNOWN
        return Ending(
            outcome,
            refused.reason,
            refused.detail,
            Usage(),
            refused_try=not self.no_earlier_run,
        )

    def unknown(self, reason: Reason, detail: str, *, truncated: bool) -> Ending:
        """Return the ending of a request that may have run.

        :param truncated: whether the caller has received bytes of an answer.
        """
        return Ending(Outcome.UNKNOWN, reason, detail, self.known_usage(), truncated)

    def known_usage(self) -> Usage:
        """Return the sum of all known usage."""
        prompt_tokens = completion_tokens = 0
        for usage in self.charges.values():
            if usage is not None:
                prompt_tokens += usage.prompt_tokens
                completion_tokens += usage.completion_tokens
        return Usage(prompt_tokens, completion_tokens)
