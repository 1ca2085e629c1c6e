"""Run one admitted request: reserve tokens, place, send, answer and settle it."""

from __future__ import annotations

import math

import anyio

from endivegw.allowances import Reservation
from endivegw.decisions import AttemptEnd, Placement
from endivegw.relay.admission import AdmittedRequest, model_of, work_item
from endivegw.relay.answers import router_answer
from endivegw.relay.attempt import (
    Attempt,
    AttemptOutcome,
    AttemptResult,
    CompleteAnswer,
    StreamProgress,
)
from endivegw.relay.caller_connection import AnswerWriter
from endivegw.relay.context import RelayContext
from endivegw.relay.events import EventOrder
from endivegw.relay.messages import TargetHead, end_to_end
from endivegw.relay.request_log import RequestEnd, record_request_end
from endivegw.relay.request_progress import (
    MIN_SERVER_ERROR_STATUS,
    RequestProgress,
    attempt_kind,
    lower_quartile,
)
from endivegw.relay.stream_binding import StreamBinding
from endivegw.relay.suspicion import QuarantineCheck
from endivegw.relay.target_connection import OutgoingRequest
from endivegw.relay.target_report import apply_target_report
from endivegw.relay.wire import SendMetadata
from endivegw.results import Reason, Refused, Unknown
from endivegw.routing import RouteKind
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestRun"]

#: Outcomes of attempts that sent nothing.
_UNSENT_OUTCOMES = (AttemptOutcome.NOT_SENT, AttemptOutcome.HELD_BACK)

#: Retry-after in seconds where a target refused to run the request. A fully loaded
#: target completes several answers within this time.
_REFUSED_RETRY_S = 0.2

#: Retry-after in seconds where the target was replaced. The router corrects its list
#: of targets at once.
_REPLACED_RETRY_S = 0.05


