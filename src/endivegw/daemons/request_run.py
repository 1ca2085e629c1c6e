"""Execution of one request: drive its state machine, then settle, bill and log it."""

from __future__ import annotations

from typing import TYPE_CHECKING, AsyncIterator

from endivegw.budgets import BillLine
from endivegw.daemons.held_attempts import AttemptResolver, UnresolvedAttempt
from endivegw.daemons.request_content import RequestQuarantine
from endivegw.daemons.request_driver import PlacedTarget, RequestDriver
from endivegw.daemons.request_messages import start_message
from endivegw.daemons.request_money import RequestReservations
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
    """Provide the router's ports to one request's driver, and settle the request."""

    def __init__(
        self,
        plan: RequestPlan,
        machine: RequestStateMachine,
        sink: AnswerSink,
        parts: RunnerParts,
        attempt_resolver: AttemptResolver,
    ) -> None:
        self._plan = plan
        self._machine = machine
        self._sink = sink
        self._parts = parts
        self._attempt_resolver = attempt_resolver
        self._reservations = RequestReservations(
            plan, parts.budget_manager, parts.clock
        )
        self._quarantine = RequestQuarantine(plan, parts.quarantine)
        self._driver = RequestDriver(machine, self, parts.clock)
        self._placement: Placement | None = None
        self._retry_after_s: float | None = None
        self._head_sent = False
        self._body_consumed = False
        self._data_received = False
        #: Whether the request was settled, billed and logged.
        self.ended = False

    async def run(self) -> RequestEnd:
        """Execute the request and return how it ended."""
        return self._finish(await self._driver.run())

    async def abandon(self) -> None:
        """End the request after its caller has disconnected."""
        self._finish(await self._driver.stop(Reason.CANCELLED))

    def interrupt(self) -> None:
        """Let :meth:`run` end the request now, because this router stops."""
        self._driver.interrupt(Reason.DRAINING)

    # Implementation of RequestPorts.

    async def place(self, avoid: frozenset[TargetName]) -> PlacedTarget | Refused:
        """Reserve tokens and choose a target; wait in the queue if necessary."""
        self._release_target()
        self._reservations.settle(self._machine.charges)
        refusal = self._quarantine.refusal()
        if refusal is None and avoid and self._quarantine.is_suspect:
            detail = "a target terminated while it ran the request"
            refusal = Refused(Reason.TARGET_FAILED, detail)
        if refusal is not None:
            self._retry_after_s = refusal.retry_after_s
            return refusal
        if self._body_consumed:
            return Refused(
                Reason.TARGET_FAILED, "a streamed body cannot be resent", 1.0
            )
        refused = await self._reservations.reserve()
        if refused is None:
            found = await self._parts.queue.place(work_item(self._plan, avoid))
            if isinstance(found, Placement):
                return self._accept_placement(found)
            refused = found
        self._retry_after_s = refused.retry_after_s
        return refused

    def client(self, target: TargetName) -> SidecarClient | None:
        """Return the connection to a target's sidecar, None if it is unknown."""
        link = self._parts.sidecars.find(target)
        return None if link is None else link.client

    def header(self) -> pb.Header:
        """Return the message header of this process."""
        return self._parts.header()

    def start(self, step: HandOver) -> pb.ExecuteStart:
        """Return the message for an attempt, with the tokens that it may consume."""
        reservation = None if step.join_only else self._reservations.assign(step)
        now_s = self._parts.clock()
        return start_message(self._plan, self._parts.header(), reservation, now_s)

    def cancel_if_caller_left(self) -> None:
        """Cancel the request if its caller has disconnected."""
        self._plan.request.cancel_if_caller_left()

    def may_start(self) -> bool:
        """Return whether a message may still start the request."""
        return not self._body_consumed

    def body(self) -> AsyncIterator[bytes] | None:
        """Return the rest of a streamed body, None if the body was buffered.

        The rest can be read only once. A second target would receive only what the
        first one did not consume, and the service would treat it as the complete
        body.
        """
        self._body_consumed = not self._plan.is_resendable
        call = self._plan.request.call
        return call.rest if isinstance(call, ServiceCall) else None

    async def claim(self, proposal: ClaimProposal) -> ClaimAnswer | None:
        """Send a claim proposal to the slot's owner; None if it did not answer."""
        return await self._parts.claims.claim(self._plan.facts.identity, proposal)

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Forward the head of the answer; a rejoined answer repeats it."""
        if not self._head_sent:
            self._head_sent = True
            await self._sink.head(status, fields)

    async def data(self, data: bytes) -> None:
        """Forward the next bytes of the answer."""
        if not self._data_received:
            self._data_received = True
            self._quarantine.answer_begun()
            self._record_first_data()
        await self._sink.data(data)

    def reset(self) -> None:
        """Drop the buffered bytes that were not sent to the caller."""
        self._sink.reset()

    def on_header(self, header: pb.Header) -> None:
        """Process the message header in a sidecar's frame."""
        self._parts.on_header(header)

    def refused(self, step: HandOver, refused: Refused) -> None:
        """Record a sidecar's refusal, before the state machine processes it."""
        self._retry_after_s = refused.retry_after_s
        self._reservations.refused(step.attempt_id, refused)
        self._parts.log.emit(
            events.REQUEST_RETRIED,
            request_id=self._plan.request.request_id,
            attempt_id=step.attempt_id,
            target=step.target,
            reason=refused.reason.value,
        )

    def target_ended(self, end: str) -> None:
        """Record that a target terminated while it ran the request.

        Called before the state machine processes the failure.
        """
        self._quarantine.target_ended(end, begun=self._data_received)

    def _accept_placement(self, placement: Placement) -> PlacedTarget:
        self._placement = placement
        link = self._parts.sidecars.find(placement.target)
        self._parts.log.emit(
            events.REQUEST_PLACED,
            request_id=self._plan.request.request_id,
            target=placement.target,
            why=placement.why,
            figures=str(placement.figures),
        )
        incarnation = link.start_incarnation if link is not None else ""
        return PlacedTarget(placement.target, incarnation)

    def _finish(self, ending: Ending) -> RequestEnd:
        """Settle, bill and log the request; synchronous, so it cannot be cancelled."""
        self.ended = True
        charges = self._machine.charges
        is_answered = ending.outcome is Outcome.ANSWERED
        if is_answered:
            self._quarantine.answered()
        self._release_target(answered=is_answered)
        self._reservations.settle(charges)
        to_cancel = {step.attempt_id for step in self._machine.abandoned}
        for attempt in self._reservations.unsettled():
            attempt_id = attempt.step.attempt_id
            self._attempt_resolver.add(
                UnresolvedAttempt(
                    attempt.step,
                    attempt.reservation,
                    self._plan,
                    attempt_id in to_cancel,
                )
            )
        self._reservations.release()
        self._bill(ending)
        self._log_end(ending)
        return _request_end(ending, self._retry_after_s)

    def _release_target(self, answered: bool = False) -> None:
        """Notify the dispatcher that the attempt at the target has ended."""
        placement = self._placement
        if placement is None:
            return
        self._placement = None
        usage, kind = self._last_charge(answered)
        self._parts.queue.dispatcher.ended(
            self._plan.request.request_id,
            placement.target,
            AttemptEnd(kind, usage.prompt_tokens, usage.completion_tokens),
            self._parts.clock(),
        )
        self._parts.queue.wake()

    def _last_charge(self, answered: bool) -> tuple[Usage, AttemptKind]:
        """Return the usage of the last attempt, and how it ended.

        The state machine's charges are in the order of the attempts.
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
        """Write the request's bill line.

        No line is written unless an attempt of this router may have consumed tokens.
        If another router's attempt answered, the line has no answer tokens. Tokens
        that this router's attempts consumed in addition to the answer are billed as
        lost. An attempt whose outcome is not known gets a separate record once it is
        resolved.
        """
        if not self._reservations.may_have_consumed:
            return
        answered = ending.usage if ending.outcome is Outcome.ANSWERED else Usage()
        consumed = self._reservations.consumed_tokens
        answered_here = consumed >= answered.total_tokens
        line = BillLine(
            identity=self._billed_identity(),
            budget=self._plan.request.budget,
            prompt_tokens=answered.prompt_tokens if answered_here else 0,
            completion_tokens=answered.completion_tokens if answered_here else 0,
            lost_tokens=consumed - answered.total_tokens if answered_here else consumed,
            outcome=ending.outcome,
            ended_at_s=self._parts.clock(),
        )
        self._parts.budget_manager.bill(line)

    def _billed_identity(self) -> RequestIdentity:
        """Return an identity for the bill line that is unique among all requests.

        The idempotency key alone is not unique: if the attempt of a first request
        was lost, a second request under the same key runs again and is billed
        separately.
        """
        request = self._plan.request
        key = request.idempotency_key
        name = f"{key}#{request.request_id}" if key else request.request_id
        return RequestIdentity(request.account.client_account, name)

    def _record_first_data(self) -> None:
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
            total_tokens=self._reservations.consumed_tokens,
            elapsed_s=round(elapsed_s, 4),
        )


def _request_end(ending: Ending, retry_after_s: float | None) -> RequestEnd:
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
