"""Tasks that outlive the request that started them."""

from __future__ import annotations

from typing import Any, Awaitable, Callable

from anyio.abc import TaskGroup

from endivegw.exceptions import EndivegwError
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.daemons import INVARIANT_BROKEN

__all__ = ["Background"]


class Background:
    """Start tasks in a group, and keep one that fails from ending all others.

    What settles one request after its caller went away must not, where a check
    stops it, take every other caller's request with it: an error in a task
    group cancels the whole group, and the group is the daemon.
    """

    def __init__(self, tasks: TaskGroup, log: EventLog) -> None:
        self._tasks = tasks
        self._log = log

    def start_soon(self, run: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Start a task; an error of the package's own is logged and ends it."""
        self._tasks.start_soon(self._run, run, arguments)

    async def _run(
        self, run: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]
    ) -> None:
        try:
            await run(*arguments)
        except EndivegwError as error:
            self._log.emit(INVARIANT_BROKEN, detail=error.message)
