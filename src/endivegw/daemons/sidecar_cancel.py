"""Cancel attempts, and report their known state."""

from __future__ import annotations

import anyio
from attrs import define

from endivegw.daemons.sidecar_ports import Clock, SidecarSettings
from endivegw.daemons.sidecar_run import AttemptRun
from endivegw.daemons.sidecar_work import AttemptRunner
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.starts import (
    CannotTell,
    NeverStarted,
    Started,
    StartRegistry,
)
from endivegw.results import Done
from endivegw.targets.ports import EnginePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.sidecar import ATTEMPT_CANCELLED
from endivegw.types import AttemptId, Usage

__all__ = ["AttemptCanceller"]

#: How long the sidecar waits to detect that the canceller closed its own stream.
_STREAM_END_TIMEOUT_S = 0.2


@define
class AttemptCanceller:
    """Bar attempts that have not started, and stop those that run.

    :ivar engine: the engine beside the sidecar, None beside a plain service.
    """

    registry: StartRegistry
    runner: AttemptRunner
    engine: EnginePort | None
    settings: SidecarSettings
    clock: Clock
    log: EventLog

    async def cancel(self, request: pb.CancelRequest) -> pb.CancelReply:
        """Cancel an attempt; return its state as a reply without its header."""
        attempt_id = AttemptId(request.attempt_id)
        incarnation = request.target_instance_id
        answer = self.registry.cancel(attempt_id, incarnation, self.clock())
        run = self.runner.find(attempt_id)
        running = run is not None and answer == Started(running=True)
        if run is not None and running and not request.bar_only:
            await self._stop_if_unread(run)
            answer = self.registry.cancel(attempt_id, incarnation, self.clock())
        usage = run.usage if run is not None else None
        if isinstance(answer, CannotTell):
            usage = await self._engine_usage(attempt_id)
        self.log.emit(ATTEMPT_CANCELLED, attempt_id=attempt_id, answer=repr(answer))
        return _reply(answer, usage)

    async def _stop_if_unread(self, run: AttemptRun) -> None:
        """Stop an attempt unless another stream still reads its answer.

        Another caller may have joined, and its answer must not be truncated when
        the first caller disconnects. The canceller has closed its own stream
        before it cancels, but the sidecar may detect this only after the cancel.
        A repeatable attempt that is still read is stopped after its last reader has
        left; the answer of any other is retained for the caller's retry.
        """
        with anyio.move_on_after(_STREAM_END_TIMEOUT_S):
            while run.readers:
                await run.wait_changed()
        if run.readers:
            if run.order.repeatable:
                run.stop_when_unread()
            return
        run.scope.cancel()
        with anyio.move_on_after(self.settings.cancel_timeout_s):
            await run.ended.wait()

    async def _engine_usage(self, attempt_id: AttemptId) -> Usage | None:
        """Stop an attempt of an earlier process; return the consumed tokens.

        The counts of that process are lost, and nothing reads the answer any
        more. Without the engine's figures the account would be charged the complete
        reservation.
        """
        if self.engine is None:
            return None
        with anyio.move_on_after(self.settings.cancel_timeout_s):
            result = await self.engine.cancel(attempt_id)
            if isinstance(result, Done):
                return result.value
        return None


def _reply(
    answer: NeverStarted | Started | CannotTell, usage: Usage | None
) -> pb.CancelReply:
    usage_known = isinstance(answer, CannotTell) and usage is not None
    reply = pb.CancelReply(
        never_started=isinstance(answer, NeverStarted),
        ended=usage_known or answer == Started(running=False),
        running=answer == Started(running=True),
    )
    if usage is not None:
        reply.prompt_tokens = usage.prompt_tokens
        reply.completion_tokens = usage.completion_tokens
    return reply
