"""Run one request's attempts, and further ones beside a target that is silent."""

from __future__ import annotations

from traceback import format_exception

import anyio
from anyio.abc import TaskGroup
from attrs import evolve

from endivegw.decisions import AttemptEnd, AttemptKind, Placement
from endivegw.relay.admission import AdmittedRequest, work_item
from endivegw.relay.answer_writer import AnswerWriter, CallerGone
from endivegw.relay.attempt import Attempt, AttemptOutcome, AttemptResult
from endivegw.relay.attempt_overlap import limit_overlap, record_overlap
from endivegw.relay.context import RelayContext
from endivegw.relay.messages import TargetHead, end_to_end
from endivegw.relay.request_log import record_placement
from endivegw.relay.request_progress import (
    MIN_SERVER_ERROR_STATUS,
    UNSENT_OUTCOMES,
    RequestProgress,
    attempt_kind,
    lower_quartile,
)
from endivegw.relay.running_attempt import RunningAttempt
from endivegw.relay.stream_binding import StreamBinding
from endivegw.relay.suspicion import QuarantineCheck
from endivegw.relay.target_connection import OutgoingRequest
from endivegw.relay.target_report import apply_target_report
from endivegw.relay.wire import SendMetadata
from endivegw.routing import ServiceKind
from endivegw.supervision import record_failure
from endivegw.telemetry.catalogue import relay as events

__all__ = ["AttemptRace", "EndedAttempt"]

#: The attempt of a race that has ended with a result, and that result.
EndedAttempt = tuple[Placement, AttemptResult]


