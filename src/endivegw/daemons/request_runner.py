"""Carry one request from admission to its end: reserve, place, run, bill."""

from __future__ import annotations

import hashlib
import uuid
from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.budgets import BillLine, BudgetKeeper, Reservation
from endivegw.budgets.bound import prompt_bound_tokens
from endivegw.daemons.attempt_runner import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptPlan,
    AttemptResult,
    AttemptRunner,
    SidecarDirectory,
)
from endivegw.daemons.held_attempts import HeldAttempt, HeldAttempts
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.routed import (
    Answered,
    AnswerSink,
    EngineCall,
    RequestEnd,
    RoutedRequest,
    ServiceCall,
)
from endivegw.decisions import (
    SERVICE_PREFIX,
    AttemptEnd,
    AttemptKind,
    Placement,
    WorkItem,
)
from endivegw.peers import SidecarClient
from endivegw.results import Reason, Refused, Unknown
from endivegw.telemetry import EventLog, Metrics
from endivegw.telemetry.catalogue import router as events
from endivegw.types import AttemptId, Outcome, RequestIdentity, TargetName, Usage

__all__ = ["RequestRunner"]

#: A request that was refused this often is given up: by then a large part of
#: what serves it has said no, and more tries would only add load.
_MAX_ATTEMPTS = 5

#: Refusals that say nothing about other targets, so that the next one is asked.
_ELSEWHERE = frozenset(
    {
        Reason.DRAINING,
        Reason.GRANT_SEALED,
        Reason.NOT_READY,
        Reason.OVERLOADED,
        Reason.STALE_CONFIGURATION,
        Reason.TARGET_FAILED,
        Reason.THROTTLED,
        Reason.UNREACHABLE,
        Reason.WRONG_INSTANCE,
    }
)


@define
class _Run:
    """Hold what is known of one request while it is carried out."""

    request: RoutedRequest
    body_digest: bytes
    prompt_bound_tokens: int
    output_tokens: int
    excluded: frozenset[TargetName] = field(factory=frozenset)
    attempts: int = 0
    lost_tokens: int = 0
    #: Why an attempt that may have started gave no answer, None where none did.
    lost: AttemptLost | None = None
    refused: Refused | None = None
    sent: bool = False
    billed: Usage = Usage()

    @property
    def bound_tokens(self) -> int:
        return self.prompt_bound_tokens + self.output_tokens


