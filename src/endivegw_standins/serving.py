"""Serve a stand-in on a free port of the loopback interface."""

from __future__ import annotations

import contextlib
from typing import Any, AsyncIterator

import anyio

from endivegw.http_server import serve_asgi

__all__ = ["serve_in", "served"]

LOOPBACK = "127.0.0.1"


async def serve_in(tasks: anyio.abc.TaskGroup, app: Any, *, lifespan: bool) -> str:
    """Start a server in a task group and return its base URL.

    The server stops when the task group is cancelled.
    """

    async def run(
        *,
        task_status: anyio.abc.TaskStatus[tuple[str, int]] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve_asgi(
            app,
            LOOPBACK,
            0,
            lifespan=lifespan,
            graceful_s=0,
            task_status=task_status,
        )

    host, port = await tasks.start(run)
    return f"http://{host}:{port}"


@contextlib.asynccontextmanager
async def served(app: Any, *, lifespan: bool = True) -> AsyncIterator[str]:
    """Serve an application for as long as the context lasts; yield its URL."""
    async with anyio.create_task_group() as tasks:
        yield await serve_in(tasks, app, lifespan=lifespan)
        tasks.cancel_scope.cancel()
