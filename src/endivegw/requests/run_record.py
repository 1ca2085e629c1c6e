"""What may have run for one request, and what it consumed."""

from __future__ import annotations

from attrs import define, field

from endivegw.requests.steps import Ending
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Outcome, TargetName, Usage

__all__ = ["Attempt", "RunRecord"]


@define
class Attempt:
    """Hold what is known of one attempt.

    :ivar foreign: whether another router made it; this one only joins it.
    :ivar orders: how often its start was written to a connection.
    :ivar broken: whether one of these connections broke before its answer.
    :ivar over: whether it is known to have started and ended.
    """

    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    foreign: bool = False
    orders: int = 0
    broken: bool = False
    over: bool = False


@define
class RunRecord:
    """Tell honestly whether a request can have run.

    What goes wrong without it: a router calls a request *not run* because its
    connection broke, the caller sends it again, and it runs twice. So an
    attempt counts as possibly run from the moment its order is written, until
    its refusal or its bar is confirmed.

    :ivar key_clear: whether no earlier try under the request's key can have
        run; for a request that may not be repeated only a claim can tell.
    :ivar charges: what each own attempt consumed; None where it is not known.
    """

    key_clear: bool
    charges: dict[AttemptId, Usage | None] = field(factory=dict)
    _may_have_run: set[AttemptId] = field(factory=set)

    @property
    def nothing_ran(self) -> bool:
        """Return whether the caller may be told *not run*."""
        return self.key_clear and not self._may_have_run

    def may_have_run(self, attempt: Attempt) -> bool:
        """Return whether an attempt can have started, or can still start."""
        return attempt.attempt_id in self._may_have_run

    def handed_over(self, attempt: Attempt) -> None:
        """Count an attempt as possibly run, before its order is written."""
        self._may_have_run.add(attempt.attempt_id)
        if not attempt.foreign:
            self.charges.setdefault(attempt.attempt_id, None)

    def found(self, attempt_id: AttemptId) -> None:
        """Count another router's attempt as possibly run."""
        self._may_have_run.add(attempt_id)

    def did_not_run(self, attempt: Attempt) -> None:
        """Take it that an attempt has not started and never will."""
        self._may_have_run.discard(attempt.attempt_id)
        if not attempt.foreign:
            self.charges[attempt.attempt_id] = Usage()

    def charge(self, attempt_id: AttemptId, usage: Usage | None) -> None:
        """Take what an attempt consumed.

        Another router's attempt is charged to the grant that it runs under.
        """
        if attempt_id in self.charges:
            self.charges[attempt_id] = usage

    def refused(self, refused: Refused, *, cut: bool) -> Ending:
        """Return what may be said of a request that ends in a refusal.

        :param cut: whether the caller has bytes of an answer.
        """
        if self._may_have_run:
            return self.unknown(refused.reason, refused.detail, cut=cut)
        outcome = Outcome.NOT_RUN if self.key_clear else Outcome.UNKNOWN
        return Ending(
            outcome,
            refused.reason,
            refused.detail,
            Usage(),
            refused_try=not self.key_clear,
        )

    def unknown(self, reason: Reason, detail: str, *, cut: bool) -> Ending:
        """Return the ending of a request that may have run.

        :param cut: whether the caller has bytes of an answer.
        """
        return Ending(Outcome.UNKNOWN, reason, detail, self.known_usage(), cut)

    def known_usage(self) -> Usage:
        """Return what is known to have been consumed."""
        prompt_tokens = completion_tokens = 0
        for usage in self.charges.values():
            if usage is not None:
                prompt_tokens += usage.prompt_tokens
                completion_tokens += usage.completion_tokens
        return Usage(prompt_tokens, completion_tokens)