class AttemptRace:
    """Run the attempts of one request; the first that answers ends the others.

    A sound target may be silent for a second or so and go on, and only time shows
    whether it does. Silence therefore ends no attempt. If the request may run twice and
    another target has room, it is sent there as well, and goes on at the target that
    speaks first. Otherwise it waits. Of the targets that have a stream, at most one
    that responds keeps it for longer.
    """

    def __init__(
        self,
        context: RelayContext,
        admitted: AdmittedRequest,
        writer: AnswerWriter,
        progress: RequestProgress,
        quarantine_check: QuarantineCheck,
        binding: StreamBinding,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._writer = writer
        self._progress = progress
        self._quarantine_check = quarantine_check
        self._binding = binding
        self._running: list[RunningAttempt] = []
        self._ended: list[EndedAttempt] = []
        self._decided = False
        self._error: Exception | None = None
        #: Runs the attempts beside the first; None if there must be none.
        self._tasks: TaskGroup | None = None
        #: Number of attempts beside others, over all races of the request.
        self._beside_count = 0

    async def run(self, placement: Placement) -> list[EndedAttempt]:
        """Attempt a target, and others beside it while it is silent.

        :returns: the attempts that ended by themselves in the order of their ends; none
            of them is still running.
        """
        self._ended = []
        first = self._add(placement)
        if self._admitted.route.kind.may_repeat:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await self._run_attempt(first)
            self._tasks = None
        else:
            await self._run_attempt(first)
        if self._error is not None:
            raise self._error
        return self._ended

    def is_final(self, result: AttemptResult) -> bool:
        """Return whether a result decides the request while other attempts run.

        A failure of the target does not, as another one may still answer. Nor does an
        answer that cannot be relayed, because a stream has begun.
        """
        if result.outcome is not AttemptOutcome.ANSWERED:
            return False
        answer = result.answer
        if answer is None:
            return True
        failed = answer.head.status >= MIN_SERVER_ERROR_STATUS
        return not failed and not self._writer.started

    def _add(self, placement: Placement) -> RunningAttempt:
        running = RunningAttempt(placement)
        self._running.append(running)
        return running

    async def _run_attempt(self, running: RunningAttempt) -> None:
        """Run one attempt; record its result unless another one has decided."""
        result: AttemptResult | None = None
        try:
            with running.scope:
                result = await self._attempt(running)
        except Exception as error:
            # The task group would hide the error among others.
            self._error = error
            self._cancel_others(running)
        finally:
            self._running.remove(running)
            running.overlap_scope.cancel()
        if result is None or self._decided or running.scope.cancel_called:
            return
        self._ended.append((running.placement, result))
        if self.is_final(result):
            self._decided = True
            self._progress.target = running.placement.target
            self._cancel_others(running)
        elif result.outcome is AttemptOutcome.ANSWERED:
            self._progress.fallback = result.answer

    def _end_if_answered(self) -> None:
        """End the race if it has an answer and only silent targets are left."""
        if self._writer.started or self._progress.fallback is None:
            return
        if all(other.silent for other in self._running):
            for other in self._running:
                other.scope.cancel()

    def _cancel_others(self, running: RunningAttempt) -> None:
        for other in self._running:
            if other is not running:
                other.scope.cancel()

    async def _attempt(self, running: RunningAttempt) -> AttemptResult:
        context = self._context
        admitted = self._admitted
        kind = admitted.route.kind
        placement = running.placement
        attempt = Attempt(
            context.pool,
            context.wire,
            admitted.request_id,
            self._progress.stream_progress,
            lambda head, data: self._relay_head(running, head, data),
            lambda data: self._relay_events(running, data),
            lambda: self._record_first_data(running),
            lambda: self._start_send(running),
            lambda status, metadata: apply_target_report(
                context,
                admitted.request_id,
                placement,
                status,
                metadata,
                running.sent_s,
            ),
            self._writer.cancel_if_caller_left,
            lambda: running.scope.cancel_called,
            lambda: self._handle_silence(running),
            context.held_answers,
        )
        self._progress.target = placement.target
        result: AttemptResult | None = None
        try:
            result = await attempt.run(
                placement.address,
                self._build_request(placement),
                require_fresh=not kind.may_repeat,
                require_new=placement.address in self._progress.addresses,
                stream=kind.is_stream,
                silence_s=context.limits.silence_s if kind.may_repeat else None,
            )
        except CallerGone:
            raise
        except Exception as error:
            # Another attempt may still answer, or follow.
            end = AttemptOutcome.LOST if attempt.sent else AttemptOutcome.NOT_SENT
            detail = "".join(format_exception(error))
            result = AttemptResult(end, detail)
        finally:
            if result is None:
                # The attempt was cancelled. An unsent request is not charged.
                end = AttemptOutcome.LOST if attempt.sent else AttemptOutcome.NOT_SENT
                self._report(running, attempt, AttemptResult(end, "cancelled"), False)
                record_overlap(context, admitted.request_id, running, self._running)
        self._report(running, attempt, result, True)
        try:
            await self._quarantine_check.record_attempt(
                placement, result, running.answering
            )
        except Exception as error:
            record_failure(context.log, "record of an attempt", error)
        return result

    def _handle_silence(self, running: RunningAttempt) -> None:
        """Let another target run the request beside one that is silent, if possible."""
        running.silent = True
        if self._decided or running.scope.cancel_called:
            return
        beside = self._run_beside()
        self._context.log.emit(
            events.TARGET_SILENT,
            request_id=self._admitted.request_id,
            target=running.placement.target,
            events=self._progress.stream_progress.events,
            beside=beside.placement.target if beside is not None else None,
        )
        if beside is None:
            self._end_if_answered()

    def _run_beside(self) -> RunningAttempt | None:
        """Run an attempt beside those that are silent; None if there can be none."""
        placement = self._place_beside()
        if placement is None or self._tasks is None:
            return None
        running = self._add(placement)
        self._tasks.start_soon(self._run_attempt, running)
        return running

    def _place_beside(self) -> Placement | None:
        """Place the request on a further target; None if it must wait or none is free.

        A prompt that may have terminated a target gets no second one: a target that it
        terminates may fall silent first.
        """
        progress = self._progress
        route = self._admitted.route
        running = self._running
        if self._tasks is None or any(not other.silent for other in running):
            return None
        # A target that took a stream over responds; it needs time to read the prompt.
        if any(other.took_over and not other.has_data for other in running):
            return None
        if progress.target_count + len(running) >= route.max_targets:
            return None
        if self._context.retries.exhausted:
            return None
        check = self._quarantine_check
        if check.refusal() is not None or check.is_suspect():
            return None
        targets = progress.excluded.union(at.placement.target for at in running)
        now_s = self._context.clock()
        item = work_item(
            self._admitted, frozenset(targets), now_s, self._binding.software_version
        )
        # The dispatcher knows each request once at a time.
        self._beside_count += 1
        item = evolve(item, request_id=f"{item.request_id}/{self._beside_count}")
        queue = self._context.queue
        placement = queue.place_now(item)
        if placement is None:
            return None
        self._context.retries.may_retry(now_s)
        record_placement(self._context, self._admitted, placement, 0)
        self._context.metrics.record_retry()
        return placement

    def _start_send(self, running: RunningAttempt) -> bool:
        """Record the send; return False if the target must not get the request."""
        check = self._quarantine_check
        if check.refusal() is not None:
            return False
        # A target may have terminated since this one was chosen beside it.
        if len(self._running) + len(self._ended) > 1 and check.is_suspect():
            return False
        now_s = running.sent_s = self._context.clock()
        placement = running.placement
        availability = self._context.queue.dispatcher.availability
        may_send = availability.start_send(
            running.work_id, placement.target, now_s, placement.software_version
        )
        if may_send:
            self._progress.addresses.add(placement.address)
        if may_send and self._tasks is not None and len(self._running) > 1:
            self._tasks.start_soon(self._limit_overlap, running)
        return may_send

    async def _limit_overlap(self, running: RunningAttempt) -> None:
        """Let one of the targets that work go on with a stream of an engine."""
        admitted = self._admitted
        is_engine = admitted.service_kind is ServiceKind.ENGINE
        if not is_engine or not admitted.route.kind.is_stream:
            return
        try:
            with running.overlap_scope:
                await limit_overlap(self._context, running, self._running)
        except Exception as error:
            record_failure(self._context.log, "limit of an overlap", error)

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

    def _report(
        self,
        running: RunningAttempt,
        attempt: Attempt,
        result: AttemptResult,
        done: bool,
    ) -> None:
        """Report the result of an attempt to the dispatcher, and count the attempt.

        :param done: whether the attempt ended without being cancelled.
        """
        context = self._context
        progress = self._progress
        placement = running.placement
        progress.excluded.add(placement.target)
        if result.outcome not in UNSENT_OUTCOMES:
            progress.send_count += 1
            progress.replaced_count += result.replaced
        if result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.LOST):
            progress.may_have_run = True
        kind = attempt_kind(result, done)
        if not done and running.silent:
            kind = AttemptKind.FAILED
        pauses_s = progress.pauses_s
        end = AttemptEnd(
            kind,
            output_tokens=self.output_tokens(),
            longest_pause_s=max(pauses_s, default=None),
            usual_pause_s=lower_quartile(pauses_s),
        )
        context.queue.dispatcher.ended(
            running.work_id, placement.target, end, context.clock()
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
                events=progress.stream_progress.events,
                fingerprint=(
                    self._quarantine_check.fingerprint if result.broken else None
                ),
                connection=attempt.connection,
                exchange=attempt.exchange,
            )

    def output_tokens(self) -> int:
        """Return the maximum number of tokens that the caller was sent."""
        table = self._context.table
        per_event = table.configuration.tokens_per_event if table else 1
        sent = self._progress.stream_progress.events * per_event
        return min(sent, self._admitted.metadata.max_output_tokens)

    async def _relay_head(
        self, running: RunningAttempt, head: TargetHead, data: bytes
    ) -> None:
        self._take_over(running)
        self._progress.last_relayed_s = self._context.clock()
        self._binding.begin(running.placement)
        await self._writer.start(head.status, head.fields, data)

    async def _relay_events(self, running: RunningAttempt, data: bytes) -> None:
        self._take_over(running)
        progress = self._progress
        now_s = self._context.clock()
        if progress.last_relayed_s is not None:
            progress.pauses_s.append(now_s - progress.last_relayed_s)
        progress.last_relayed_s = now_s
        await self._writer.send_chunk(data)

    def _take_over(self, running: RunningAttempt) -> None:
        """Let a stream go on at the target that has just sent its next events."""
        running.silent = False
        self._progress.target = running.placement.target
        if not running.answering:
            running.answering = True
            self._quarantine_check.begin_answer()
        if len(self._running) > 1:
            self._cancel_others(running)

    def _record_first_data(self, running: RunningAttempt) -> None:
        if running.has_data:
            return
        running.has_data = True
        now_s = self._context.clock()
        if self._progress.first_data_s is None:
            self._progress.first_data_s = now_s
        self._context.queue.dispatcher.first_token(running.work_id, now_s)
