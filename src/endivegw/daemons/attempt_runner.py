"""Carry out one attempt at one sidecar and tell honestly how it ended."""

from __future__ import annotations

from contextlib import aclosing
from typing import AsyncIterator, Callable, Protocol

import anyio
from attrs import define, frozen

from endivegw.daemons.routed import AnswerSink, EngineCall, RoutedRequest, ServiceCall
from endivegw.exceptions import PeerError
from endivegw.peers import Broken, NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, TargetName, Usage

__all__ = [
    "AttemptAnswered",
    "AttemptLost",
    "AttemptNotRun",
    "AttemptPlan",
    "AttemptResult",
    "AttemptRunner",
    "SidecarDirectory",
    "SidecarLink",
]

#: How often a broken stream is joined again before the attempt counts as lost.
_REJOIN_TRIES = 4

#: Waits before each rejoin. A sidecar that lives answers the first or second;
#: one that died is given up within about a second, so that the caller hears.
_REJOIN_WAITS_S = (0.02, 0.1, 0.3, 0.6)

_CANCEL_TIMEOUT_S = 1.0


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
class AttemptPlan:
    """Hold what one attempt is made of.

    :param grant_id: "" for a plain service, which consumes no tokens.
    """

    attempt_id: AttemptId
    request: RoutedRequest
    idempotency_key: str
    body_digest: bytes
    grant_id: str
    reservation_tokens: int
    prompt_bound_tokens: int
    target_instance_id: str


@frozen
class AttemptAnswered:
    """Say that the whole answer went into the sink."""

    usage: Usage


@frozen
class AttemptNotRun:
    """Say that nothing started at the target, for certain."""

    refused: Refused


@frozen
class AttemptLost:
    """Say that the attempt started, or may have, and gave no whole answer.

    :param usage: what it consumed, None where that is not known for certain.
    :param replaced: whether the sidecar answers and cannot tell: its process
        is not the one that the attempt was handed to.
    """

    reason: Reason
    detail: str
    usage: Usage | None
    replaced: bool = False


AttemptResult = AttemptAnswered | AttemptNotRun | AttemptLost


@define
class _Progress:
    """Count the bytes of the answer that went into the sink."""

    offset: int = 0
    headed: bool = False


