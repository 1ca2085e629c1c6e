"""Limit the time for which two targets that work have the same stream."""

from __future__ import annotations

from typing import Sequence

import anyio

from endivegw.relay.context import RelayContext
from endivegw.relay.running_attempt import RunningAttempt

__all__ = ["limit_overlap"]


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
    while path is not None and len(running) > 1:
        responding = await _responding(context, running, path)
        others = [attempt for attempt in running if attempt is not newest]
        if newest in responding:
            newest.took_over = True
            for attempt in others:
                attempt.scope.cancel()
            return
        if any(attempt in responding for attempt in others):
            newest.silent = True
            newest.scope.cancel()
            return


async def _responding(
    context: RelayContext, running: Sequence[RunningAttempt], path: bytes
) -> list[RunningAttempt]:
    """Return the attempts whose targets respond to a probe in time."""
    found: list[RunningAttempt] = []

    async def probe(attempt: RunningAttempt) -> None:
        if await context.pool.probe(attempt.placement.address, path):
            found.append(attempt)

    async with anyio.create_task_group() as tasks:
        for attempt in running:
            tasks.start_soon(probe, attempt)
        # A refusal may take as long as a response to the probe.
        await anyio.sleep(context.limits.overlap_s)
        tasks.cancel_scope.cancel()
    return found
