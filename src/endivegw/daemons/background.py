"""Tasks that outlive the request that started them."""

from __future__ import annotations

from typing import Any, Awaitable, Callable

from anyio.abc import TaskGroup

from endivegw.exceptions import EndivegwError
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.daemons import INVARIANT_BROKEN, UNEXPECTED_ERROR

__all__ = ["Background"]


class Background:
    """Start tasks in a task group and contain the errors of each.

    An error that escapes from a task cancels its whole task group, which here is
    the whole daemon. The cleanup of one request after its caller disconnected must
    therefore not raise, whatever fails, or it would end the requests
    of all other callers.
    """

    def __init__(self, tasks: TaskGroup, log: EventLog) -> None:
        self._tasks = tasks
        self._log = log

    def start_soon(self, run: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Start a task; an error is logged and ends only that task."""
        self._tasks.start_soon(self._run, run, arguments)

    async def _run(
        self, run: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]
    ) -> None:
        try:
            await run(*arguments)
        except EndivegwError as error:
            self._log.emit(INVARIANT_BROKEN, detail=error.message)
        except Exception as error:
            self._log.emit(UNEXPECTED_ERROR, detail=repr(error))
