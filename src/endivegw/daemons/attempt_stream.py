"""Hand an attempt over to a sidecar and feed its frames to the request's machine."""

from __future__ import annotations

from contextlib import aclosing
from typing import AsyncIterator, Callable, Protocol

from attrs import frozen

from endivegw.budgets import Reservation
from endivegw.daemons.request_plan import RequestPlan
from endivegw.daemons.routed import AnswerSink, EngineCall, ServiceCall
from endivegw.exceptions import PeerError
from endivegw.peers import Broken, NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.attempts import RequestMachine
from endivegw.requests.steps import CancelAttempt, HandOver, Step
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, TargetName, Usage

__all__ = [
    "AttemptStream",
    "CancelWord",
    "SidecarDirectory",
    "SidecarLink",
    "cancel_attempt",
]

#: How long a sidecar may take to confirm a cancel. The caller waits for it where
#: its deadline has passed, and gets its answer without it after that.
CANCEL_TIMEOUT_S = 1.0


@frozen
class SidecarLink:
    """Hold how to reach a sidecar.

    :param start_incarnation: what a start must name, so that a sidecar that
        was replaced meanwhile, and forgot what it ran, refuses it.
    """

    client: SidecarClient
    start_incarnation: str


class SidecarDirectory(Protocol):
    """Where the connections to sidecars are kept."""

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return how to reach a target's sidecar, None when it is gone."""


@frozen
class CancelWord:
    """Hold a sidecar's answer to a cancel; all False where it cannot tell.

    :param usage: final where ``ended``.
    """

    never_started: bool
    running: bool
    ended: bool
    usage: Usage


async def cancel_attempt(
    client: SidecarClient, header: pb.Header, step: CancelAttempt
) -> CancelWord | None:
    """Bar or stop an attempt; None where no answer came."""
    request = pb.CancelRequest(
        header=header,
        attempt_id=step.attempt_id,
        target_instance_id=step.incarnation,
        bar_only=step.bar_only,
    )
    try:
        reply = await client.cancel(request, CANCEL_TIMEOUT_S)
    except PeerError:
        return None
    return CancelWord(
        reply.never_started,
        reply.running,
        reply.ended,
        Usage(reply.prompt_tokens, reply.completion_tokens),
    )


