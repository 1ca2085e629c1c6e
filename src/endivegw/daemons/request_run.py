"""One request on its way: carry out the machine's steps, settle, bill, log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from endivegw.budgets import BillLine, Reservation
from endivegw.daemons.attempt_stream import AttemptStream, cancel_attempt
from endivegw.daemons.held_attempts import HeldAttempt, HeldAttempts
from endivegw.daemons.request_money import RequestMoney
from endivegw.daemons.request_plan import RequestPlan, work_item
from endivegw.daemons.routed import Answered, AnswerSink, RequestEnd
from endivegw.decisions import AttemptEnd, AttemptKind, Placement
from endivegw.requests.attempts import RequestMachine
from endivegw.requests.steps import (
    AskClaim,
    CancelAttempt,
    Ending,
    Finish,
    HandOver,
    Pause,
    Place,
    Step,
)
from endivegw.results import Reason, Refused, Unknown
from endivegw.telemetry.catalogue import router as events
from endivegw.types import Outcome, RequestIdentity, Usage

if TYPE_CHECKING:
    from endivegw.daemons.request_runner import RunnerParts

__all__ = ["RequestRun"]


class RequestRun:
    """Drive one request's machine until it says how the request ended."""

    def __init__(
        self,
        plan: RequestPlan,
        machine: RequestMachine,
        sink: AnswerSink,
        parts: RunnerParts,
        held: HeldAttempts,
    ) -> None:
        self._plan = plan
        self._machine = machine
        self._parts = parts
        self._held = held
        self._money = RequestMoney(plan, parts.keeper, parts.clock)
        self._stream = AttemptStream(
            plan, machine, sink, parts.clock, parts.on_header, self._first_data
        )
        self._placed: Placement | None = None
        self._retry_after_s: float | None = None
        #: Whether the request was settled, billed and logged.
        self.ended = False

    async def to_end(self) -> RequestEnd:
        """Carry out step after step and return how the request ended."""
        return await self._carry_out(self._machine.begin(self._parts.clock()))

    async def stop(self, reason: Reason) -> RequestEnd:
        """End the request now: its deadline passed or its caller went away."""
        return await self._carry_out(self._machine.stop(reason, self._parts.clock()))

    async def _carry_out(self, step: Step) -> RequestEnd:
        while not isinstance(step, Finish):
            step = await self._do(step)
        return self._finish(step.ending)

    async def _do(self, step: Step) -> Step:
        match step:
            case Place():
                return await self._place(step)
            case AskClaim():
                return await self._ask_claim(step)
            case HandOver():
                return await self._hand_over(step)
            case CancelAttempt():
                return await self._cancel(step)
            case Pause():
                await anyio.sleep(step.seconds_s)
                return self._machine.paused(self._parts.clock())
        raise AssertionError(f"unknown step {step!r}")

    async def _place(self, step: Place) -> Step:
        self._leave_target()
        self._money.settle(self._machine.charges)
        refused = await self._money.reserve()
        if refused is None:
            found = await self._parts.queue.place(work_item(self._plan, step.avoid))
            if isinstance(found, Placement):
                return self._take_place(found)
            refused = found
        self._retry_after_s = refused.retry_after_s
        return self._machine.not_placed(refused, self._parts.clock())

    def _take_place(self, placed: Placement) -> Step:
        self._placed = placed
        link = self._parts.sidecars.find(placed.target)
        incarnation = link.start_incarnation if link is not None else ""
        now_s = self._parts.clock()
        step = self._machine.placed(placed.target, incarnation, now_s)
        self._parts.log.emit(
            events.REQUEST_PLACED,
            request_id=self._plan.request.request_id,
            target=placed.target,
            why=placed.why,
            figures=str(placed.figures),
        )
        return step

    async def _ask_claim(self, step: AskClaim) -> Step:
        identity = self._plan.facts.identity
        answer = await self._parts.claims.claim(identity, step.ask)
        now_s = self._parts.clock()
        if answer is None:
            return self._machine.claim_lost(now_s)
        return self._machine.claim_answered(answer, now_s)

    async def _hand_over(self, step: HandOver) -> Step:
        link = self._parts.sidecars.find(step.target)
        if link is None:
            return self._machine.lost(delivered=False, now_s=self._parts.clock())
        reservation: Reservation | None = None
        if not step.join_only:
            reservation = self._money.bind(step)
        header = self._parts.header()
        next_step = await self._stream.hand_over(step, link.client, header, reservation)
        refused = self._stream.take_refusal()
        if refused is not None:
            self._retry_after_s = refused.retry_after_s
            self._money.refused(step.attempt_id, refused)
        if not isinstance(next_step, Finish):
            self._log_retried(step, refused)
        return next_step

    async def _cancel(self, step: CancelAttempt) -> Step:
        link = self._parts.sidecars.find(step.target)
        word = None
        if link is not None:
            word = await cancel_attempt(link.client, self._parts.header(), step)
        now_s = self._parts.clock()
        if word is None:
            return self._machine.cancel_lost(now_s)
        return self._machine.cancelled(
            never_started=word.never_started,
            running=word.running,
            ended=word.ended,
            usage=word.usage,
            now_s=now_s,
        )

    def _finish(self, ending: Ending) -> RequestEnd:
        """Settle, bill and log; nothing here waits, so nothing is cut short."""
        self.ended = True
        charges = self._machine.charges
        self._leave_target(answered=ending.outcome is Outcome.ANSWERED)
        self._money.settle(charges)
        to_cancel = {step.attempt_id for step in self._machine.abandoned}
        for bound in self._money.unsettled():
            attempt_id = bound.step.attempt_id
            self._held.add(
                HeldAttempt(
                    bound.step, bound.reservation, self._plan, attempt_id in to_cancel
                )
            )
        self._money.release()
        self._bill(ending)
        self._log_end(ending)
        return _end_of(ending, self._retry_after_s)

    def _leave_target(self, answered: bool = False) -> None:
        """Tell the dispatcher that the place at the target is free."""
        placed = self._placed
        if placed is None:
            return
        self._placed = None
        usage, kind = self._last_charge(answered)
        self._parts.queue.dispatcher.ended(
            self._plan.request.request_id,
            placed.target,
            AttemptEnd(kind, usage.prompt_tokens, usage.completion_tokens),
            self._parts.clock(),
        )
        self._parts.queue.kick()

    def _last_charge(self, answered: bool) -> tuple[Usage, AttemptKind]:
        """Return what the attempt at the target consumed, and how it ended.

        Charges are kept in the order of the attempts.
        """
        charges = list(self._machine.charges.values())
        usage = charges[-1] if charges else Usage()
        if answered:
            return usage or Usage(), AttemptKind.OK
        if usage is None:
            return Usage(), AttemptKind.FAILED
        if usage == Usage():
            return usage, AttemptKind.REFUSED
        return usage, AttemptKind.FAILED

    def _bill(self, ending: Ending) -> None:
        """Write the request's one line, unless another router's attempt answered.

        What this router's own attempts consumed beside the answer stands on the
        line as lost; an attempt whose end is not known gets a record of its own
        when it is.
        """
        if not self._money.any_bound:
            return
        answered = ending.usage if ending.outcome is Outcome.ANSWERED else Usage()
        consumed = self._money.finished_tokens
        own = consumed >= answered.total_tokens
        line = BillLine(
            identity=self._billed_identity(),
            budget=self._plan.request.budget,
            prompt_tokens=answered.prompt_tokens if own else 0,
            completion_tokens=answered.completion_tokens if own else 0,
            lost_tokens=consumed - answered.total_tokens if own else consumed,
            outcome=ending.outcome,
            ended_at_s=self._parts.clock(),
        )
        self._parts.keeper.bill(line)

    def _billed_identity(self) -> RequestIdentity:
        """Return a name for the line that no other request of any caller has.

        A caller's second request under one key is another request where the
        first one's attempt was lost and it ran again.
        """
        request = self._plan.request
        key = request.idempotency_key
        name = f"{key}#{request.request_id}" if key else request.request_id
        return RequestIdentity(request.account.client_account, name)

    def _first_data(self) -> None:
        request = self._plan.request
        now_s = self._parts.clock()
        self._parts.queue.dispatcher.first_token(request.request_id, now_s)
        elapsed_ms = (now_s - request.arrived_s) * 1000.0
        self._parts.metrics.timing("request.first_data", elapsed_ms)

    def _log_retried(self, step: HandOver, refused: Refused | None) -> None:
        reason = refused.reason if refused is not None else Reason.ANSWER_LOST
        self._parts.log.emit(
            events.REQUEST_RETRIED,
            request_id=self._plan.request.request_id,
            attempt_id=step.attempt_id,
            target=step.target,
            reason=reason.value,
        )

    def _log_end(self, ending: Ending) -> None:
        request = self._plan.request
        elapsed_s = self._parts.clock() - request.arrived_s
        self._parts.metrics.incr(f"request.{ending.outcome.value}")
        self._parts.metrics.timing("request.elapsed", elapsed_s * 1000.0)
        if ending.outcome is Outcome.NOT_RUN:
            self._parts.log.emit(
                events.REQUEST_REFUSED,
                request_id=request.request_id,
                client_account=request.account.client_account,
                reason=ending.reason.value if ending.reason else "",
                detail=ending.detail,
            )
            return
        self._parts.log.emit(
            events.REQUEST_ENDED,
            request_id=request.request_id,
            client_account=request.account.client_account,
            outcome=ending.outcome.value,
            total_tokens=self._money.finished_tokens,
            elapsed_s=round(elapsed_s, 4),
        )


def _end_of(ending: Ending, retry_after_s: float | None) -> RequestEnd:
    reason = ending.reason or Reason.TARGET_FAILED
    match ending.outcome:
        case Outcome.ANSWERED:
            return Answered(ending.usage)
        case Outcome.NOT_RUN:
            return Refused(reason, ending.detail, retry_after_s)
        case Outcome.UNKNOWN:
            return Unknown(reason, ending.detail)
