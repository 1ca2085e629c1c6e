"""Run one generation at a model engine and write its answer into a buffer."""

from __future__ import annotations

from contextlib import aclosing
from typing import Any

import anyio

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.sidecar_ports import Clock, GrantGate, SidecarSettings
from endivegw.daemons.sidecar_run import AttemptRun
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

#: Exceptions that a broken stream to the engine raises.
_STREAM_ERRORS = (TargetError, OSError)

#: Reasons for which an answer is aborted instead of resumed.
_FINAL = frozenset({Reason.BUDGET_EXHAUSTED, Reason.CANCELLED, Reason.DEADLINE})


class EngineJob:
    """Drive one generation; set the outcome of its buffer exactly once.

    :param prompt_bound_tokens: upper bound of the prompt's tokens.
    :param starts: names the engine's start that the generation belongs to.
    """

    def __init__(
        self,
        engine: EnginePort,
        grants: GrantGate,
        settings: SidecarSettings,
        clock: Clock,
        run: AttemptRun,
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
        self._resumes = 0

    async def run(self) -> Usage:
        """Generate until the answer is complete or has failed.

        :returns: the usage to charge.
        """
        events = self._engine.generate(self._request)
        while True:
            outcome = await self._consume(events)
            if isinstance(outcome, EngineEnded):
                self._run.buffer.finish(outcome.usage, outcome.finish_reason)
                return outcome.usage
            if not self._resumable(outcome):
                return await self._fail(outcome)
            # Only the stream broke; the engine may still be generating. A second
            # generation would be charged twice.
            self._resumes += 1
            await anyio.sleep(self._settings.resume_pause_s)
            events = self._engine.resume(self._request, self._pieces)

    async def stop(self, reason: Reason) -> Usage:
        """Stop the engine after a cancel, or when the deadline has passed.

        :returns: the usage to charge.
        """
        return await self._fail(self._failed(reason, "stopped by the sidecar"))

    async def _consume(self, events: Any) -> EngineEnded | EngineFailed:
        event: EngineEvent
        try:
            # Closing the stream at once, instead of on garbage collection,
            # signals to the engine that nothing reads it any more.
            async with aclosing(events):
                async for event in events:
                    if not isinstance(event, EngineText):
                        return event
                    if self._exceeds_limit(event.tokens):
                        detail = (
                            "the engine exceeded its limit of"
                            f" {self._request.max_completion_tokens} completion tokens"
                        )
                        return self._failed(Reason.BUDGET_EXHAUSTED, detail)
                    await self._append(event)
        except _STREAM_ERRORS as error:
            return self._failed(Reason.UNREACHABLE, str(error))
        return self._failed(
            Reason.UNREACHABLE, "the engine's stream ended without an outcome"
        )

    def _exceeds_limit(self, tokens: int) -> bool:
        # The grant covers no more tokens. An engine that ignores the limit would
        # spend beyond the prepaid budget.
        return self._tokens + tokens > self._request.max_completion_tokens

    async def _append(self, event: EngineText) -> None:
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
            and not self._is_unknown_to_engine(failed)
            and self._resumes < self._settings.max_resumes
            and self._clock() < self._run.deadline_s
        )

    def _is_unknown_to_engine(self, failed: EngineFailed) -> bool:
        """Return whether the engine no longer knows the generation."""
        return self._resumes > 0 and failed.reason is Reason.UNKNOWN_MODEL

    def _terminated_start(self, failed: EngineFailed) -> str:
        """Return the engine's start that terminated with the answer, "" for none.

        An engine that responds but no longer knows the generation has restarted;
        one that is unreachable on the same machine has terminated.
        """
        is_unreachable = self._resumes > 0 and failed.reason is Reason.UNREACHABLE
        if is_unreachable or self._is_unknown_to_engine(failed):
            return self._starts.record_termination(self._start_number)
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
        target_end = self._terminated_start(failed)
        failure = BufferFailure(failed.reason, failed.detail, usage, final, target_end)
        self._run.buffer.fail(failure)
        return usage

    async def _cancel(self) -> tuple[Usage, bool]:
        with anyio.move_on_after(self._settings.cancel_timeout_s):
            match await self._engine.cancel(self._request.attempt_id):
                case Done(value=usage):
                    return usage, True
        # The engine did not report its consumption and may still be running.
        # The complete reservation is charged, so that the budget cannot be overspent.
        max_tokens = self._request.max_completion_tokens
        return Usage(self._prompt_bound_tokens, max_tokens), False


def _line(data: bytes) -> bytes:
    # The answer is framed as one JSON document a line. A raw line feed in JSON is
    # white space and cannot occur within a string, so that a space can replace it.
    return data.replace(b"\n", b" ") + b"\n"
