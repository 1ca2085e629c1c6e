"""Run one admitted request: reserve tokens, place, send, answer and settle it."""

from __future__ import annotations

import math
from traceback import format_exception

import anyio

from endivegw.allowances import Reservation
from endivegw.decisions import Placement
from endivegw.relay.admission import AdmittedRequest, model_of, work_item
from endivegw.relay.answer_writer import AnswerWriter, CallerGone
from endivegw.relay.answers import router_answer
from endivegw.relay.attempt import (
    AttemptOutcome,
    AttemptResult,
    CompleteAnswer,
    StreamProgress,
)
from endivegw.relay.attempt_race import AttemptRace
from endivegw.relay.context import RelayContext
from endivegw.relay.events import EventOrder
from endivegw.relay.request_log import (
    RequestEnd,
    record_placement,
    record_request_end,
)
from endivegw.relay.request_progress import (
    UNSENT_OUTCOMES,
    RequestProgress,
    is_retryable_answer,
)
from endivegw.relay.stream_binding import StreamBinding
from endivegw.relay.suspicion import QuarantineCheck
from endivegw.results import Reason, Refused, Unknown
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestRun"]

#: Retry-after in seconds where a target refused to run the request. A fully loaded
#: target completes several answers within this time.
_REFUSED_RETRY_S = 0.2

#: Retry-after in seconds where the target was replaced. The router corrects its list
#: of targets at once.
_REPLACED_RETRY_S = 0.05

#: Retry-after in seconds where the request gave way to others in this router.
_WITHDRAWN_RETRY_S = 0.2