class RequestRunner:
    """Carry out the requests of one router.

    :param background: outlives each request; what must be settled after its
        caller went away is settled there.
    """

    def __init__(
        self,
        keeper: BudgetKeeper,
        queue: PlacementQueue,
        attempts: AttemptRunner,
        sidecars: SidecarDirectory,
        background: TaskGroup,
        clock: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._keeper = keeper
        self._queue = queue
        self._attempts = attempts
        self._sidecars = sidecars
        self._background = background
        self._held = HeldAttempts(keeper, attempts, sidecars, background, clock, log)
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(self, request: RoutedRequest, sink: AnswerSink) -> RequestEnd:
        """Send the answer into the sink and return how the request ended."""
        run = _new_run(request)
        end: RequestEnd = Unknown(Reason.CANCELLED, "the caller went away")
        try:
            remaining_s = request.deadline_s - self._clock()
            with anyio.move_on_after(remaining_s) as scope:
                end = await self._until_end(run, sink)
            if scope.cancelled_caught:
                end = _deadline_end(run)
        finally:
            self._account(run, end)
        return end

    async def _until_end(self, run: _Run, sink: AnswerSink) -> RequestEnd:
        while run.attempts < _MAX_ATTEMPTS:
            reservation = await self._reserve(run)
            if isinstance(reservation, Refused):
                return _not_answered(run, reservation)
            result = await self._attempt(run, reservation, sink)
            match result:
                case AttemptAnswered():
                    return Answered(result.usage)
                case AttemptNotRun():
                    run.refused = result.refused
                    if result.refused.reason not in _ELSEWHERE:
                        break
                case AttemptLost():
                    run.lost = result
                    if run.sent or not run.request.repeatable:
                        break
            if not _can_send_again(run.request):
                break
        refused = run.refused or Refused(Reason.OVERLOADED, "no target took it", 1.0)
        return _not_answered(run, refused)

    async def _reserve(self, run: _Run) -> Reservation | None | Refused:
        if run.bound_tokens == 0:
            return None
        request = run.request
        return await self._keeper.reserve(
            request.budget,
            run.bound_tokens,
            deadline_s=request.deadline_s,
            reserve_s=request.account.reserve_s,
            now_s=self._clock(),
        )

    async def _attempt(
        self, run: _Run, reservation: Reservation | None, sink: AnswerSink
    ) -> AttemptResult:
        """Place and run one attempt; the reservation is settled in any case."""
        placed: Placement | Refused | None = None
        try:
            placed = await self._queue.place(_work_item(run))
        finally:
            if not isinstance(placed, Placement):
                self._release(reservation)
        if isinstance(placed, Refused):
            return AttemptNotRun(placed)
        run.attempts += 1
        link = self._sidecars.find(placed.target)
        incarnation = link.start_incarnation if link else ""
        plan = self._plan(run, reservation, incarnation)
        self._log_placed(run, plan, placed)
        if link is None:
            gone = AttemptNotRun(Refused(Reason.UNREACHABLE, "the target is gone"))
            self._settle(run, plan, placed, reservation, gone)
            return gone
        run.excluded |= {placed.target}
        result: AttemptResult | None = None
        try:
            result = await self._attempts.run(
                link.client, plan, _Marking(run, sink), lambda: self._first_data(run)
            )
        finally:
            if result is None:
                # The caller went away or the deadline passed: the cancellation
                # must reach the sidecar although this task is being cancelled.
                run.lost = AttemptLost(Reason.CANCELLED, "cancelled", None)
                self._background.start_soon(
                    self._cancel, run, link.client, plan, placed, reservation
                )
        self._settle(run, plan, placed, reservation, result)
        if not isinstance(result, AttemptAnswered):
            self._log_retried(run, plan, placed, result)
        return result

    async def _cancel(
        self,
        run: _Run,
        client: SidecarClient,
        plan: AttemptPlan,
        placed: Placement,
        reservation: Reservation | None,
    ) -> None:
        result = await self._attempts.cancel(client, plan)
        self._settle(run, plan, placed, reservation, result)

    def _settle(
        self,
        run: _Run,
        plan: AttemptPlan,
        placed: Placement,
        reservation: Reservation | None,
        result: AttemptResult,
    ) -> None:
        """Free the place at the target and charge what was consumed."""
        now_s = self._clock()
        match result:
            case AttemptAnswered():
                run.billed = result.usage
                self._finish(reservation, result.usage)
                kind = AttemptKind.OK
            case AttemptNotRun():
                self._release(reservation)
                kind = AttemptKind.REFUSED
            case AttemptLost():
                self._settle_lost(run, plan, placed.target, reservation, result)
                cancelled = result.reason is Reason.CANCELLED
                kind = AttemptKind.CANCELLED if cancelled else AttemptKind.FAILED
        end = AttemptEnd(kind, run.billed.prompt_tokens, run.billed.completion_tokens)
        self._queue.dispatcher.ended(run.request.request_id, placed.target, end, now_s)
        self._queue.kick()

    def _settle_lost(
        self,
        run: _Run,
        plan: AttemptPlan,
        target: TargetName,
        reservation: Reservation | None,
        lost: AttemptLost,
    ) -> None:
        if lost.usage is None:
            if reservation is not None:
                self._held.add(HeldAttempt(plan, target, reservation))
            return
        run.lost_tokens += lost.usage.total_tokens
        self._finish(reservation, lost.usage)

    def _finish(self, reservation: Reservation | None, usage: Usage) -> None:
        if reservation is not None:
            self._keeper.finish(reservation, usage, self._clock())

    def _release(self, reservation: Reservation | None) -> None:
        if reservation is not None:
            self._keeper.release(reservation, self._clock())

    def _plan(
        self, run: _Run, reservation: Reservation | None, incarnation: str
    ) -> AttemptPlan:
        request = run.request
        return AttemptPlan(
            attempt_id=AttemptId(uuid.uuid4().hex),
            request=request,
            idempotency_key=request.idempotency_key or request.request_id,
            body_digest=run.body_digest,
            grant_id=reservation.grant_id if reservation else "",
            reservation_tokens=reservation.tokens if reservation else 0,
            prompt_bound_tokens=run.prompt_bound_tokens,
            target_instance_id=incarnation,
        )

    def _first_data(self, run: _Run) -> None:
        now_s = self._clock()
        self._queue.dispatcher.first_token(run.request.request_id, now_s)
        elapsed_ms = (now_s - run.request.arrived_s) * 1000.0
        self._metrics.timing("request.first_data", elapsed_ms)

    def _account(self, run: _Run, end: RequestEnd) -> None:
        """Write the request's one bill line and its log line."""
        request = run.request
        now_s = self._clock()
        outcome = _outcome(end)
        if run.attempts and outcome is not Outcome.NOT_RUN:
            identity = RequestIdentity(
                request.account.client_account,
                request.idempotency_key or request.request_id,
            )
            line = BillLine(
                identity=identity,
                budget=request.budget,
                prompt_tokens=run.billed.prompt_tokens,
                completion_tokens=run.billed.completion_tokens,
                lost_tokens=run.lost_tokens,
                outcome=outcome,
                ended_at_s=now_s,
            )
            self._keeper.bill(line)
        self._metrics.incr(f"request.{outcome.value}")
        elapsed_s = now_s - request.arrived_s
        self._metrics.timing("request.elapsed", elapsed_s * 1000.0)
        if isinstance(end, Refused):
            self._log.emit(
                events.REQUEST_REFUSED,
                request_id=request.request_id,
                client_account=request.account.client_account,
                reason=end.reason.value,
                detail=end.detail,
            )
            return
        self._log.emit(
            events.REQUEST_ENDED,
            request_id=request.request_id,
            client_account=request.account.client_account,
            outcome=outcome.value,
            total_tokens=run.billed.total_tokens + run.lost_tokens,
            elapsed_s=round(elapsed_s, 4),
        )

    def _log_placed(self, run: _Run, plan: AttemptPlan, placed: Placement) -> None:
        self._log.emit(
            events.REQUEST_PLACED,
            request_id=run.request.request_id,
            attempt_id=plan.attempt_id,
            target=placed.target,
            why=placed.why,
            figures=str(placed.figures),
        )

    def _log_retried(
        self,
        run: _Run,
        plan: AttemptPlan,
        placed: Placement,
        result: AttemptNotRun | AttemptLost,
    ) -> None:
        match result:
            case AttemptNotRun():
                reason = result.refused.reason
            case AttemptLost():
                reason = result.reason
        self._log.emit(
            events.REQUEST_RETRIED,
            request_id=run.request.request_id,
            attempt_id=plan.attempt_id,
            target=placed.target,
            reason=reason.value,
        )


@define
class _Marking:
    """Note that bytes of an answer went out: from then on it cannot be redone."""

    _run: _Run
    _sink: AnswerSink

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        self._run.sent = True
        await self._sink.head(status, fields)

    async def data(self, data: bytes) -> None:
        self._run.sent = True
        await self._sink.data(data)


def _new_run(request: RoutedRequest) -> _Run:
    match request.call:
        case EngineCall() as call:
            prompt_tokens = prompt_bound_tokens(call.prompt, call.messages)
            limit = request.account.max_output_tokens
            output_tokens = min(call.max_tokens or limit, limit)
            digest = hashlib.sha256(call.body).digest()
            return _Run(request, digest, prompt_tokens, output_tokens)
        case ServiceCall() as service:
            digest = hashlib.sha256(
                f"{service.method} {service.path}\n".encode() + service.body
            ).digest()
            return _Run(request, digest, 0, 0)


def _work_item(run: _Run) -> WorkItem:
    request = run.request
    match request.call:
        case EngineCall() as call:
            model = f"{call.model}+{call.adapter}" if call.adapter else call.model
        case ServiceCall() as service:
            model = SERVICE_PREFIX + service.service
    return WorkItem(
        request_id=request.request_id,
        client_account=request.account.client_account,
        priority=request.priority,
        weight=request.account.weight,
        model=model,
        deadline_s=request.deadline_s,
        prompt_tokens=run.prompt_bound_tokens,
        output_tokens=run.output_tokens,
        arrived_s=request.arrived_s,
        excluded=run.excluded,
    )


def _can_send_again(request: RoutedRequest) -> bool:
    """Return False for a body that flowed through and was not held."""
    return not (isinstance(request.call, ServiceCall) and request.call.rest)


def _not_answered(run: _Run, refused: Refused) -> Refused | Unknown:
    """Say "not run" only where no attempt can have started."""
    if run.lost is None:
        return refused
    return Unknown(run.lost.reason, run.lost.detail)


def _deadline_end(run: _Run) -> Refused | Unknown:
    if run.lost is None:
        return Refused(Reason.DEADLINE, "the deadline passed before it ran", None)
    return Unknown(Reason.DEADLINE, "the deadline passed while it ran")


def _outcome(end: RequestEnd) -> Outcome:
    match end:
        case Answered():
            return Outcome.ANSWERED
        case Refused():
            return Outcome.NOT_RUN
        case Unknown():
            return Outcome.UNKNOWN
