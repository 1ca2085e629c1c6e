"""Keep the tasks of a process running if one thing that they handle fails.

An exception that escapes from a task cancels its task group, which is the process, and
with it all answers in progress.
"""

from __future__ import annotations

from traceback import format_exception
from typing import Awaitable, Callable, TypeVar

import anyio

from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.relay import TASK_FAILED

__all__ = ["contain", "keep_running", "record_failure"]

#: Pause before a failed task is started again; doubled while it fails again and again.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 3.2

_Item = TypeVar("_Item")


def record_failure(
    log: EventLog, task: str, error: Exception, item: str | None = None
) -> None:
    """Log that a task met an unexpected error.

    :param item: what the task handled; None if that is not known.
    """
    detail = "".join(format_exception(error))
    log.emit(TASK_FAILED, task=task, item=item, detail=detail)


def contain(
    log: EventLog, task: str, handle: Callable[[_Item], None], item: _Item, name: str
) -> None:
    """Handle an item; log an unexpected error, which must not hold up further items.

    :param name: stands for the item in the log.
    """
    try:
        handle(item)
    except Exception as error:
        record_failure(log, task, error, name)


async def keep_running(
    task: str, run: Callable[[], Awaitable[None]], log: EventLog
) -> None:
    """Run a task until it returns, and start it again whenever it fails."""
    pause_s = _MIN_PAUSE_S
    while True:
        started_s = anyio.current_time()
        try:
            await run()
            return
        except Exception as error:
            record_failure(log, task, error)
        if anyio.current_time() - started_s > _MAX_PAUSE_S:
            pause_s = _MIN_PAUSE_S
        await anyio.sleep(pause_s)
        pause_s = min(_MAX_PAUSE_S, pause_s * 2)