class AttemptStream:
    """Run the hand-overs of one request.

    :param on_header: takes the headers of frames, for the configuration.
    :param on_first_data: called once, with the answer's first bytes.
    """

    def __init__(
        self,
        plan: RequestPlan,
        machine: RequestMachine,
        sink: AnswerSink,
        clock: Callable[[], float],
        on_header: Callable[[pb.Header], None],
        on_first_data: Callable[[], None],
    ) -> None:
        self._plan = plan
        self._machine = machine
        self._sink = sink
        self._clock = clock
        self._on_header = on_header
        self._on_first_data = on_first_data
        self._headed = False
        self._begun = False
        self._refusal: Refused | None = None

    def take_refusal(self) -> Refused | None:
        """Return the refusal of the last order, once."""
        refusal, self._refusal = self._refusal, None
        return refusal

    async def hand_over(
        self,
        step: HandOver,
        client: SidecarClient,
        header: pb.Header,
        reservation: Reservation | None,
    ) -> Step:
        """Send the order, read its answer, and return the next step."""
        if step.resume_offset_bytes == 0:
            self._sink.reset()
        start = self._start(step, header, reservation)
        body = None if step.join_only else self._rest_of_body()
        self._machine.handed_over()
        try:
            async with aclosing(client.execute(start, body)) as frames:
                async for frame in frames:
                    if frame.HasField("header"):
                        self._on_header(frame.header)
                    next_step = await self._take(frame)
                    if next_step is not None:
                        return next_step
        except NotDelivered:
            return self._machine.lost(delivered=False, now_s=self._clock())
        except Broken:
            pass
        return self._machine.lost(delivered=True, now_s=self._clock())

    async def _take(self, frame: pb.Frame) -> Step | None:
        now_s = self._clock()
        attempt_id = AttemptId(frame.attempt_id)
        match frame.WhichOneof("kind"):
            case "refused":
                self._refusal = _refused_of(frame.refused)
                return self._machine.refused(self._refusal, now_s)
            case "head":
                await self._take_head(attempt_id, frame.head)
            case "data":
                return await self._take_data(attempt_id, frame, now_s)
            case "end":
                end = frame.end
                usage = Usage(end.prompt_tokens, end.completion_tokens)
                return self._machine.ended(attempt_id, end.length, usage, now_s)
            case "failed":
                failed = frame.failed
                return self._machine.failed(
                    attempt_id,
                    _reason_of(failed.reason),
                    failed.detail,
                    Usage(failed.prompt_tokens, failed.completion_tokens),
                    failed.usage_final,
                    now_s,
                )
        return None

    async def _take_head(self, attempt_id: AttemptId, head: pb.AnswerHead) -> None:
        self._machine.head(attempt_id, head.joined)
        if not self._headed:
            self._headed = True
            fields = tuple((one.name, one.value) for one in head.fields)
            await self._sink.head(head.status, fields)

    async def _take_data(
        self, attempt_id: AttemptId, frame: pb.Frame, now_s: float
    ) -> Step | None:
        taken = self._machine.data(attempt_id, frame.offset, frame.data, now_s)
        if not isinstance(taken, tuple):
            return taken
        for piece in taken:
            if not self._begun:
                self._begun = True
                self._on_first_data()
            await self._sink.data(piece.data)
        return None

    def _rest_of_body(self) -> AsyncIterator[bytes] | None:
        call = self._plan.request.call
        return call.rest if isinstance(call, ServiceCall) else None

    def _start(
        self, step: HandOver, header: pb.Header, reservation: Reservation | None
    ) -> pb.ExecuteStart:
        facts = self._plan.facts
        request = self._plan.request
        start = pb.ExecuteStart(
            header=header,
            client_account=facts.identity.client_account,
            idempotency_key=facts.identity.idempotency_key,
            attempt_id=step.attempt_id,
            body_digest=facts.body_digest,
            repeatable=facts.repeatable,
            budget=request.budget.budget,
            remaining_s=max(0.0, facts.deadline_s - self._clock()),
            priority=int(request.priority),
            resume_offset=step.resume_offset_bytes,
            target_instance_id=step.incarnation,
            join_only=step.join_only,
        )
        if reservation is not None:
            start.grant_id = reservation.grant_id
            start.reservation_tokens = reservation.tokens
        match request.call:
            case EngineCall() as call:
                start.engine.CopyFrom(self._engine_work(call))
            case ServiceCall() as call:
                start.service.CopyFrom(_service_work(call))
        return start

    def _engine_work(self, call: EngineCall) -> pb.EngineWork:
        bound = self._plan.bound
        return pb.EngineWork(
            model=call.model,
            adapter=call.adapter,
            body=call.body,
            chat=call.chat,
            prompt_bound_tokens=bound.prompt_tokens,
            max_completion_tokens=bound.completion_tokens,
        )


def _service_work(call: ServiceCall) -> pb.ServiceWork:
    return pb.ServiceWork(
        service=call.service,
        method=call.method,
        path=call.path,
        fields=[pb.HeaderField(name=name, value=value) for name, value in call.fields],
        more_body=call.rest is not None,
        body=call.body,
    )


def _refused_of(refusal: pb.Refusal) -> Refused:
    retry_after_s = refusal.retry_after_s if refusal.retry_after_s > 0 else None
    return Refused(_reason_of(refusal.reason), refusal.detail, retry_after_s)


def _reason_of(code: str) -> Reason:
    # A newer sidecar may know reasons that this router does not.
    try:
        return Reason(code)
    except ValueError:
        return Reason.TARGET_FAILED