_WITHDRAWN = Refused(
    Reason.ROUTER_FULL, "too much is held for requests", _WITHDRAWN_RETRY_S
)


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
        self._progress = RequestProgress(
            StreamProgress(EventOrder(after), admitted.metadata.max_output_tokens)
        )
        self._reservation: Reservation | None = None
        self._quarantine_check = quarantine_check
        self._binding = StreamBinding(context.streams, admitted, context.log)
        self._scope: anyio.CancelScope | None = None
        self._stopping = False
        self._withdrawn = False
        self._race = AttemptRace(
            context,
            admitted,
            writer,
            self._progress,
            quarantine_check,
            self._binding,
        )

    async def run(self) -> None:
        """Answer the request, and settle the tokens that it consumed."""
        left_s = self._admitted.deadline_s - self._context.clock()
        outcome: str | None = None
        self._context.running.add(self)
        self._writer.set_account(self._admitted.account_name)
        self._writer.withdraw = self.withdraw
        try:
            with anyio.move_on_after(max(0.0, left_s)) as self._scope:
                outcome = await self._serve()
            if outcome is None:
                outcome = await self._relay_fallback()
            if outcome is None:
                outcome = self._cancelled_outcome()
                await self._send_router_answer(self._unfinished_result())
        except CallerGone:
            outcome = "caller-left"
            raise
        except Exception as error:
            outcome = "failed"
            self._context.log.emit(
                events.REQUEST_FAILED,
                request_id=self._admitted.request_id,
                detail="".join(format_exception(error)),
            )
            await self._send_router_answer(self._failed_result())
        finally:
            self._context.running.discard(self)
            if outcome is None:
                outcome = "caller-left" if self._writer.caller_left() else "cancelled"
            self._settle(outcome)

    def stop(self) -> None:
        """End the request now with an answer that states whether it may have run."""
        self._stopping = True
        if self._scope is not None:
            self._scope.cancel()

    def withdraw(self) -> None:
        """Refuse the request now, which has not run, in favour of others."""
        self._withdrawn = True
        if self._scope is not None:
            self._scope.cancel()

    def _cancelled_outcome(self) -> str:
        if self._withdrawn:
            return _WITHDRAWN.reason.value
        return "stopped" if self._stopping else "deadline"

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
        route = self._admitted.route
        last_result: Refused | Unknown | None = None
        while True:
            placement = await self._place()
            if isinstance(placement, Refused):
                return await self._relay_fallback() or last_result or placement
            ended = await self._race.run(placement)
            for at, result in ended:
                if result.outcome is not AttemptOutcome.ANSWERED:
                    last_result = self._evaluate(at, result)
                elif result.answer is None:
                    await self._writer.finish()
                    self._binding.end()
                    return "answered"
                elif self._race.is_final(result):
                    return await self._relay_answer(result.answer)
            fallback = self._progress.fallback
            may_retry = fallback is None or is_retryable_answer(route, fallback)
            if not may_retry or not self._may_send_again([end for _, end in ended]):
                outcome = await self._relay_fallback() or last_result
                assert outcome is not None
                return outcome

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
            # From here on a target may get the request.
            self._writer.withdraw = None
            if self._withdrawn:
                context.queue.release(placement)
                return _WITHDRAWN
        if isinstance(placement, Placement):
            refused = self._quarantine_check.refusal()
            if refused is not None:
                context.queue.release(placement)
                return refused
            if self._progress.send_count:
                context.metrics.record_retry()
            record_placement(context, self._admitted, placement, self._reserved_tokens)
        return placement

    def _evaluate(
        self, placement: Placement, result: AttemptResult
    ) -> Refused | Unknown:
        """Return how the request ends if no attempt follows one without an answer."""
        if result.replaced:
            self._context.on_replaced(placement.instance_id, placement.started_ms)
        if result.outcome is AttemptOutcome.LOST:
            return Unknown(Reason.ANSWER_LOST, result.detail)
        if self._progress.may_have_run:
            return Unknown(Reason.ANSWER_LOST, "an earlier answer was lost")
        quarantined = self._quarantine_check.refusal()
        if quarantined is not None:
            return quarantined
        retry_s = _REPLACED_RETRY_S if result.replaced else _REFUSED_RETRY_S
        retry_s = max(retry_s, self._available_in_s())
        return Refused(Reason.OVERLOADED, f"not run: {result.detail}", retry_s)

    def _available_in_s(self) -> float:
        """Return the seconds until a target accepts work again; 0 if one does now."""
        availability = self._context.queue.dispatcher.availability
        model = model_of(self._admitted)
        back_s = availability.available_in_s(model, self._context.clock())
        return back_s if math.isfinite(back_s) else 0.0

    def _may_send_again(self, results: list[AttemptResult]) -> bool:
        """Return whether the request may be sent to another target.

        :param results: those of the attempts that have just ended.

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
        outcomes = {result.outcome for result in results}
        if (
            outcomes.issubset(UNSENT_OUTCOMES)
            and self._progress.target_count < route.max_targets
        ):
            return True
        if self._progress.target_count >= route.max_targets:
            return False
        may_have_run = {AttemptOutcome.LOST, AttemptOutcome.ANSWERED} & outcomes
        if may_have_run and not route.kind.may_repeat:
            return False
        if any(map(self._quarantine_check.forbids_retry, results)):
            return False
        return self._context.retries.may_retry(now_s) is True

    async def _relay_fallback(self) -> str | None:
        """Relay the failure that a target answered; return None if there is none."""
        fallback = self._progress.fallback
        return None if fallback is None else await self._relay_answer(fallback)

    async def _relay_answer(self, answer: CompleteAnswer) -> str:
        if self._writer.started:
            return "cut"
        head = answer.head
        await self._writer.send_complete(head.status, head.fields, answer.body)
        return "answered"

    def _failed_result(self) -> Refused | Unknown:
        """Return the result of a request that an unexpected error ended."""
        if self._progress.may_have_run:
            return Unknown(Reason.ANSWER_LOST, "an internal error")
        return Refused(Reason.NOT_READY, "an internal error")

    def _unfinished_result(self) -> Refused | Unknown:
        """Return the result of a request that its deadline or a shutdown ended."""
        if self._withdrawn and not self._progress.may_have_run:
            return _WITHDRAWN
        if self._stopping and self._progress.may_have_run:
            return Unknown(Reason.ANSWER_LOST, "the router stops")
        if self._stopping:
            return Refused(Reason.NOT_READY, "the router stops")
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

    def _settle(self, outcome: str) -> None:
        """Charge the consumed tokens, and log the end of the request."""
        charged = 0
        if self._reservation is not None:
            if self._progress.may_have_run:
                charged = (self._admitted.metadata.prompt_tokens or 0) + (
                    self._race.output_tokens()
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
