"""Serve an ASGI application with uvicorn in an anyio task group."""

from __future__ import annotations

import contextlib
import functools
import socket
from typing import Any, Callable, Iterator

import anyio
import uvicorn
from anyio.abc import TaskStatus

from endivegw.http_connections import ClientLimits, SharedHttpProtocol
from endivegw.http_protocol import BoundedHttpProtocol, HeaderLimit

__all__ = ["ServedAddress", "serve_asgi"]

#: Host and port that a server listens on.
ServedAddress = tuple[str, int]

#: Maximum number of connections waiting to be accepted. A load balancer opens many
#: connections at once when a router joins.
_BACKLOG = 2048


class _Server(uvicorn.Server):
    """Server that installs no signal handlers and reports when its sockets listen."""

    def __init__(self, config: uvicorn.Config, on_started: Callable[[], None]) -> None:
        super().__init__(config)
        self._on_started = on_started

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the daemon that runs the server has its own."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the sockets, then report that the server listens."""
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
    header_limit: HeaderLimit | None = None,
    client_limits: ClientLimits | None = None,
    task_status: TaskStatus[ServedAddress] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the address once the socket listens.

    :param app: the ASGI application.
    :param port: port to listen on, 0 for any free port.
    :param lifespan: whether the application handles lifespan events.
    :param graceful_s: how long responses in progress may continue after the
        cancellation before they are truncated.
    :param header_limit: limit of the size of header sections, None if all clients
        are trusted.
    :param client_limits: what clients share; None if they share nothing.
    """
    # The protocol is explicit because the event loop disables Nagle's algorithm only
    # on sockets that have it. Otherwise a chunk of a response waits in the kernel
    # until the client acknowledges the previous chunk. Clients delay
    # acknowledgements by 40 ms, so that latencies cluster at that value.
    tcp = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    with socket.socket(*tcp) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        address: ServedAddress = listener.getsockname()[:2]
        config = uvicorn.Config(
            app,
            http=_protocol(header_limit, client_limits),
            lifespan="on" if lifespan else "off",
            log_config=None,
            log_level="critical",
            access_log=False,
            backlog=_BACKLOG,
            timeout_graceful_shutdown=graceful_s,
        )
        server = _Server(config, lambda: task_status.started(address))
        await _run_until_cancelled(server, listener)


def _protocol(limit: HeaderLimit | None, shared: ClientLimits | None) -> Any:
    """Return uvicorn's setting for the protocol class of a connection."""
    if limit is None:
        return "httptools"
    if shared is not None:
        return functools.partial(SharedHttpProtocol, limit=limit, limits=shared)
    return functools.partial(BoundedHttpProtocol, limit=limit)


async def _run_until_cancelled(server: _Server, listener: socket.socket) -> None:
    async def run() -> None:
        # Shielded so that responses in progress can complete before the sockets
        # close.
        with anyio.CancelScope(shield=True):
            await server.serve(sockets=[listener])

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        try:
            await anyio.sleep_forever()
        finally:
            server.should_exit = True