class RequestRun:
    """Run one admitted request from its token reservation to its settlement."""

    def __init__(
        self,
        context: RelayContext,
        admitted: AdmittedRequest,
        writer: AnswerWriter,
        quarantine_check: QuarantineCheck,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._writer = writer
        after = admitted.metadata.resume_after
        self._progress = RequestProgress(StreamProgress(EventOrder(after)))
        self._reservation: Reservation | None = None
        self._quarantine_check = quarantine_check
        self._binding = StreamBinding(context.streams, admitted)

    async def run(self) -> None:
        """Answer the request, and settle the tokens that it consumed."""
        left_s = self._admitted.deadline_s - self._context.clock()
        outcome: str | None = None
        try:
            with anyio.move_on_after(max(0.0, left_s)) as scope:
                outcome = await self._serve()
            if scope.cancelled_caught:
                outcome = "deadline"
                await self._send_router_answer(self._deadline_result())
        finally:
            if outcome is None:
                outcome = "caller-left" if self._writer.caller_left() else "cancelled"
            self._settle(outcome)

    async def _serve(self) -> str:
        refused = await self._binding.find() or await self._reserve()
        if refused is None:
            end = await self._run_attempts()
            if not isinstance(end, (Refused, Unknown)):
                return end
        else:
            end = refused
        await self._send_router_answer(end)
        return end.reason.value

    async def _reserve(self) -> Refused | None:
        admitted = self._admitted
        if not admitted.metered:
            return None
        assert admitted.account is not None
        result = await self._context.allowances.reserve(
            admitted.account.name, admitted.tokens, admitted.request_id
        )
        if isinstance(result, Refused):
            return result
        self._reservation = result
        return None

    @property
    def _reserved_tokens(self) -> int:
        return self._reservation.tokens if self._reservation else 0

    async def _run_attempts(self) -> str | Refused | Unknown:
        """Attempt targets until one answers or no further attempt is allowed."""
        self._context.retries.first_attempt(self._context.clock())
        last_result: Refused | Unknown | None = None
        fallback: CompleteAnswer | None = None
        while True:
            placement = await self._place()
            if isinstance(placement, Refused):
                if fallback is not None:
                    return await self._relay_answer(fallback)
                return last_result or placement
            result = await self._attempt(placement)
            last_result = self._evaluate(placement, result)
            if last_result is None:
                assert result.outcome is AttemptOutcome.ANSWERED
                if result.answer is None:
                    await self._writer.finish()
                    self._binding.end()
                    return "answered"
                if not self._should_retry_answer(result.answer):
                    return await self._relay_answer(result.answer)
                fallback = result.answer
            if not self._may_send_again(result):
                if fallback is not None:
                    return await self._relay_answer(fallback)
                assert last_result is not None
                return last_result

    async def _place(self) -> Placement | Refused:
        context = self._context
        item = work_item(
            self._admitted,
            frozenset(self._progress.excluded),
            context.clock(),
            self._binding.software_version,
        )
        placement = await context.queue.place(item)
        if isinstance(placement, Placement):
            refused = self._quarantine_check.refusal()
            if refused is not None:
                unsent = AttemptResult(AttemptOutcome.NOT_SENT, refused.detail)
                self._report_attempt(placement, unsent, False)
                return refused
            figures = placement.figures
            context.metrics.queued(figures.queued_s)
            if self._progress.send_count:
                context.metrics.record_retry()
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
                software_version=placement.software_version or None,
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
            progress.stream_progress,
            lambda head, data: self._relay_head(placement, head, data),
            self._relay_events,
            self._record_first_data,
            lambda: self._start_send(placement),
            lambda metadata: apply_target_report(
                context, admitted.request_id, placement, metadata, progress.sent_s
            ),
            self._writer.cancel_if_caller_left,
        )
        progress.target = placement.target
        self._quarantine_check.start_attempt()
        result: AttemptResult | None = None
        try:
            result = await attempt.run(
                placement.address,
                self._build_request(placement),
                require_fresh=not kind.may_repeat,
                stream=kind.is_stream,
                stall_timeout_s=(
                    context.limits.stall_timeout_s if kind.may_repeat else None
                ),
            )
        finally:
            if result is None:
                # The attempt was cancelled. An unsent request is not charged.
                end = AttemptOutcome.LOST if attempt.sent else AttemptOutcome.NOT_SENT
                self._report_attempt(placement, AttemptResult(end, "cancelled"), False)
        self._report_attempt(placement, result, True)
        await self._quarantine_check.record_attempt(placement, result)
        return result

    def _start_send(self, placement: Placement) -> bool:
        """Record the send; return False if the target must not get the request."""
        if self._quarantine_check.refusal() is not None:
            return False
        now_s = self._progress.sent_s = self._context.clock()
        return self._context.queue.dispatcher.availability.start_send(
            self._admitted.request_id,
            placement.target,
            now_s,
            placement.software_version,
        )

    def _build_request(self, placement: Placement) -> OutgoingRequest:
        admitted = self._admitted
        request = admitted.request
        metadata = SendMetadata(
            instance_id=placement.instance_id,
            client_account=admitted.account.name if admitted.account else None,
            deadline_s=admitted.deadline_s - self._context.clock(),
            resume_after=self._progress.stream_progress.order.last_id,
            copy_from=placement.copy_from,
        )
        fields = self._context.wire.write_target_fields(
            end_to_end(request.fields), metadata
        )
        return OutgoingRequest(request.method, request.target, fields, request.body)

    def _report_attempt(
        self, placement: Placement, result: AttemptResult, done: bool
    ) -> None:
        """Report the result of an attempt to the dispatcher, and count the attempt."""
        context = self._context
        if result.outcome not in _UNSENT_OUTCOMES:
            self._progress.send_count += 1
            self._progress.replaced_count += result.replaced
        if result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.LOST):
            self._progress.may_have_run = True
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
        context.queue.wake()
        if done and result.outcome is not AttemptOutcome.ANSWERED:
            context.log.emit(
                events.ATTEMPT_FAILED,
                request_id=self._admitted.request_id,
                target=placement.target,
                address=placement.address,
                end=result.outcome.value,
                detail=result.detail,
                events=self._progress.stream_progress.events,
                fingerprint=(
                    self._quarantine_check.fingerprint if result.broken else None
                ),
            )

    def _evaluate(
        self, placement: Placement, result: AttemptResult
    ) -> Refused | Unknown | None:
        """Return how the request ends without further attempts; None if answered."""
        self._progress.excluded.add(placement.target)
        if result.replaced:
            self._context.on_replaced(placement.instance_id, placement.started_ms)
        match result.outcome:
            case AttemptOutcome.ANSWERED:
                return None
            case (
                AttemptOutcome.NOT_SENT
                | AttemptOutcome.NOT_RUN
                | AttemptOutcome.HELD_BACK
            ):
                if self._progress.may_have_run:
                    return Unknown(Reason.ANSWER_LOST, "an earlier answer was lost")
                quarantined = self._quarantine_check.refusal()
                if quarantined is not None:
                    return quarantined
                retry_s = _REPLACED_RETRY_S if result.replaced else _REFUSED_RETRY_S
                retry_s = max(retry_s, self._available_in_s())
                return Refused(Reason.OVERLOADED, f"not run: {result.detail}", retry_s)
            case AttemptOutcome.LOST:
                return Unknown(Reason.ANSWER_LOST, result.detail)

    def _available_in_s(self) -> float:
        """Return the seconds until a target accepts work again; 0 if one does now."""
        availability = self._context.queue.dispatcher.availability
        model = model_of(self._admitted)
        back_s = availability.available_in_s(model, self._context.clock())
        return back_s if math.isfinite(back_s) else 0.0

    def _should_retry_answer(self, answer: CompleteAnswer) -> bool:
        """Return whether a server error may be retried on another target."""
        failed = answer.head.status >= MIN_SERVER_ERROR_STATUS
        return failed and self._admitted.route.kind is RouteKind.REPEATABLE

    def _may_send_again(self, result: AttemptResult) -> bool:
        """Return whether the request may be sent to another target.

        If nothing was sent, it may be up to the route's limit of targets. After a lost
        or failed answer, the route must also allow a request to run twice.
        """
        if self._quarantine_check.refusal() is not None:
            return False
        route = self._admitted.route
        excluded = frozenset(self._progress.excluded)
        availability = self._context.queue.dispatcher.availability
        now_s = self._context.clock()
        if not availability.has_untried(
            model_of(self._admitted), excluded, now_s, self._binding.software_version
        ):
            return False
        if (
            result.outcome in _UNSENT_OUTCOMES
            and self._progress.target_count < route.max_targets
        ):
            return True
        if self._progress.target_count >= route.max_targets:
            return False
        if (
            result.outcome in (AttemptOutcome.LOST, AttemptOutcome.ANSWERED)
            and not route.kind.may_repeat
        ):
            return False
        if self._quarantine_check.forbids_retry(result):
            return False
        return self._context.retries.may_retry(now_s) is True

    async def _relay_answer(self, answer: CompleteAnswer) -> str:
        if self._writer.started:
            return "cut"
        head = answer.head
        await self._writer.send_complete(head.status, head.fields, answer.body)
        return "answered"

    async def _relay_head(
        self, placement: Placement, head: TargetHead, data: bytes
    ) -> None:
        self._progress.last_relayed_s = self._context.clock()
        self._quarantine_check.begin_answer()
        self._binding.begin(placement)
        await self._writer.start(head.status, head.fields, data)

    async def _relay_events(self, data: bytes) -> None:
        progress = self._progress
        self._quarantine_check.begin_answer()
        now_s = self._context.clock()
        if progress.last_relayed_s is not None:
            progress.pauses_s.append(now_s - progress.last_relayed_s)
        progress.last_relayed_s = now_s
        await self._writer.send_chunk(data)

    def _record_first_data(self) -> None:
        if self._progress.first_data_s is None:
            now_s = self._context.clock()
            self._progress.first_data_s = now_s
            self._context.queue.dispatcher.first_token(self._admitted.request_id, now_s)

    def _deadline_result(self) -> Refused | Unknown:
        """Return the result of a request whose deadline has passed."""
        if self._progress.may_have_run:
            return Unknown(Reason.TIMEOUT, "no answer before the request's deadline")
        return Refused(
            Reason.DEADLINE, "no target accepted the request before its deadline", 0.2
        )

    async def _send_router_answer(self, end: Refused | Unknown) -> None:
        """Send a router-generated answer, unless an answer was already started.

        A started answer can only be truncated.
        """
        if self._writer.started:
            return
        answer = router_answer(end)
        fields = self._context.wire.router_answer_fields(
            self._admitted.metadata.request_id
        )
        await self._writer.send_complete(
            answer.status, fields + answer.fields(), answer.body()
        )

    def _output_tokens(self) -> int:
        """Return the maximum number of tokens that the caller was sent."""
        table = self._context.table
        per_event = table.configuration.tokens_per_event if table else 1
        sent = self._progress.stream_progress.events * per_event
        return min(sent, self._admitted.metadata.max_output_tokens)

    def _settle(self, outcome: str) -> None:
        """Charge the consumed tokens, and log the end of the request."""
        charged = 0
        if self._reservation is not None:
            if self._progress.may_have_run:
                charged = (self._admitted.metadata.prompt_tokens or 0) + (
                    self._output_tokens()
                )
            self._context.allowances.settle(self._reservation, charged)
        if outcome == "answered":
            self._learn_size()
        record_request_end(
            self._context,
            self._admitted,
            self._progress,
            RequestEnd(
                outcome,
                self._reserved_tokens,
                charged,
                self._writer.truncated,
                self._binding.software_version,
            ),
        )

    def _learn_size(self) -> None:
        """Learn how large complete answers of the route are."""
        capacity = self._context.capacity
        if capacity is not None and self._writer.finished:
            capacity.learn(
                self._admitted.route.name,
                self._progress.stream_progress.events,
                self._writer.body_bytes,
            )
