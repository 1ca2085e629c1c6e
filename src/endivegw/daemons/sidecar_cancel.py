"""Cancel attempts, and tell what is known of them."""

from __future__ import annotations

import anyio
from attrs import define

from endivegw.daemons.sidecar_ports import Clock, SidecarSettings
from endivegw.daemons.sidecar_run import Run
from endivegw.daemons.sidecar_work import Work
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

__all__ = ["Cancels"]

#: How long the end of a canceller's own stream may take to be noticed.
_STREAM_END_S = 0.2


@define
class Cancels:
    """Bar attempts that have not started, and stop those that run.

    :ivar engine: None beside a plain service.
    """

    registry: StartRegistry
    work: Work
    engine: EnginePort | None
    settings: SidecarSettings
    clock: Clock
    log: EventLog

    async def cancel(self, request: pb.CancelRequest) -> pb.CancelReply:
        """Return what the attempt came to, without the reply's header."""
        attempt_id = AttemptId(request.attempt_id)
        bound_to = request.target_instance_id
        answer = self.registry.cancel(attempt_id, bound_to, self.clock())
        run = self.work.find(attempt_id)
        running = run is not None and answer == Started(running=True)
        if run is not None and running and not request.bar_only:
            await self._stop_unread(run)
            answer = self.registry.cancel(attempt_id, bound_to, self.clock())
        usage = run.usage if run is not None else None
        if isinstance(answer, CannotTell):
            usage = await self._engine_usage(attempt_id)
        self.log.emit(ATTEMPT_CANCELLED, attempt_id=attempt_id, answer=repr(answer))
        return _reply(answer, usage)

    async def _stop_unread(self, run: Run) -> None:
        """Stop an attempt unless somebody goes on reading its answer.

        Another caller may have joined; its answer must not be cut off by the
        one who goes away. That one has closed its own stream before it
        cancelled, but the end of the stream can be noticed after the cancel.
        """
        with anyio.move_on_after(_STREAM_END_S):
            while run.readers:
                await run.idle()
        if run.readers:
            return
        run.scope.cancel()
        with anyio.move_on_after(self.settings.cancel_timeout_s):
            await run.ended.wait()

    async def _engine_usage(self, attempt_id: AttemptId) -> Usage | None:
        """Return what an attempt of an earlier process consumed, stopping it.

        That process took its counts with it, and nobody reads the answer any
        more. Without the engine's word the account would be charged the whole
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
    counted = isinstance(answer, CannotTell) and usage is not None
    reply = pb.CancelReply(
        never_started=isinstance(answer, NeverStarted),
        ended=counted or answer == Started(running=False),
        running=answer == Started(running=True),
    )
    if usage is not None:
        reply.prompt_tokens = usage.prompt_tokens
        reply.completion_tokens = usage.completion_tokens
    return reply
