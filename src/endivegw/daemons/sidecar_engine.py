"""Run one generation at a model engine, into the buffer of its answer."""

from __future__ import annotations

from contextlib import aclosing
from typing import Any

import anyio

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.sidecar_ports import Clock, GrantGate, SidecarSettings
from endivegw.daemons.sidecar_run import Run
from endivegw.exceptions import TargetError
from endivegw.requests.buffer import BufferFailure
from endivegw.results import Done, Reason, Refused
from endivegw.targets.ports import (
    EngineEnded,
    EngineEvent,
    EngineFailed,
    EnginePort,
    EngineRequest,
    EngineText,
)
from endivegw.types import Usage

__all__ = ["EngineJob"]

#: What a broken stream to the engine looks like.
_BROKEN = (TargetError, OSError)

#: Reasons for which an answer is given up rather than resumed.
_FINAL = frozenset({Reason.BUDGET_EXHAUSTED, Reason.CANCELLED, Reason.DEADLINE})


class EngineJob:
    """Drive one generation; it ends its buffer exactly once.

    :param prompt_bound_tokens: the most that the prompt can count.
    :param starts: names the engine's start that the generation belongs to.
    """

    def __init__(
        self,
        engine: EnginePort,
        grants: GrantGate,
        settings: SidecarSettings,
        clock: Clock,
        run: Run,
        request: EngineRequest,
        prompt_bound_tokens: int,
        starts: EngineStarts,
    ) -> None:
        self._engine = engine
        self._grants = grants
        self._settings = settings
        self._clock = clock
        self._run = run
        self._request = request
        self._prompt_bound_tokens = prompt_bound_tokens
        self._starts = starts
        self._start_number = starts.number
        self._pieces = 0
        self._tokens = 0
        self._resumed = 0

    async def run(self) -> Usage:
        """Generate until the answer is whole or has failed.

        :returns: what is to be charged.
        """
        events = self._engine.generate(self._request)
        while True:
            outcome = await self._consume(events)
            if isinstance(outcome, EngineEnded):
                self._run.buffer.finish(outcome.usage, outcome.finish_reason)
                return outcome.usage
            if not self._resumable(outcome):
                return await self._fail(outcome)
            # The stream broke, not the generation: the engine may still be at
            # it. Starting it anew would be paid for twice.
            self._resumed += 1
            await anyio.sleep(self._settings.resume_pause_s)
            events = self._engine.resume(self._request, self._pieces)

    async def stop(self, reason: Reason) -> Usage:
        """End the engine's work for a caller that went away or a late answer.

        :returns: what is to be charged.
        """
        return await self._fail(self._failed(reason, "stopped by the fleet"))

    async def _consume(self, events: Any) -> EngineEnded | EngineFailed:
        event: EngineEvent
        try:
            # Closing it at once, not at some later time, tells the engine that
            # nobody reads any more.
            async with aclosing(events):
                async for event in events:
                    if not isinstance(event, EngineText):
                        return event
                    if self._beyond_bound(event.tokens):
                        detail = "the engine went beyond its token bound"
                        return self._failed(Reason.BUDGET_EXHAUSTED, detail)
                    await self._take(event)
        except _BROKEN as error:
            return self._failed(Reason.UNREACHABLE, str(error))
        return self._failed(Reason.UNREACHABLE, "the stream ended early")

    def _beyond_bound(self, tokens: int) -> bool:
        # The grant holds no more: an engine that ignores its bound would spend
        # beyond the prepaid budget.
        return self._tokens + tokens > self._request.max_completion_tokens

    async def _take(self, event: EngineText) -> None:
        self._pieces += 1
        self._tokens += event.tokens
        now_s = self._clock()
        self._grants.consume(self._request.attempt_id, event.tokens, now_s)
        await self._run.append(_line(event.data))

    def _resumable(self, failed: EngineFailed) -> bool:
        return (
            failed.started
            and not failed.usage_final
            and failed.reason not in _FINAL
            and not self._is_forgotten(failed)
            and self._resumed < self._settings.resume_tries
            and self._clock() < self._run.deadline_s
        )

    def _is_forgotten(self, failed: EngineFailed) -> bool:
        """Return whether the engine does not know the generation any more."""
        return self._resumed > 0 and failed.reason is Reason.UNKNOWN_MODEL

    def _target_end(self, failed: EngineFailed) -> str:
        """Return the start of the engine that ended with the answer, if one did.

        An engine that is there and forgot what it was at has started again; one that
        cannot be reached on the same machine is gone.
        """
        is_gone = self._resumed > 0 and failed.reason is Reason.UNREACHABLE
        if is_gone or self._is_forgotten(failed):
            return self._starts.ended(self._start_number)
        return ""

    def _failed(self, reason: Reason, detail: str) -> EngineFailed:
        usage = Usage(self._prompt_bound_tokens, self._tokens)
        return EngineFailed(reason, detail, True, usage, False)

    async def _fail(self, failed: EngineFailed) -> Usage:
        if not failed.started and self._pieces == 0:
            self._run.buffer.fail(Refused(failed.reason, failed.detail))
            return Usage()
        usage, final = failed.usage, failed.usage_final
        if not final:
            usage, final = await self._cancel()
        end = self._target_end(failed)
        failure = BufferFailure(failed.reason, failed.detail, usage, final, end)
        self._run.buffer.fail(failure)
        return usage

    async def _cancel(self) -> tuple[Usage, bool]:
        with anyio.move_on_after(self._settings.cancel_timeout_s):
            match await self._engine.cancel(self._request.attempt_id):
                case Done(value=usage):
                    return usage, True
        # The engine does not say what it consumed and may go on. The whole
        # reservation is charged, so that the budget cannot be overspent.
        most = self._request.max_completion_tokens
        return Usage(self._prompt_bound_tokens, most), False


def _line(data: bytes) -> bytes:
    # One chunk of JSON a line. A raw line feed is white space in JSON and can
    # stand in no string, so a blank changes nothing but the framing.
    return data.replace(b"\n", b" ") + b"\n"
