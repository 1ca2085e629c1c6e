"""Limit the time for which two targets that work have the same stream."""

from __future__ import annotations

from typing import Sequence

import anyio

from endivegw.relay.context import RelayContext
from endivegw.relay.running_attempt import RunningAttempt
from endivegw.telemetry.catalogue import relay as events

__all__ = ["limit_overlap", "record_overlap"]


async def limit_overlap(
    context: RelayContext, newest: RunningAttempt, running: Sequence[RunningAttempt]
) -> None:
    """End attempts until at most one target that responds has the stream.

    The newest target goes on if it responds: it has room, since it has not refused the
    stream meanwhile. Else it is given up if another one responds, which is only slow
    then. If none responds, none works, and the first one to respond is awaited.

    :param running: the attempts of the race; attempts that end leave it.
    """
    path = context.wire.probe_path()
    if path is None:
        return
    responding: list[RunningAttempt] = []
    async with anyio.create_task_group() as tasks:
        for attempt in running:
            tasks.start_soon(_probe, context, attempt, path, responding)
        while len(running) > 1 and not newest.took_over:
            # A refusal may take as long as a response to the probe.
            await anyio.sleep(context.limits.overlap_s)
            _end_attempts(newest, running, responding)
        tasks.cancel_scope.cancel()


def _end_attempts(
    newest: RunningAttempt,
    running: Sequence[RunningAttempt],
    responding: Sequence[RunningAttempt],
) -> None:
    """End the attempts of all targets but one, if it is known which one responds."""
    others = [attempt for attempt in running if attempt is not newest]
    if newest in responding:
        newest.took_over = True
        for attempt in others:
            attempt.scope.cancel()
    elif any(attempt in responding for attempt in others):
        newest.silent = True
        newest.scope.cancel()


async def _probe(
    context: RelayContext,
    attempt: RunningAttempt,
    path: bytes,
    responding: list[RunningAttempt],
) -> None:
    """Add an attempt to those whose target responds, as soon as it does."""
    pause_s = context.limits.overlap_s
    while not await context.pool.probe(attempt.placement.address, path):
        await anyio.sleep(pause_s)
        pause_s *= 2.0
    responding.append(attempt)


def record_overlap(
    context: RelayContext,
    request_id: str,
    closed: RunningAttempt,
    running: Sequence[RunningAttempt],
) -> None:
    """Log for how long an attempt that was closed overlapped with those beside it."""
    others = [each for each in running if each is not closed and each.sent_s]
    if not others or not closed.sent_s:
        return
    began_s = max(closed.sent_s, min(other.sent_s for other in others))
    context.log.emit(
        events.ATTEMPT_ENDED_BESIDE,
        request_id=request_id,
        target=closed.placement.target,
        others=[other.placement.target for other in others],
        overlap_s=round(context.clock() - began_s, 4),
    )
