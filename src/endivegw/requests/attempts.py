"""State machine of one request at its router, from placement to its ending.

The module does no I/O. A driver carries out the step that each call returns and
reports the result with the next call.
"""

from __future__ import annotations

import random
from typing import Callable

from attrs import define, field

from endivegw.decisions.retry import RetryBudget, RetryPolicy, backoff_s
from endivegw.exceptions import InvariantError
from endivegw.requests.assembly import Assembler, Chunk, Complete, Inconsistent
from endivegw.requests.attempt_limits import (
    FINAL_FAILURES,
    FINAL_REFUSALS,
    TRANSIENT_REFUSALS,
    AttemptLimits,
)
from endivegw.requests.claims import (
    CannotTell,
    Claim,
    ClaimAnswer,
    ClaimProposal,
    Existing,
    Granted,
    Waiting,
    claim_key,
)
from endivegw.requests.run_record import Attempt, RunRecord
from endivegw.requests.steps import (
    CancelAttempt,
    Ending,
    Finish,
    HandOver,
    Pause,
    Place,
    ProposeClaim,
    RequestFacts,
    Step,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, Outcome, TargetName, Usage

__all__ = ["RequestStateMachine"]

#: Detail of an attempt whose sidecar was replaced while the engine reports that the
#: attempt has ended. Requesting the answer again would loop until the deadline.
_ANSWER_DISCARDED = "the attempt has ended and its answer is no longer available"


@define
class RequestStateMachine:
    """Drive one request to an ending that is true for the caller.

    :ivar abandoned: attempts that were abandoned and should be cancelled.
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
    _transient_refusals: int = 0
    _resumes: int = 0
    _pauses: int = 0
    _replaces: AttemptId = AttemptId("")
    _after_pause: Step | None = None
    _after_cancel: Reason | None = None
    _retry_after: Refused | None = None

    def __attrs_post_init__(self) -> None:
        self._assembler = Assembler(AttemptId(""))
        # For a non-repeatable request, only a claim can prove that no earlier try with
        # the key ran.
        self._record = RunRecord(no_earlier_run=self.facts.repeatable)

    @property
    def charges(self) -> dict[AttemptId, Usage | None]:
        """Return the usage of each attempt; None if it is unknown."""
        return self._record.charges

    @property
    def has_delivered_bytes(self) -> bool:
        """Return whether the caller has received bytes, which cannot be retracted."""
        return self.facts.streams and self._assembler.offset_bytes > 0

    def start(self, now_s: float) -> Step:
        """Return the first step."""
        if not self.facts.repeatable and not self.facts.keyed:
            # Without a key, no earlier try can exist.
            self._record.no_earlier_run = True
            return self._finish_refused(
                Refused(
                    Reason.KEY_REQUIRED,
                    "a request that is not repeatable needs an idempotency key",
                )
            )
        self.retries.first_attempt(now_s)
        return self._place(now_s)

    def placed(self, target: TargetName, incarnation: str, now_s: float) -> Step:
        """Process the target that was found."""
        self._attempt = Attempt(self.new_id(), target, incarnation)
        self._resumes = 0
        if self.facts.keyed:
            return self._claim_step()
        return self._hand_over()

    def not_placed(self, refused: Refused, now_s: float) -> Step:
        """Process the refusal when no target can serve the request in time."""
        return self._finish_refused(refused)

    def claim_answered(self, answer: ClaimAnswer, now_s: float) -> Step:
        """Process the answer of the slot's owner."""
        match answer:
            case Granted():
                self._record.no_earlier_run = True
                self._replaces = AttemptId("")
                return self._hand_over()
            case Existing(claim=claim):
                return self._join(claim)
            case Refused(reason=Reason.KEY_CONFLICT):
                self._record.no_earlier_run = True
                return self._finish_refused(answer)
            case CannotTell() if not self.facts.repeatable:
                detail = "an earlier try with this key may have run"
                return self._finish_unknown(Reason.CLAIM_UNAVAILABLE, detail)
            case CannotTell() | Waiting() | Refused():
                return self.claim_lost(now_s)

    def claim_lost(self, now_s: float) -> Step:
        """Process the absence of a usable answer from the slot's owner."""
        if self.facts.repeatable:
            # The claim would only have served to find an earlier attempt.
            return self._hand_over()
        # Proposing again is safe because the claim names the same attempt.
        return self._pause(self._claim_step(), now_s)

    def paused(self, now_s: float) -> Step:
        """Return the step that follows a pause."""
        step = self._after_pause
        if step is None:
            raise InvariantError("a pause ended although none was requested")
        self._after_pause = None
        return step

    def refused(self, refused: Refused, now_s: float) -> Step:
        """Process the sidecar's report that this order started nothing."""
        attempt = self._current()
        self._retry_after = refused
        if attempt.foreign:
            return self._handle_refused_join(attempt, refused, now_s)
        if attempt.connection_broken:
            return self._handle_refused_resend(attempt, refused, now_s)
        self._record.record_not_run(attempt)
        return self._retry_after_refusal(attempt, refused, now_s)

    def head(self, attempt_id: AttemptId, joined: bool, now_s: float) -> Step | None:
        """Process the head of an answer, which names the attempt that produces it.

        :returns: the next step if this answer cannot be used, else None.
        """
        attempt = self._current()
        if attempt_id != attempt.attempt_id:
            if not joined:
                raise InvariantError(
                    f"answer of attempt {attempt_id} received for attempt "
                    f"{attempt.attempt_id} without joining it"
                )
            # The key already had an attempt at this target, so this one was never
            # started.
            self._record.record_not_run(attempt)
            self._record.record_foreign(attempt_id)
        if self._assembler.offset_bytes and attempt_id != self._assembler.attempt_id:
            # The attempt failed and another router started a new one for the key. The
            # rest of the new answer does not continue the bytes read before.
            detail = "the answer was restarted by another attempt"
            return self._handle_failure(Reason.ANSWER_LOST, detail, now_s)
        self._assembler.move_to(attempt_id)
        return None

    def data(
        self, attempt_id: AttemptId, offset_bytes: int, data: bytes, now_s: float
    ) -> tuple[Chunk, ...] | Step:
        """Process bytes; return what may be delivered, or the next step."""
        outcome = self._assembler.data(attempt_id, offset_bytes, data)
        if isinstance(outcome, Inconsistent):
            return self._handle_failure(Reason.ANSWER_LOST, outcome.detail, now_s)
        return outcome

    def ended(
        self, attempt_id: AttemptId, length_bytes: int, usage: Usage, now_s: float
    ) -> Step:
        """Process the end frame; the answer is complete only if every byte arrived."""
        match self._assembler.end(attempt_id, length_bytes):
            case Complete():
                self._record.charge(attempt_id, usage)
                return self._finish(
                    Ending(Outcome.ANSWERED, None, "", usage), answered=True
                )
            case Inconsistent(detail=detail):
                return self._handle_failure(Reason.ANSWER_LOST, detail, now_s)
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
        """Process the failure of a started attempt."""
        self._record.charge(attempt_id, usage if usage_final else None)
        return self._handle_failure(reason, detail, now_s)

    def lost(self, *, delivered: bool, now_s: float) -> Step:
        """Process a connection that broke or could not be opened.

        :param delivered: whether the order was written. If it was not, this order
            started nothing.
        """
        attempt = self._current()
        if delivered:
            attempt.sends += 1
            attempt.connection_broken = True
            self._record.handed_over(attempt)
        elif attempt.sends == 0 and not attempt.foreign:
            self._record.record_not_run(attempt)
            refused = Refused(Reason.UNREACHABLE, "the target cannot be reached")
            return self._retry_after_refusal(attempt, refused, now_s)
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
        """Process the reply to a cancel; all flags are False if unknown."""
        attempt = self._current()
        if never_started:
            self._record.record_not_run(attempt)
        elif ended:
            attempt.finished = True
            self._record.charge(attempt.attempt_id, usage)
        if self._after_cancel is not None:
            return self._finish_stopped(self._after_cancel)
        if never_started:
            return self._place_replacement(attempt, now_s)
        if ended or running:
            # The attempt did start; its answer is available or known to be lost.
            return self._hand_over(join_only=True)
        detail = "the target's sidecar has no record of the attempt"
        return self._handle_unproven_start(attempt, detail, now_s)

    def cancel_lost(self, now_s: float) -> Step:
        """Process a cancel that was not answered."""
        if self._after_cancel is not None:
            # The attempt may be running for a caller that left.
            self.abandoned.append(self._cancel_step(self._current(), bar_only=False))
            return self._finish_stopped(self._after_cancel)
        return self._handle_unproven_start(
            self._current(), "the cancel was not answered", now_s
        )

    def stop(self, reason: Reason, now_s: float) -> Step:
        """End the request early.

        :param reason: the deadline passed, the caller left, or this router stops.
        """
        attempt = self._attempt
        if attempt is None or attempt.foreign:
            return self._finish_stopped(reason)
        if not self._record.may_have_run(attempt):
            # The order was not written; the tokens of the attempt can be released.
            self._record.record_not_run(attempt)
            return self._finish_stopped(reason)
        if reason is not Reason.DEADLINE and not self.facts.repeatable:
            # A non-repeatable operation that is stopped halfway is of no use, so it
            # runs on and its answer is retained for the caller's retry.
            return self._finish_stopped(reason)
        self._after_cancel = reason
        return self._cancel_step(attempt, bar_only=False)

    def handed_over(self) -> None:
        """Record that the order is about to be written."""
        self._record.handed_over(self._current())

    def _current(self) -> Attempt:
        if self._attempt is None:
            raise InvariantError("no attempt has been placed")
        return self._attempt

    def _place(self, now_s: float) -> Step:
        if self._placements >= self.limits.max_placements:
            return self._finish_refused(
                self._retry_after
                or Refused(Reason.NO_TARGET, "no target accepted the request")
            )
        self._placements += 1
        return Place(frozenset(self._avoid))

    def _claim_step(self) -> ProposeClaim:
        attempt = self._current()
        claim = Claim(
            claim_key(self.facts.identity),
            attempt.attempt_id,
            attempt.target,
            attempt.incarnation,
            self.facts.body_digest,
        )
        return ProposeClaim(ClaimProposal(claim, self._replaces, self.facts.repeatable))

    def _hand_over(self, *, join_only: bool = False) -> HandOver:
        attempt = self._current()
        # As long as no bytes were delivered, another attempt may supply the answer.
        if not self.has_delivered_bytes and not self._assembler.offset_bytes:
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
        self._record.record_foreign(claim.attempt_id)
        return self._hand_over()

    def _resume(self, attempt: Attempt, now_s: float) -> Step:
        self._resumes += 1
        if self.facts.repeatable and self._resumes > self._max_resumes():
            return self._retry_after_loss(
                Reason.UNREACHABLE, "the connection to the target was lost", now_s
            )
        # Only this target can have the answer of a non-repeatable request.
        return self._pause(self._hand_over(), now_s)

    def _max_resumes(self) -> int:
        if self.has_delivered_bytes:
            return self.limits.max_resumes
        return self.limits.max_resumes_before_retry

    def _pause(self, then: Step, now_s: float) -> Step:
        self._pauses += 1
        wait_s = backoff_s(
            self.retry_policy, self._pauses, now_s, self.facts.deadline_s, 0.0, self.rng
        )
        if wait_s is None:
            return self.stop(Reason.DEADLINE, now_s)
        self._after_pause = then
        return Pause(wait_s)

    def _handle_refused_join(
        self, attempt: Attempt, refused: Refused, now_s: float
    ) -> Step:
        match refused.reason:
            case Reason.NOT_FOUND if attempt.finished:
                return self._handle_unproven_start(attempt, _ANSWER_DISCARDED, now_s)
            case Reason.NOT_FOUND:
                # The router that created the attempt may have died before it sent the
                # order, or the order is still in transit. Only the bar proves that it
                # will not start.
                return self._cancel_step(attempt, bar_only=True)
            case Reason.KEY_CONFLICT:
                return self._finish_refused(refused)
        return self._pause(self._hand_over(), now_s)

    def _handle_refused_resend(
        self, attempt: Attempt, refused: Refused, now_s: float
    ) -> Step:
        # An earlier order of this attempt was written to a connection that broke, and
        # can still arrive after this refusal.
        if refused.reason is Reason.WRONG_INSTANCE:
            detail = "the target's sidecar restarted"
            return self._handle_unproven_start(attempt, detail, now_s)
        if refused.reason is Reason.NOT_FOUND and attempt.finished:
            return self._handle_unproven_start(attempt, _ANSWER_DISCARDED, now_s)
        return self._cancel_step(attempt, bar_only=True)

    def _cancel_step(self, attempt: Attempt, *, bar_only: bool) -> CancelAttempt:
        return CancelAttempt(
            attempt.attempt_id, attempt.target, attempt.incarnation, bar_only
        )

    def _place_replacement(self, attempt: Attempt, now_s: float) -> Step:
        """Place a new attempt in place of one that will never start."""
        self._replaces = attempt.attempt_id
        return self._place(now_s)

    def _handle_unproven_start(
        self, attempt: Attempt, detail: str, now_s: float
    ) -> Step:
        """Continue without proof that an attempt never starts."""
        if self.facts.repeatable:
            self._replaces = attempt.attempt_id
            return self._retry_after_loss(Reason.ANSWER_LOST, detail, now_s)
        return self._finish_unknown(Reason.ANSWER_LOST, detail)

    def _retry_after_refusal(
        self, attempt: Attempt, refused: Refused, now_s: float
    ) -> Step:
        self._retry_after = refused
        if refused.reason in FINAL_REFUSALS:
            return self._finish_refused(refused)
        if (
            refused.reason in TRANSIENT_REFUSALS
            and self._transient_refusals < self.limits.max_transient_refusals
        ):
            self._transient_refusals += 1
            self._placements -= 1
            return self._pause(self._place_replacement(attempt, now_s), now_s)
        self._avoid.add(attempt.target)
        return self._place_replacement(attempt, now_s)

    def _retry_after_loss(self, reason: Reason, detail: str, now_s: float) -> Step:
        attempt = self._current()
        if not self.facts.repeatable or self.has_delivered_bytes:
            return self._finish_unknown(reason, detail)
        if self._record.may_have_run(attempt) and not attempt.foreign:
            self.abandoned.append(self._cancel_step(attempt, bar_only=False))
        if self.retries.may_retry(now_s) is not True:
            return self._finish_unknown(reason, detail)
        self._avoid.add(attempt.target)
        self._replaces = attempt.attempt_id
        self._assembler = Assembler(AttemptId(""))
        return self._place(now_s)

    def _handle_failure(self, reason: Reason, detail: str, now_s: float) -> Step:
        if reason in FINAL_FAILURES:
            return self._finish_unknown(reason, detail)
        return self._retry_after_loss(reason, detail, now_s)

    def _finish_refused(self, refused: Refused) -> Step:
        return self._finish(
            self._record.refused(refused, truncated=self.has_delivered_bytes)
        )

    def _finish_stopped(self, reason: Reason) -> Step:
        return self._finish_refused(
            Refused(reason, "stopped before an answer was received")
        )

    def _finish_unknown(self, reason: Reason, detail: str) -> Step:
        ending = self._record.unknown(
            reason, detail, truncated=self.has_delivered_bytes
        )
        return self._finish(ending)

    def _finish(self, ending: Ending, *, answered: bool = False) -> Finish:
        if ending.outcome is Outcome.NOT_RUN and not self._record.nothing_ran:
            raise InvariantError(
                "a request that may have run cannot be reported as not run"
            )
        if answered and not self._assembler.complete:
            raise InvariantError("an incomplete answer cannot be reported as complete")
        return Finish(ending)
