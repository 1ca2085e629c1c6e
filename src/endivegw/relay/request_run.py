"""Carry one admitted request to its end: reserve, place, send, answer, settle."""

from __future__ import annotations

import math

import anyio

from endivegw.allowances import Reservation
from endivegw.decisions import AttemptEnd, Placement
from endivegw.relay.admission import Admitted, model_of, work_item
from endivegw.relay.answers import own_answer
from endivegw.relay.attempt import (
    Attempt,
    AttemptResult,
    End,
    StreamPassed,
    WholeAnswer,
)
from endivegw.relay.caller_connection import Answerer
from endivegw.relay.context import RelayContext
from endivegw.relay.events import EventOrder
from endivegw.relay.messages import TargetHead, end_to_end
from endivegw.relay.request_progress import (
    SERVER_ERROR,
    RequestProgress,
    attempt_kind,
    lower_quartile,
)
from endivegw.relay.suspicion import Suspicion
from endivegw.relay.target_connection import Outgoing
from endivegw.relay.target_word import take_word
from endivegw.relay.wire import SendMarks
from endivegw.results import Reason, Refused, Unknown
from endivegw.routing import RouteKind
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestRun"]

#: Ends of attempts that sent nothing.
_UNSENT = (End.NOT_SENT, End.HELD_BACK)

#: When a caller should come back whose request a target refused to run: full
#: targets have let several answers go by then.
_REFUSED_RETRY_S = 0.2

#: The same where the target was replaced: the router knows better at once.
_REPLACED_RETRY_S = 0.05


