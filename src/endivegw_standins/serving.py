"""Serve an ASGI app inside this process, on a free port of the loopback."""

from __future__ import annotations

import contextlib
import socket
from typing import Any, AsyncIterator

import anyio
import uvicorn

__all__ = ["serving"]


class _Server(uvicorn.Server):
    """Leave the signals of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        yield


@contextlib.asynccontextmanager
async def serving(
    app: Any, *, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serve while the block runs, and yield the base URL.

    :param port: 0 for any free one.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        config = uvicorn.Config(
            app, log_level="critical", lifespan="off", timeout_graceful_shutdown=1
        )
        server = _Server(config)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            while not server.started:
                await anyio.sleep(0.005)
            try:
                yield f"http://{host}:{listener.getsockname()[1]}"
            finally:
                server.should_exit = True
                # A caller that still waits for a silent answer must not hold
                # up the end of the block.
                for connection in list(server.server_state.connections):
                    connection.transport.close()
