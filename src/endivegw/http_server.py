"""Serve an ASGI application with uvicorn inside a task group."""

from __future__ import annotations

import contextlib
import functools
import socket
from typing import Any, Callable, Iterator

import anyio
import uvicorn
from anyio.abc import TaskStatus

from endivegw.http_protocol import BoundedHttpProtocol, HeaderBound

__all__ = ["ServedAddress", "serve_asgi"]

#: Host and port that a server listens on.
ServedAddress = tuple[str, int]

#: Connections that wait to be accepted; a balancer opens many at once when a
#: router joins.
_BACKLOG = 2048


class _Server(uvicorn.Server):
    """Leave signals to the daemon, and say when the sockets listen."""

    def __init__(self, config: uvicorn.Config, on_started: Callable[[], None]) -> None:
        super().__init__(config)
        self._on_started = on_started

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: the daemon that runs the server has its own."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, then report it."""
        await super().startup(sockets)
        if not self.should_exit:
            self._on_started()


async def serve_asgi(
    app: Any,
    host: str,
    port: int,
    *,
    lifespan: bool = False,
    graceful_s: int = 5,
    header_bound: HeaderBound | None = None,
    task_status: TaskStatus[ServedAddress] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the address once the socket listens.

    :param app: the ASGI application.
    :param port: 0 for any free one.
    :param lifespan: whether the application takes lifespan events.
    :param graceful_s: how long answers in progress may still run after the
        cancellation; beyond it they are cut off.
    :param header_bound: None where every client is trusted with the length of
        its header fields.
    """
    # The protocol is named because the event loop asks for it: on sockets without
    # it, it leaves Nagle's algorithm on. A piece of an answer then waits in the
    # kernel until the client acknowledges the piece before, which clients put off
    # for 40 ms; one notices it as latencies that cluster there.
    tcp = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    with socket.socket(*tcp) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        address: ServedAddress = listener.getsockname()[:2]
        config = uvicorn.Config(
            app,
            http=_protocol(header_bound),
            lifespan="on" if lifespan else "off",
            log_config=None,
            log_level="critical",
            access_log=False,
            backlog=_BACKLOG,
            timeout_graceful_shutdown=graceful_s,
        )
        server = _Server(config, lambda: task_status.started(address))
        await _run_until_cancelled(server, listener)


def _protocol(bound: HeaderBound | None) -> Any:
    """Return what uvicorn makes a connection's protocol with."""
    if bound is None:
        return "httptools"
    return functools.partial(BoundedHttpProtocol, bound=bound)


async def _run_until_cancelled(server: _Server, listener: socket.socket) -> None:
    async def run() -> None:
        # Shielded, so that answers in progress end before the sockets close.
        with anyio.CancelScope(shield=True):
            await server.serve(sockets=[listener])

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        try:
            await anyio.sleep_forever()
        finally:
            server.should_exit = True