class RequestRun:
    """Carry one admitted request to its end."""

    def __init__(
        self, context: RelayContext, admitted: Admitted, answerer: Answerer
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._answerer = answerer
        after = admitted.marks.resume_after
        self._progress = RequestProgress(StreamPassed(EventOrder(after)))
        self._reservation: Reservation | None = None
        self._suspicion = Suspicion(context, admitted)

    async def run(self) -> None:
        """Answer the request, and settle what it consumed."""
        left_s = self._admitted.deadline_s - self._context.clock()
        outcome = "caller-left"
        try:
            with anyio.move_on_after(max(0.0, left_s)) as scope:
                outcome = await self._serve()
            if scope.cancelled_caught:
                outcome = "deadline"
                await self._end(self._expired())
        finally:
            self._settle(outcome)

    async def _serve(self) -> str:
        refused = await self._reserve()
        if refused is None:
            end = await self._attempts()
            if not isinstance(end, (Refused, Unknown)):
                return end
        else:
            end = refused
        await self._end(end)
        return end.reason.value

    async def _reserve(self) -> Refused | None:
        admitted = self._admitted
        if not admitted.metered:
            return None
        assert admitted.account is not None
        held = await self._context.allowances.reserve(
            admitted.account.name, admitted.tokens, admitted.request_id
        )
        if isinstance(held, Refused):
            return held
        self._reservation = held
        return None

    @property
    def _reserved_tokens(self) -> int:
        return self._reservation.tokens if self._reservation else 0

    async def _attempts(self) -> str | Refused | Unknown:
        """Send until an answer is there or nothing more may be sent."""
        self._context.retries.first_attempt(self._context.clock())
        last: Refused | Unknown | None = None
        spare: WholeAnswer | None = None
        while True:
            placement = await self._place()
            if isinstance(placement, Refused):
                if spare is not None:
                    return await self._pass_on(spare)
                return last or placement
            result = await self._attempt(placement)
            last = self._conclude(placement, result)
            if last is None:
                assert result.end is End.ANSWERED
                if result.answer is None:
                    await self._answerer.end()
                    return "answered"
                if not self._wants_better(result.answer):
                    return await self._pass_on(result.answer)
                spare = result.answer
            if not self._may_send_again(result):
                if spare is not None:
                    return await self._pass_on(spare)
                assert last is not None
                return last

    async def _place(self) -> Placement | Refused:
        context = self._context
        item = work_item(
            self._admitted,
            frozenset(self._progress.excluded),
            context.clock(),
        )
        placement = await context.queue.place(item)
        if isinstance(placement, Placement):
            refused = self._suspicion.refusal()
            if refused is not None:
                unsent = AttemptResult(End.NOT_SENT, refused.detail)
                self._report(placement, unsent, False)
                return refused
            figures = placement.figures
            context.metrics.queued(figures.queued_s)
            if self._progress.sent:
                context.metrics.sent_again()
            context.log.emit(
                events.REQUEST_PLACED,
                request_id=self._admitted.request_id,
                client_account=item.client_account or None,
                target=placement.target,
                why=placement.why,
                load=round(figures.load, 3),
                cached_tokens=figures.cached_tokens,
                copied_tokens=figures.copied_tokens,
                queued_s=round(figures.queued_s, 4),
                finish_s=round(figures.finish_s, 3),
                reserved_tokens=self._reserved_tokens,
            )
        return placement

    async def _attempt(self, placement: Placement) -> AttemptResult:
        context = self._context
        admitted = self._admitted
        progress = self._progress
        kind = admitted.route.kind
        attempt = Attempt(
            context.pool,
            context.wire,
            admitted.request_id,
            progress.passed,
            self._pass_head,
            self._pass_events,
            self._note_first,
            lambda: context.queue.dispatcher.availability.accepts_work(
                placement.target, context.clock()
            ),
            lambda marks: take_word(context, admitted.request_id, placement, marks),
            self._answerer.cancel_if_left,
        )
        progress.target = placement.target
        result: AttemptResult | None = None
        try:
            result = await attempt.run(
                placement.address,
                self._outgoing(placement),
                fresh=not kind.may_repeat,
                stream=kind.is_stream,
                silence_s=context.limits.silence_s if kind.may_repeat else None,
            )
        finally:
            if result is None:
                # Cancelled: what never left for the target is not charged.
                end = End.LOST if attempt.sent else End.NOT_SENT
                self._report(placement, AttemptResult(end, "cancelled"), False)
        self._report(placement, result, True)
        await self._suspicion.note(placement, result)
        return result

    def _outgoing(self, placement: Placement) -> Outgoing:
        admitted = self._admitted
        request = admitted.request
        marks = SendMarks(
            instance_id=placement.instance_id,
            client_account=admitted.account.name if admitted.account else None,
            deadline_s=admitted.deadline_s - self._context.clock(),
            resume_after=self._progress.passed.order.last_id,
            copy_from=placement.copy_from,
        )
        fields = self._context.wire.write_send(end_to_end(request.fields), marks)
        return Outgoing(request.method, request.target, fields, request.body)

    def _report(self, placement: Placement, result: AttemptResult, done: bool) -> None:
        """Tell the dispatcher how the attempt ended, and count it."""
        context = self._context
        if result.end not in _UNSENT:
            self._progress.sent += 1
        if result.end in (End.ANSWERED, End.LOST):
            self._progress.maybe_run = True
        output = self._output_tokens()
        pauses_s = self._progress.pauses_s
        end = AttemptEnd(
            attempt_kind(result, done),
            output_tokens=output,
            longest_pause_s=max(pauses_s, default=None),
            usual_pause_s=lower_quartile(pauses_s),
        )
        context.queue.dispatcher.ended(
            self._admitted.request_id, placement.target, end, context.clock()
        )
        context.queue.kick()
        if done and result.end is not End.ANSWERED:
            context.log.emit(
                events.ATTEMPT_FAILED,
                request_id=self._admitted.request_id,
                target=placement.target,
                address=placement.address,
                end=result.end.value,
                detail=result.detail,
                events=self._progress.passed.events,
                fingerprint=self._suspicion.fingerprint if result.broken else None,
            )

    def _conclude(
        self, placement: Placement, result: AttemptResult
    ) -> Refused | Unknown | None:
        """Return what the caller would be told now; None where there is an answer."""
        self._progress.excluded.add(placement.target)
        if result.replaced:
            self._context.on_replaced(placement.instance_id, placement.started_ms)
        match result.end:
            case End.ANSWERED:
                return None
            case End.NOT_SENT | End.NOT_RUN | End.HELD_BACK:
                if self._progress.maybe_run:
                    return Unknown(Reason.ANSWER_LOST, "an earlier answer was lost")
                retry_s = _REPLACED_RETRY_S if result.replaced else _REFUSED_RETRY_S
                retry_s = max(retry_s, self._back_in_s())
                return Refused(Reason.OVERLOADED, f"not run: {result.detail}", retry_s)
            case End.LOST:
                return Unknown(Reason.ANSWER_LOST, result.detail)

    def _back_in_s(self) -> float:
        """Return when some target takes work again; 0 where one does."""
        availability = self._context.queue.dispatcher.availability
        model = model_of(self._admitted)
        back_s = availability.available_in_s(model, self._context.clock())
        return back_s if math.isfinite(back_s) else 0.0

    def _wants_better(self, answer: WholeAnswer) -> bool:
        """Return whether another target may do better than a failed answer."""
        failed = answer.head.status >= SERVER_ERROR
        return failed and self._admitted.route.kind is RouteKind.REPEATABLE

    def _may_send_again(self, result: AttemptResult) -> bool:
        """Return whether another target may be asked.

        After a proof that nothing ran, always within the route's bound; after a
        lost answer only where the request may run twice.
        """
        route = self._admitted.route
        excluded = frozenset(self._progress.excluded)
        availability = self._context.queue.dispatcher.availability
        now_s = self._context.clock()
        if not availability.has_untried(model_of(self._admitted), excluded, now_s):
            return False
        if result.end in _UNSENT and self._progress.sent < route.max_targets:
            return True
        if self._progress.sent >= route.max_targets:
            return False
        if result.end in (End.LOST, End.ANSWERED) and not route.kind.may_repeat:
            return False
        if self._suspicion.bars_retry(result):
            return False
        return self._context.retries.may_retry(now_s) is True

    async def _pass_on(self, answer: WholeAnswer) -> str:
        if self._answerer.begun:
            return "cut"
        head = answer.head
        await self._answerer.whole(head.status, head.fields, answer.body)
        return "answered"

    async def _pass_head(self, head: TargetHead, data: bytes) -> None:
        self._progress.last_s = self._context.clock()
        await self._answerer.start(head.status, head.fields, data)

    async def _pass_events(self, data: bytes) -> None:
        progress = self._progress
        now_s = self._context.clock()
        if progress.last_s is not None:
            progress.pauses_s.append(now_s - progress.last_s)
        progress.last_s = now_s
        await self._answerer.piece(data)

    def _note_first(self) -> None:
        if self._progress.first_s is None:
            now_s = self._context.clock()
            self._progress.first_s = now_s
            self._context.queue.dispatcher.first_token(self._admitted.request_id, now_s)

    def _expired(self) -> Refused | Unknown:
        """Return what a caller is told whose time is over."""
        if self._progress.maybe_run:
            return Unknown(Reason.TIMEOUT, "no answer within the request's time")
        return Refused(Reason.DEADLINE, "no target took it within its time", 0.2)

    async def _end(self, end: Refused | Unknown) -> None:
        """Answer without a target's answer; one that has begun can only be cut."""
        if self._answerer.begun:
            return
        answer = own_answer(end)
        fields = self._context.wire.own_answer(self._admitted.marks.request_id)
        await self._answerer.whole(
            answer.status, fields + answer.fields(), answer.body()
        )

    def _output_tokens(self) -> int:
        """Return the tokens that the caller was sent, at the most."""
        table = self._context.table
        per_event = table.configuration.tokens_per_event if table else 1
        sent = self._progress.passed.events * per_event
        return min(sent, self._admitted.marks.most_output_tokens)

    def _settle(self, outcome: str) -> None:
        """Charge what was consumed, and write the request's one line."""
        charged = 0
        if self._reservation is not None:
            if self._progress.maybe_run:
                charged = (self._admitted.marks.prompt_tokens or 0) + (
                    self._output_tokens()
                )
            self._context.allowances.settle(self._reservation, charged)
        self._log_end(outcome, charged)

    def _log_end(self, outcome: str, charged: int) -> None:
        admitted = self._admitted
        progress = self._progress
        arrived_s = admitted.request.arrived_s
        now_s = self._context.clock()
        first_s = progress.first_s
        self._context.metrics.ended(
            admitted.route.kind.value,
            outcome,
            None if first_s is None else first_s - arrived_s,
            now_s - arrived_s,
        )
        self._context.log.emit(
            events.REQUEST_ENDED,
            request_id=admitted.request_id,
            client_account=admitted.account.name if admitted.account else None,
            route=admitted.route.name,
            service=admitted.service,
            outcome=outcome,
            target=progress.target,
            sends=progress.sent,
            events=progress.passed.events,
            first_s=None if first_s is None else round(first_s - arrived_s, 4),
            longest_gap_s=round(max(progress.pauses_s, default=0.0), 4),
            took_s=round(now_s - arrived_s, 4),
            prompt_tokens=admitted.marks.prompt_tokens,
            most_output_tokens=admitted.marks.most_output_tokens,
            reserved_tokens=self._reserved_tokens,
            charged_tokens=charged,
            cut=self._answerer.cut,
        )
