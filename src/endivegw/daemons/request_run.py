"""One request on its way: carry out the machine's steps, settle, bill, log."""

from __future__ import annotations

from typing import TYPE_CHECKING, AsyncIterator

from endivegw.budgets import BillLine
from endivegw.daemons.held_attempts import HeldAttempt, HeldAttempts
from endivegw.daemons.request_content import RequestContent
from endivegw.daemons.request_driver import PlacedTarget, RequestDriver
from endivegw.daemons.request_messages import start_message
from endivegw.daemons.request_money import RequestMoney
from endivegw.daemons.request_plan import RequestPlan, work_item
from endivegw.daemons.routed import (
    Answered,
    AnswerSink,
    RefusedTry,
    RequestEnd,
    ServiceCall,
)
from endivegw.decisions import AttemptEnd, AttemptKind, Placement
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.attempts import RequestStateMachine
from endivegw.requests.claims import ClaimAnswer, ClaimProposal
from endivegw.requests.steps import Ending, HandOver
from endivegw.results import Reason, Refused, Unknown
from endivegw.telemetry.catalogue import router as events
from endivegw.types import Outcome, RequestIdentity, TargetName, Usage

if TYPE_CHECKING:
    from endivegw.daemons.request_runner import RunnerParts

__all__ = ["RequestRun"]


class RequestRun:
    """Be the router around one request's driver, and settle when it has ended."""

    def __init__(
        self,
        plan: RequestPlan,
        machine: RequestStateMachine,
        sink: AnswerSink,
        parts: RunnerParts,
        held: HeldAttempts,
    ) -> None:
        self._plan = plan
        self._machine = machine
        self._sink = sink
        self._parts = parts
        self._held = held
        self._money = RequestMoney(plan, parts.budget_manager, parts.clock)
        self._content = RequestContent(plan, parts.quarantine)
        self._driver = RequestDriver(machine, self, parts.clock)
        self._placed: Placement | None = None
        self._retry_after_s: float | None = None
        self._headed = False
        self._body_spent = False
        self._begun = False
        #: Whether the request was settled, billed and logged.
        self.ended = False

    async def to_end(self) -> RequestEnd:
        """Carry out step after step and return how the request ended."""
        return self._finish(await self._driver.run())

    async def abandon(self) -> None:
        """End the request for a caller that went away."""
        self._finish(await self._driver.stop(Reason.CANCELLED))

    # What the driver asks of the router.

    async def place(self, avoid: frozenset[TargetName]) -> PlacedTarget | Refused:
        """Reserve tokens and find a target; waits in the queue where needed."""
        self._leave_target()
        self._money.settle(self._machine.charges)
        refusal = self._content.refusal()
        if refusal is None and avoid and self._content.is_suspect:
            detail = "targets ended while they ran it"
            refusal = Refused(Reason.TARGET_FAILED, detail)
        if refusal is not None:
            self._retry_after_s = refusal.retry_after_s
            return refusal
        if self._body_spent:
            return Refused(Reason.TARGET_FAILED, "the body cannot be sent again", 1.0)
        refused = await self._money.reserve()
        if refused is None:
            found = await self._parts.queue.place(work_item(self._plan, avoid))
            if isinstance(found, Placement):
                return self._take_place(found)
            refused = found
        self._retry_after_s = refused.retry_after_s
        return refused

    def client(self, target: TargetName) -> SidecarClient | None:
        """Return the connection to a target's sidecar, None where it is gone."""
        link = self._parts.sidecars.find(target)
        return None if link is None else link.client

    def header(self) -> pb.Header:
        """Return this process's header."""
        return self._parts.header()

    def start(self, step: HandOver) -> pb.ExecuteStart:
        """Return the message for an order, with the tokens that it may consume."""
        reservation = None if step.join_only else self._money.bind(step)
        now_s = self._parts.clock()
        return start_message(self._plan, self._parts.header(), reservation, now_s)

    def may_start(self) -> bool:
        """Return whether an order may still start the request."""
        return not self._body_spent

    def body(self) -> AsyncIterator[bytes] | None:
        """Return the rest of a body that was not held, None where it was.

        It flows through once. What a second target would get is what the first
        one left, and the service would take that for the whole body.
        """
        self._body_spent = not self._plan.can_be_sent_again
        call = self._plan.request.call
        return call.rest if isinstance(call, ServiceCall) else None

    async def claim(self, proposal: ClaimProposal) -> ClaimAnswer | None:
        """Ask the slot's owner; None where it gave no answer."""
        return await self._parts.claims.claim(self._plan.facts.identity, proposal)

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Take the head of the answer; a rejoined answer brings it again."""
        if not self._headed:
            self._headed = True
            await self._sink.head(status, fields)

    async def data(self, data: bytes) -> None:
        """Take the next bytes of the answer."""
        if not self._begun:
            self._begun = True
            self._first_data()
        await self._sink.data(data)

    def reset(self) -> None:
        """Drop the bytes that were held back from the caller."""
        self._sink.reset()

    def heard(self, header: pb.Header) -> None:
        """Take in the header of a sidecar's frame."""
        self._parts.on_header(header)

    def refused(self, step: HandOver, refused: Refused) -> None:
        """Take in why an order started nothing, before the machine does."""
        self._retry_after_s = refused.retry_after_s
        self._money.refused(step.attempt_id, refused)
        self._parts.log.emit(
            events.REQUEST_RETRIED,
            request_id=self._plan.request.request_id,
            attempt_id=step.attempt_id,
            target=step.target,
            reason=refused.reason.value,
        )

    def target_ended(self, end: str) -> None:
        """Take in that a target ended with the request, before the machine does."""
        self._content.target_ended(end)

    def _take_place(self, placed: Placement) -> PlacedTarget:
        self._placed = placed
        link = self._parts.sidecars.find(placed.target)
        self._parts.log.emit(
            events.REQUEST_PLACED,
            request_id=self._plan.request.request_id,
            target=placed.target,
            why=placed.why,
            figures=str(placed.figures),
        )
        incarnation = link.start_incarnation if link is not None else ""
        return PlacedTarget(placed.target, incarnation)

    def _finish(self, ending: Ending) -> RequestEnd:
        """Settle, bill and log; nothing here waits, so nothing is cut short."""
        self.ended = True
        charges = self._machine.charges
        is_answered = ending.outcome is Outcome.ANSWERED
        if is_answered:
            self._content.answered()
        self._leave_target(answered=is_answered)
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
        self._parts.budget_manager.bill(line)

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

    def _log_end(self, ending: Ending) -> None:
        request = self._plan.request
        elapsed_s = self._parts.clock() - request.arrived_s
        self._parts.metrics.incr(f"request.{ending.outcome.value}")
        self._parts.metrics.timing("request.elapsed", elapsed_s * 1000.0)
        if ending.outcome is Outcome.NOT_RUN or ending.refused_try:
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
        case Outcome.UNKNOWN if ending.refused_try:
            return RefusedTry(Refused(reason, ending.detail, retry_after_s))
        case Outcome.UNKNOWN:
            return Unknown(reason, ending.detail)