class AttemptRunner:
    """Run attempts for one router.

    :param header: returns the header of this process for each message.
    :param on_header: takes the sidecar's header, for the configuration.
    """

    def __init__(
        self,
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        clock: Callable[[], float],
    ) -> None:
        self._header = header
        self._on_header = on_header
        self._clock = clock

    async def run(
        self,
        client: SidecarClient,
        plan: AttemptPlan,
        sink: AnswerSink,
        on_first_data: Callable[[], None],
    ) -> AttemptResult:
        """Hand the attempt over and follow its answer to the end."""
        progress = _Progress()
        start = self._start(plan)
        result = await self._follow(
            client, start, _body_of(plan.request), sink, progress, on_first_data
        )
        tries = 0
        while result is None and tries < _REJOIN_TRIES:
            # The stream broke after the hand-over. The sidecar may still run
            # the attempt, and has its answer; starting anew could run it twice.
            await anyio.sleep(_REJOIN_WAITS_S[tries])
            tries += 1
            start = self._start(plan)
            start.join_only = True
            start.resume_offset = progress.offset
            result = await self._follow(
                client, start, None, sink, progress, on_first_data
            )
            if isinstance(result, AttemptNotRun):
                # The sidecar does not know the attempt, yet it was handed over:
                # it may have run in a process that is gone.
                return AttemptLost(
                    Reason.ANSWER_LOST, "the target's process was replaced", None
                )
        if result is None:
            return AttemptLost(Reason.UNREACHABLE, "the target does not answer", None)
        return result

    async def cancel(
        self, client: SidecarClient, plan: AttemptPlan
    ) -> AttemptNotRun | AttemptLost:
        """Cancel the attempt; say whether it had started and what it consumed."""
        request = pb.CancelRequest(
            header=self._header(),
            attempt_id=plan.attempt_id,
            target_instance_id=plan.target_instance_id,
        )
        try:
            reply = await client.cancel(request, _CANCEL_TIMEOUT_S)
        except PeerError as error:
            return AttemptLost(Reason.CANCELLED, error.message, None)
        self._on_header(reply.header)
        if reply.never_started:
            return AttemptNotRun(Refused(Reason.CANCELLED, "cancelled before it ran"))
        usage = Usage(reply.prompt_tokens, reply.completion_tokens)
        return AttemptLost(
            Reason.CANCELLED, "cancelled while it ran", usage if reply.ended else None
        )

    async def _follow(
        self,
        client: SidecarClient,
        start: pb.ExecuteStart,
        body: AsyncIterator[bytes] | None,
        sink: AnswerSink,
        progress: _Progress,
        on_first_data: Callable[[], None],
    ) -> AttemptResult | None:
        """Return the end, or None where the stream broke before one."""
        try:
            async with aclosing(client.execute(start, body)) as frames:
                async for frame in frames:
                    if frame.HasField("header"):
                        self._on_header(frame.header)
                    result = await self._take(frame, sink, progress, on_first_data)
                    if result is not None:
                        return result
        except NotDelivered as error:
            if start.join_only:
                return None
            return AttemptNotRun(Refused(Reason.UNREACHABLE, error.message))
        except Broken:
            return None
        return None

    async def _take(
        self,
        frame: pb.Frame,
        sink: AnswerSink,
        progress: _Progress,
        on_first_data: Callable[[], None],
    ) -> AttemptResult | None:
        match frame.WhichOneof("kind"):
            case "refused":
                return AttemptNotRun(_refused(frame.refused))
            case "head":
                if not progress.headed:
                    progress.headed = True
                    fields = tuple((f.name, f.value) for f in frame.head.fields)
                    await sink.head(frame.head.status, fields)
            case "data":
                # A frame that comes again after a rejoin is cut to what is new.
                data = frame.data[max(0, progress.offset - frame.offset) :]
                if frame.offset > progress.offset:
                    return AttemptLost(Reason.ANSWER_LOST, "bytes are missing", None)
                if data:
                    if progress.offset == 0:
                        on_first_data()
                    progress.offset += len(data)
                    await sink.data(data)
            case "end":
                usage = Usage(frame.end.prompt_tokens, frame.end.completion_tokens)
                if frame.end.length != progress.offset:
                    return AttemptLost(Reason.ANSWER_LOST, "bytes are missing", usage)
                return AttemptAnswered(usage)
            case "failed":
                failed = frame.failed
                usage = Usage(failed.prompt_tokens, failed.completion_tokens)
                return AttemptLost(
                    Reason(failed.reason),
                    failed.detail,
                    usage if failed.usage_final else None,
                )
        return None

    def _start(self, plan: AttemptPlan) -> pb.ExecuteStart:
        request = plan.request
        start = pb.ExecuteStart(
            header=self._header(),
            client_account=request.account.client_account,
            idempotency_key=plan.idempotency_key,
            attempt_id=plan.attempt_id,
            body_digest=plan.body_digest,
            repeatable=request.repeatable,
            grant_id=plan.grant_id,
            budget=request.budget.budget,
            reservation_tokens=plan.reservation_tokens,
            remaining_s=max(0.0, request.deadline_s - self._clock()),
            priority=int(request.priority),
            target_instance_id=plan.target_instance_id,
        )
        match request.call:
            case EngineCall() as call:
                start.engine.CopyFrom(_engine_work(call, plan))
            case ServiceCall() as call:
                start.service.CopyFrom(_service_work(call))
        return start


def _refused(refusal: pb.Refusal) -> Refused:
    retry_after_s = refusal.retry_after_s if refusal.retry_after_s > 0 else None
    return Refused(Reason(refusal.reason), refusal.detail, retry_after_s)


def _engine_work(call: EngineCall, plan: AttemptPlan) -> pb.EngineWork:
    return pb.EngineWork(
        model=call.model,
        adapter=call.adapter,
        body=call.body,
        chat=call.chat,
        prompt_bound_tokens=plan.prompt_bound_tokens,
        max_completion_tokens=plan.reservation_tokens - plan.prompt_bound_tokens,
    )


def _service_work(call: ServiceCall) -> pb.ServiceWork:
    return pb.ServiceWork(
        service=call.service,
        method=call.method,
        path=call.path,
        fields=[pb.HeaderField(name=n, value=v) for n, v in call.fields],
        more_body=call.rest is not None,
        body=call.body,
    )


def _body_of(request: RoutedRequest) -> AsyncIterator[bytes] | None:
    if isinstance(request.call, ServiceCall):
        return request.call.rest
    return None
