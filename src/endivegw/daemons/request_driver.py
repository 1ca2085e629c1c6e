"""Carry out the steps of one request's state machine over real connections."""

from __future__ import annotations

from contextlib import aclosing
from typing import Any, AsyncIterator, Callable, Protocol

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

#: How long the last cancel may take after the deadline, for an honest word.
_LAST_CANCEL_S = 1.5


@frozen
class PlacedTarget:
    """Hold where a request goes.

    :param incarnation: of the target's sidecar, from its last heartbeat.
    """

    target: TargetName
    incarnation: str


class RequestPorts(Protocol):
    """What the driver needs of the router around it, for one request."""

    async def place(self, avoid: frozenset[TargetName]) -> PlacedTarget | Refused:
        """Reserve tokens and find a target; waits in the queue where needed."""

    def client(self, target: TargetName) -> SidecarClient | None:
        """Return the connection to a target's sidecar, None where it is gone."""

    def header(self) -> pb.Header:
        """Return this process's header."""

    def start(self, step: HandOver) -> pb.ExecuteStart:
        """Return the message for an order; the driver sets what the step says."""

    def may_start(self) -> bool:
        """Return whether an order may still start the request.

        False once a body that flows through was taken: a second order would
        start the request with what the first one left of it.
        """

    def body(self) -> AsyncIterator[bytes] | None:
        """Return the rest of a body that was not held, None where it was."""

    async def claim(self, proposal: ClaimProposal) -> ClaimAnswer | None:
        """Ask the slot's owner; None where it gave no answer."""

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Take the head of the answer; may come again after a reset."""

    async def data(self, data: bytes) -> None:
        """Take the next bytes of the answer."""

    def reset(self) -> None:
        """Drop the bytes that were held back from the caller."""

    def heard(self, header: pb.Header) -> None:
        """Take in the header of a sidecar's frame."""

    def refused(self, step: HandOver, refused: Refused) -> None:
        """Take in why an order started nothing, before the machine does."""

    def target_ended(self, end: str) -> None:
        """Take in that a target ended with the request, before the machine does.

        :param end: names the start that ended.
        """


class RequestDriver:
    """Run one request from its first step to its ending."""

    def __init__(
        self,
        machine: RequestStateMachine,
        ports: RequestPorts,
        clock: Callable[[], float],
    ) -> None:
        self._machine = machine
        self._ports = ports
        self._clock = clock

    async def run(self) -> Ending:
        """Return how the request ended.

        A cancelled task is a caller that went away; :meth:`stop` then ends the
        attempt.
        """
        remaining_s = self._machine.facts.deadline_s - self._clock()
        with anyio.move_on_after(max(0.0, remaining_s)):
            return await self._steps(self._machine.start(self._clock()))
        return await self.stop(Reason.DEADLINE)

    async def stop(self, reason: Reason) -> Ending:
        """End the request for a passed deadline or a caller that went away."""
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(_LAST_CANCEL_S):
                return await self._steps(self._machine.stop(reason, self._clock()))
        step = self._machine.cancel_lost(self._clock())
        assert isinstance(step, Finish)
        return step.ending

    async def _steps(self, step: Step) -> Ending:
        while not isinstance(step, Finish):
            step = await self._carry_out(step)
        return step.ending

    async def _carry_out(self, step: Step) -> Step:
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
        self._machine.handed_over()
        try:
            body = None if start.join_only else self._ports.body()
            async with aclosing(_frames(client, start, body)) as frames:
                async for frame in frames:
                    if frame.HasField("header"):
                        self._ports.heard(frame.header)
                    next_step = await self._take(step, frame)
                    if next_step is not None:
                        return next_step
        except NotDelivered:
            return self._machine.lost(delivered=False, now_s=self._clock())
        except PeerError:
            pass
        return self._machine.lost(delivered=True, now_s=self._clock())

    async def _take(self, order: HandOver, frame: pb.Frame) -> Step | None:
        """Take one frame; return the next step where the stream is done with."""
        machine, now_s = self._machine, self._clock()
        attempt_id = AttemptId(frame.attempt_id)
        match frame.WhichOneof("kind"):
            case "refused":
                refused = _refused(frame.refused)
                self._ports.refused(order, refused)
                return machine.refused(refused, now_s)
            case "head":
                step = machine.head(attempt_id, frame.head.joined, now_s)
                if step is not None:
                    return step
                # A head without a status only names the attempt: its target
                # answered nothing, and the failure follows. Passed on, it would
                # close the caller's connection without a word on the outcome.
                if frame.head.status:
                    fields = tuple((f.name, f.value) for f in frame.head.fields)
                    await self._ports.head(frame.head.status, fields)
            case "data":
                pieces = machine.data(attempt_id, frame.offset, frame.data, now_s)
                if not isinstance(pieces, tuple):
                    return pieces
                for piece in pieces:
                    await self._ports.data(piece.data)
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
                    _reason(failed.reason),
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


def _frames(
    client: SidecarClient, start: pb.ExecuteStart, body: AsyncIterator[bytes] | None
) -> Any:
    return client.execute(start, body)


def _refused(refusal: pb.Refusal) -> Refused:
    retry_after_s = refusal.retry_after_s if refusal.retry_after_s >= 0 else None
    return Refused(_reason(refusal.reason), refusal.detail, retry_after_s)


def _reason(code: str) -> Reason:
    # A newer sidecar may know reasons that this router does not.
    try:
        return Reason(code)
    except ValueError:
        return Reason.TARGET_FAILED
