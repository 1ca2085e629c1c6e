"""Execute the steps of one request's state machine over actual connections."""

from __future__ import annotations

from contextlib import aclosing
from typing import AsyncIterator, Callable, Protocol

import anyio
from attrs import frozen

from endivegw.exceptions import PeerError
from endivegw.peers import NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.attempts import RequestStateMachine
from endivegw.requests.claims import ClaimAnswer, ClaimProposal
from endivegw.requests.steps import (
    CancelAttempt,
    Ending,
    Finish,
    HandOver,
    Pause,
    Place,
    ProposeClaim,
    Step,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, TargetName, Usage

__all__ = ["PlacedTarget", "RequestDriver", "RequestPorts"]

_CANCEL_TIMEOUT_S = 1.0

#: How long the final cancellation may take after the deadline, so that the caller
#: can be sent the actual outcome.
_FINAL_CANCEL_TIMEOUT_S = 1.5


@frozen
class PlacedTarget:
    """Hold the target chosen for a request.

    :param incarnation: incarnation of the target's sidecar, from its last heartbeat.
    """

    target: TargetName
    incarnation: str


class RequestPorts(Protocol):
    """Interface of the router that the driver of one request uses."""

    async def place(self, avoid: frozenset[TargetName]) -> PlacedTarget | Refused:
        """Reserve tokens and choose a target; wait in the queue if necessary."""

    def client(self, target: TargetName) -> SidecarClient | None:
        """Return the connection to a target's sidecar, None if it is unknown."""

    def header(self) -> pb.Header:
        """Return the message header of this process."""

    def start(self, step: HandOver) -> pb.ExecuteStart:
        """Return the message for an attempt; the driver adds the step's fields."""

    def cancel_if_caller_left(self) -> None:
        """Cancel the request if its caller has disconnected."""

    def may_start(self) -> bool:
        """Return whether a message may still start the request.

        False once a streamed body was read: a second message would start the
        request with only the part of the body that the first one did not consume.
        """

    def body(self) -> AsyncIterator[bytes] | None:
        """Return the rest of a streamed body, None if the body was buffered."""

    async def claim(self, proposal: ClaimProposal) -> ClaimAnswer | None:
        """Send a claim proposal to the slot's owner; None if it did not answer."""

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Receive the head of the answer; may be called again after a reset."""

    async def data(self, data: bytes) -> None:
        """Receive the next bytes of the answer."""

    def reset(self) -> None:
        """Drop the buffered bytes that were not sent to the caller."""

    def on_header(self, header: pb.Header) -> None:
        """Process the message header in a sidecar's frame."""

    def refused(self, step: HandOver, refused: Refused) -> None:
        """Record a sidecar's refusal, before the state machine processes it."""

    def target_ended(self, end: str) -> None:
        """Record that a target terminated while it ran the request.

        Called before the state machine processes the failure.

        :param end: identifier of the target's start that terminated.
        """


class RequestDriver:
    """Execute the steps of one request until it has ended."""

    def __init__(
        self,
        machine: RequestStateMachine,
        ports: RequestPorts,
        clock: Callable[[], float],
    ) -> None:
        self._machine = machine
        self._ports = ports
        self._clock = clock
        self._stop_reason = Reason.DEADLINE
        self._scope: anyio.CancelScope | None = None

    async def run(self) -> Ending:
        """Execute the request and return how it ended.

        The task is cancelled if the caller disconnects; :meth:`stop` must then be
        called to end the attempt.
        """
        remaining_s = self._machine.facts.deadline_s - self._clock()
        with anyio.move_on_after(max(0.0, remaining_s)) as self._scope:
            return await self._run_steps(self._machine.start(self._clock()))
        return await self.stop(self._stop_reason)

    def interrupt(self, reason: Reason) -> None:
        """Let :meth:`run` end the request now, as if its deadline had passed."""
        if self._scope is not None and not self._scope.cancel_called:
            self._stop_reason = reason
            self._scope.cancel()

    async def stop(self, reason: Reason) -> Ending:
        """End the request after its deadline or the caller's disconnect."""
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(_FINAL_CANCEL_TIMEOUT_S):
                return await self._run_steps(self._machine.stop(reason, self._clock()))
        step = self._machine.cancel_lost(self._clock())
        assert isinstance(step, Finish)
        return step.ending

    async def _run_steps(self, step: Step) -> Ending:
        while not isinstance(step, Finish):
            step = await self._execute_step(step)
        return step.ending

    async def _execute_step(self, step: Step) -> Step:
        machine = self._machine
        match step:
            case Place(avoid=avoid):
                placed = await self._ports.place(avoid)
                if isinstance(placed, Refused):
                    return machine.not_placed(placed, self._clock())
                now_s = self._clock()
                return machine.placed(placed.target, placed.incarnation, now_s)
            case ProposeClaim(proposal=proposal):
                answer = await self._ports.claim(proposal)
                if answer is None:
                    return machine.claim_lost(self._clock())
                return machine.claim_answered(answer, self._clock())
            case Pause(duration_s=duration_s):
                await anyio.sleep(duration_s)
                return machine.paused(self._clock())
            case HandOver():
                return await self._hand_over(step)
            case CancelAttempt():
                return await self._cancel(step)
            case Finish():
                return step

    async def _hand_over(self, step: HandOver) -> Step:
        client = self._ports.client(step.target)
        if client is None:
            return self._machine.lost(delivered=False, now_s=self._clock())
        if step.resume_offset_bytes == 0:
            self._ports.reset()
        start = self._ports.start(step)
        start.attempt_id = step.attempt_id
        start.target_instance_id = step.incarnation
        start.resume_offset = step.resume_offset_bytes
        start.join_only = step.join_only or not self._ports.may_start()
        try:
            body = None if start.join_only else self._ports.body()
            stream = client.execute(start, body, self._before_send)
            async with aclosing(stream) as frames:
                async for frame in frames:
                    if frame.HasField("header"):
                        self._ports.on_header(frame.header)
                    next_step = await self._handle_frame(step, frame)
                    if next_step is not None:
                        return next_step
        except NotDelivered:
            return self._machine.lost(delivered=False, now_s=self._clock())
        except PeerError:
            pass
        return self._machine.lost(delivered=True, now_s=self._clock())

    async def _before_send(self) -> None:
        """Cancel the request if its caller left; else record that it is handed over.

        Opening the connection may have taken long enough for the caller to leave.
        """
        self._ports.cancel_if_caller_left()
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._machine.handed_over()

    async def _handle_frame(self, hand_over: HandOver, frame: pb.Frame) -> Step | None:
        """Process one frame; return the next step if the stream need not be read on."""
        machine, now_s = self._machine, self._clock()
        attempt_id = AttemptId(frame.attempt_id)
        match frame.WhichOneof("kind"):
            case "refused":
                refused = _parse_refusal(frame.refused)
                self._ports.refused(hand_over, refused)
                return machine.refused(refused, now_s)
            case "head":
                step = machine.head(attempt_id, frame.head.joined, now_s)
                if step is not None:
                    return step
                # A head without a status only identifies the attempt: its target did
                # not answer, and a failure follows. If it were forwarded, the caller's
                # connection would be closed without a statement of the outcome.
                if frame.head.status:
                    fields = tuple((f.name, f.value) for f in frame.head.fields)
                    await self._ports.head(frame.head.status, fields)
            case "data":
                chunks = machine.data(attempt_id, frame.offset, frame.data, now_s)
                if not isinstance(chunks, tuple):
                    return chunks
                for chunk in chunks:
                    await self._ports.data(chunk.data)
            case "end":
                usage = Usage(frame.end.prompt_tokens, frame.end.completion_tokens)
                return machine.ended(attempt_id, frame.end.length, usage, now_s)
            case "failed":
                failed = frame.failed
                if failed.target_end:
                    self._ports.target_ended(failed.target_end)
                usage = Usage(failed.prompt_tokens, failed.completion_tokens)
                return machine.failed(
                    attempt_id,
                    _parse_reason(failed.reason),
                    failed.detail,
                    usage,
                    failed.usage_final,
                    now_s,
                )
        return None

    async def _cancel(self, step: CancelAttempt) -> Step:
        client = self._ports.client(step.target)
        if client is None:
            return self._machine.cancel_lost(self._clock())
        request = pb.CancelRequest(
            header=self._ports.header(),
            attempt_id=step.attempt_id,
            target_instance_id=step.incarnation,
            bar_only=step.bar_only,
        )
        try:
            reply = await client.cancel(request, _CANCEL_TIMEOUT_S)
        except PeerError:
            return self._machine.cancel_lost(self._clock())
        return self._machine.cancelled(
            never_started=reply.never_started,
            running=reply.running,
            ended=reply.ended,
            usage=Usage(reply.prompt_tokens, reply.completion_tokens),
            now_s=self._clock(),
        )


def _parse_refusal(refusal: pb.Refusal) -> Refused:
    retry_after_s = refusal.retry_after_s if refusal.retry_after_s >= 0 else None
    return Refused(_parse_reason(refusal.reason), refusal.detail, retry_after_s)


def _parse_reason(code: str) -> Reason:
    # A newer sidecar may send reasons that this router does not know.
    try:
        return Reason(code)
    except ValueError:
        return Reason.TARGET_FAILED
