"""One request at its router: hand-over, loss, resumption, retry, ending.

Pure: a driver carries out the step that each call returns, and reports what
came of it by the next call.
"""

from __future__ import annotations

import random
from typing import Callable

from attrs import define, field

from endivegw.decisions.retry import RetryBudget, RetryPolicy, backoff_s
from endivegw.exceptions import InvariantError
from endivegw.requests.assembly import Assembler, Cut, Piece, Whole
from endivegw.requests.attempt_limits import (
    ASK_ANEW,
    HOPELESS,
    NO_RETRY,
    AttemptLimits,
)
from endivegw.requests.claims import (
    CannotTell,
    Claim,
    ClaimAnswer,
    ClaimAsk,
    Existing,
    Granted,
    Waiting,
    claim_key,
)
from endivegw.requests.run_record import Attempt, RunRecord
from endivegw.requests.steps import (
    AskClaim,
    CancelAttempt,
    Ending,
    Finish,
    HandOver,
    Pause,
    Place,
    RequestFacts,
    Step,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Outcome, TargetName, Usage

__all__ = ["RequestMachine"]

#: A sidecar was replaced, and the engine knows that the attempt has ended: asking
#: again would go round and round until the deadline.
_GONE = "the attempt has ended and its answer is not held any more"


@define
class RequestMachine:
    """Drive one request to an honest ending.

    :ivar abandoned: attempts that were given up and should be cancelled.
    """

    facts: RequestFacts
    limits: AttemptLimits
    retry_policy: RetryPolicy
    retries: RetryBudget
    rng: random.Random
    new_id: Callable[[], AttemptId]
    abandoned: list[CancelAttempt] = field(factory=list)
    _assembler: Assembler = field(init=False)
    _record: RunRecord = field(init=False)
    _attempt: Attempt | None = None
    _avoid: set[TargetName] = field(factory=set)
    _placements: int = 0
    _asked_anew: int = 0
    _resumes: int = 0
    _waits: int = 0
    _replaces: AttemptId = AttemptId("")
    _after_pause: Step | None = None
    _after_cancel: Reason | None = None
    _retry_after: Refused | None = None

    def __attrs_post_init__(self) -> None:
        self._assembler = Assembler(AttemptId(""))
        # Only a claim can tell that no earlier try with the key ran.
        self._record = RunRecord(key_clear=self.facts.repeatable)

    @property
    def charges(self) -> dict[AttemptId, Usage | None]:
        """Return what each attempt consumed; None where it is not known."""
        return self._record.charges

    @property
    def gave_out_bytes(self) -> bool:
        """Return whether the caller has bytes that cannot be taken back."""
        return self.facts.streams and self._assembler.offset_bytes > 0

    def begin(self, now_s: float) -> Step:
        """Return the first step."""
        if not self.facts.repeatable and not self.facts.keyed:
            # Without a key there is no earlier try that could have run.
            self._record.key_clear = True
            return self._finish_refused(
                Refused(Reason.KEY_REQUIRED, "not repeatable, so it needs a key")
            )
        self.retries.first_attempt(now_s)
        return self._place(now_s)

    def placed(self, target: TargetName, incarnation: str, now_s: float) -> Step:
        """Take the target that was found."""
        self._attempt = Attempt(self.new_id(), target, incarnation)
        self._resumes = 0
        if self.facts.keyed:
            return self._claim_step()
        return self._hand_over()

    def not_placed(self, refused: Refused, now_s: float) -> Step:
        """Take it that no target can serve the request in time."""
        return self._finish_refused(refused)

    def claim_answered(self, answer: ClaimAnswer, now_s: float) -> Step:
        """Take the word of the slot's owner."""
        match answer:
            case Granted():
                self._record.key_clear = True
                self._replaces = AttemptId("")
                return self._hand_over()
            case Existing(claim=claim):
                return self._join(claim)
            case Refused(reason=Reason.KEY_CONFLICT):
                self._record.key_clear = True
                return self._finish_refused(answer)
            case CannotTell() if not self.facts.repeatable:
                why = "an earlier try with this key may have run"
                return self._finish_unknown(Reason.CLAIM_UNAVAILABLE, why)
            case CannotTell() | Waiting() | Refused():
                return self.claim_lost(now_s)

    def claim_lost(self, now_s: float) -> Step:
        """Take it that the slot's owner gave no usable answer."""
        if self.facts.repeatable:
            # The claim would only have helped to find an earlier attempt.
            return self._hand_over()
        # Asking again is safe: the claim names the same attempt.
        return self._pause(self._claim_step(), now_s)

    def paused(self, now_s: float) -> Step:
        """Take it that a pause is over."""
        step = self._after_pause
        if step is None:
            raise InvariantError("a pause ended that was not asked for")
        self._after_pause = None
        return step

    def refused(self, refused: Refused, now_s: float) -> Step:
        """Take the sidecar's word that this order started nothing."""
        attempt = self._current()
        self._retry_after = refused
        if attempt.foreign:
            return self._refused_join(attempt, refused, now_s)
        if attempt.broken:
            return self._refused_after_loss(attempt, refused, now_s)
        self._record.did_not_run(attempt)
        return self._elsewhere_after_refusal(attempt, refused, now_s)

    def head(self, attempt_id: AttemptId, joined: bool, now_s: float) -> Step | None:
        """Take the head of an answer; it says whose answer it is.

        :returns: how to go on where this answer is of no use, else None.
        """
        attempt = self._current()
        if attempt_id != attempt.attempt_id:
            if not joined:
                raise InvariantError("an answer of another attempt would be given out")
            # The key had an attempt here already; this one was never started.
            self._record.did_not_run(attempt)
            self._record.found(attempt_id)
        if self._assembler.offset_bytes and attempt_id != self._assembler.attempt_id:
            # The attempt failed and the key was started anew by another router.
            # The rest of its answer does not fit to what was read before.
            why = "the answer was made anew by another attempt"
            return self._cannot_finish(Reason.ANSWER_LOST, why, now_s)
        self._assembler.move_to(attempt_id)
        return None

    def data(
        self, attempt_id: AttemptId, offset_bytes: int, data: bytes, now_s: float
    ) -> tuple[Piece, ...] | Step:
        """Take bytes; return what may be given out, or how to go on."""
        outcome = self._assembler.data(attempt_id, offset_bytes, data)
        if isinstance(outcome, Cut):
            return self._cannot_finish(Reason.ANSWER_LOST, outcome.detail, now_s)
        return outcome

    def ended(
        self, attempt_id: AttemptId, length_bytes: int, usage: Usage, now_s: float
    ) -> Step:
        """Take the end frame; the answer is whole only if every byte came."""
        match self._assembler.end(attempt_id, length_bytes):
            case Whole():
                self._record.charge(attempt_id, usage)
                return self._finish(
                    Ending(Outcome.ANSWERED, None, "", usage), answered=True
                )
            case Cut(detail=detail):
                return self._cannot_finish(Reason.ANSWER_LOST, detail, now_s)
        return self.lost(delivered=True, now_s=now_s)

    def failed(
        self,
        attempt_id: AttemptId,
        reason: Reason,
        detail: str,
        usage: Usage,
        usage_final: bool,
        now_s: float,
    ) -> Step:
        """Take it that a started attempt will not be finished."""
        self._record.charge(attempt_id, usage if usage_final else None)
        return self._cannot_finish(reason, detail, now_s)

    def lost(self, *, delivered: bool, now_s: float) -> Step:
        """Take it that the connection broke, or was not made.

        :param delivered: whether the order was written; where it was not, this
            order started nothing.
        """
        attempt = self._current()
        if delivered:
            attempt.orders += 1
            attempt.broken = True
            self._record.handed_over(attempt)
        elif attempt.orders == 0 and not attempt.foreign:
            self._record.did_not_run(attempt)
            refused = Refused(Reason.UNREACHABLE, "the target cannot be reached")
            return self._elsewhere_after_refusal(attempt, refused, now_s)
        return self._resume(attempt, now_s)

    def cancelled(
        self,
        *,
        never_started: bool,
        running: bool,
        ended: bool,
        usage: Usage,
        now_s: float,
    ) -> Step:
        """Take the answer to a cancel; all False where the sidecar cannot tell."""
        attempt = self._current()
        if never_started:
            self._record.did_not_run(attempt)
        elif ended:
            attempt.over = True
            self._record.charge(attempt.attempt_id, usage)
        if self._after_cancel is not None:
            return self._finish_stopped(self._after_cancel)
        if never_started:
            return self._moved(attempt, now_s)
        if ended or running:
            # It started after all; its answer is held, or known to be lost.
            return self._hand_over(join_only=True)
        why = "the target's sidecar does not remember the attempt"
        return self._no_proof(attempt, why, now_s)

    def cancel_lost(self, now_s: float) -> Step:
        """Take it that a cancel was not answered."""
        if self._after_cancel is not None:
            return self._finish_stopped(self._after_cancel)
        return self._no_proof(self._current(), "the cancel was not answered", now_s)

    def stop(self, reason: Reason, now_s: float) -> Step:
        """Take it that the deadline passed or the caller went away."""
        attempt = self._attempt
        if attempt is None or attempt.foreign or not self._record.may_have_run(attempt):
            return self._finish_stopped(reason)
        if reason is Reason.CANCELLED and not self.facts.repeatable:
            # A booking that is half made helps nobody: the answer is made and
            # kept for the caller's retry.
            return self._finish_stopped(reason)
        self._after_cancel = reason
        return self._cancel(attempt, bar_only=False)

    def handed_over(self) -> None:
        """Take it that the order is being written from now on."""
        self._record.handed_over(self._current())

    def _current(self) -> Attempt:
        if self._attempt is None:
            raise InvariantError("no attempt was placed")
        return self._attempt

    def _place(self, now_s: float) -> Step:
        if self._placements >= self.limits.placements:
            return self._finish_refused(
                self._retry_after or Refused(Reason.NO_TARGET, "no target took it")
            )
        self._placements += 1
        return Place(frozenset(self._avoid))

    def _claim_step(self) -> AskClaim:
        attempt = self._current()
        claim = Claim(
            claim_key(self.facts.identity),
            attempt.attempt_id,
            attempt.target,
            attempt.incarnation,
            self.facts.body_digest,
        )
        return AskClaim(ClaimAsk(claim, self._replaces, self.facts.repeatable))

    def _hand_over(self, *, join_only: bool = False) -> HandOver:
        attempt = self._current()
        # What was not given out yet can come from another attempt.
        if not self.gave_out_bytes and not self._assembler.offset_bytes:
            self._assembler = Assembler(attempt.attempt_id)
        return HandOver(
            attempt.attempt_id,
            attempt.target,
            attempt.incarnation,
            self._assembler.offset_bytes,
            join_only or attempt.foreign,
        )

    def _join(self, claim: Claim) -> Step:
        self._attempt = Attempt(
            claim.attempt_id, claim.target, claim.incarnation, foreign=True
        )
        self._resumes = 0
        self._record.found(claim.attempt_id)
        return self._hand_over()

    def _resume(self, attempt: Attempt, now_s: float) -> Step:
        self._resumes += 1
        if self.facts.repeatable and self._resumes > self._most_resumes():
            return self._elsewhere_after_loss(
                Reason.UNREACHABLE, "the target was lost", now_s
            )
        # What may not be repeated is to be had at this target or nowhere.
        return self._pause(self._hand_over(), now_s)

    def _most_resumes(self) -> int:
        if self.gave_out_bytes:
            return self.limits.resumes
        return self.limits.resumes_before_retry

    def _pause(self, then: Step, now_s: float) -> Step:
        self._waits += 1
        wait_s = backoff_s(
            self.retry_policy, self._waits, now_s, self.facts.deadline_s, 0.0, self.rng
        )
        if wait_s is None:
            return self.stop(Reason.DEADLINE, now_s)
        self._after_pause = then
        return Pause(wait_s)

    def _refused_join(self, attempt: Attempt, refused: Refused, now_s: float) -> Step:
        match refused.reason:
            case Reason.NOT_FOUND if attempt.over:
                return self._no_proof(attempt, _GONE, now_s)
            case Reason.NOT_FOUND:
                # Its router may have died before the order left, or the order is
                # still under way: only the bar proves that it will not start.
                return self._cancel(attempt, bar_only=True)
            case Reason.KEY_CONFLICT:
                return self._finish_refused(refused)
        return self._pause(self._hand_over(), now_s)

    def _refused_after_loss(
        self, attempt: Attempt, refused: Refused, now_s: float
    ) -> Step:
        # An earlier order of this attempt was written to a connection that
        # broke, and can still arrive behind this refusal.
        if refused.reason is Reason.WRONG_INSTANCE:
            why = "the target's sidecar restarted"
            return self._no_proof(attempt, why, now_s)
        if refused.reason is Reason.NOT_FOUND and attempt.over:
            return self._no_proof(attempt, _GONE, now_s)
        return self._cancel(attempt, bar_only=True)

    def _cancel(self, attempt: Attempt, *, bar_only: bool) -> CancelAttempt:
        return CancelAttempt(
            attempt.attempt_id, attempt.target, attempt.incarnation, bar_only
        )

    def _moved(self, attempt: Attempt, now_s: float) -> Step:
        """Go on with a new attempt, in the place of one that never starts."""
        self._replaces = attempt.attempt_id
        return self._place(now_s)

    def _no_proof(self, attempt: Attempt, why: str, now_s: float) -> Step:
        if self.facts.repeatable:
            self._replaces = attempt.attempt_id
            return self._elsewhere_after_loss(Reason.ANSWER_LOST, why, now_s)
        return self._finish_unknown(Reason.ANSWER_LOST, why)

    def _elsewhere_after_refusal(
        self, attempt: Attempt, refused: Refused, now_s: float
    ) -> Step:
        self._retry_after = refused
        if refused.reason in HOPELESS:
            return self._finish_refused(refused)
        if refused.reason in ASK_ANEW and self._asked_anew < self.limits.waits:
            self._asked_anew += 1
            self._placements -= 1
            return self._pause(self._moved(attempt, now_s), now_s)
        self._avoid.add(attempt.target)
        return self._moved(attempt, now_s)

    def _elsewhere_after_loss(self, reason: Reason, detail: str, now_s: float) -> Step:
        attempt = self._current()
        if not self.facts.repeatable or self.gave_out_bytes:
            return self._finish_unknown(reason, detail)
        if self._record.may_have_run(attempt) and not attempt.foreign:
            self.abandoned.append(self._cancel(attempt, bar_only=False))
        if self.retries.may_retry(now_s) is not True:
            return self._finish_unknown(reason, detail)
        self._avoid.add(attempt.target)
        self._replaces = attempt.attempt_id
        self._assembler = Assembler(AttemptId(""))
        return self._place(now_s)

    def _cannot_finish(self, reason: Reason, detail: str, now_s: float) -> Step:
        if reason in NO_RETRY:
            return self._finish_unknown(reason, detail)
        return self._elsewhere_after_loss(reason, detail, now_s)

    def _finish_refused(self, refused: Refused) -> Step:
        return self._finish(self._record.refused(refused, cut=self.gave_out_bytes))

    def _finish_stopped(self, reason: Reason) -> Step:
        return self._finish_refused(Refused(reason, "stopped before an answer"))

    def _finish_unknown(self, reason: Reason, detail: str) -> Step:
        ending = self._record.unknown(reason, detail, cut=self.gave_out_bytes)
        return self._finish(ending)

    def _finish(self, ending: Ending, *, answered: bool = False) -> Finish:
        if ending.outcome is Outcome.NOT_RUN and not self._record.nothing_ran:
            raise InvariantError("a request that may have run would be called not run")
        if answered and not self._assembler.whole:
            raise InvariantError("a cut answer would be called whole")
        return Finish(ending)
