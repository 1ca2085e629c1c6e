"""Measure bursts of pipelined requests, with and without an offer of another protocol.

The clients run in threads of the server's process, which share the bytes they send.
"""

from __future__ import annotations

import functools
import resource
import socket
import threading
import time
from typing import Any

import anyio
import click
from attrs import define

from endivegw.daemons.client_limits import client_limits
from endivegw.http_protocol import HeaderLimit
from endivegw.http_server import ServedAddress, serve_asgi
from endivegw.settings import HttpLimits

_OFFER = b"connection: upgrade\r\nupgrade: h2c\r\n"
_REQUEST = b"POST /a HTTP/1.1\r\nhost: a\r\n%bcontent-length: 5\r\n\r\nhello"
_STATUS_LINE = b"HTTP/1.1 200"

_MAX_HEADER_BYTES = 4096

#: As routers serve their callers.
_LIMITS = HttpLimits(
    max_body_bytes=2 * 1024 * 1024,
    max_header_bytes=_MAX_HEADER_BYTES,
    default_deadline_s=60.0,
    max_deadline_s=600.0,
)
_CLIENT_TIMEOUT_S = 60.0
_TICK_S = 0.001
_KIB = 1024


@define
class LoopDelay:
    """Watch for how long the event loop runs nothing else.

    :ivar longest_s: the longest time beyond the interval at which it was to run.
    """

    longest_s: float = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            began_s = time.monotonic()
            await anyio.sleep(_TICK_S)
            delay_s = time.monotonic() - began_s - _TICK_S
            self.longest_s = max(self.longest_s, delay_s)


@click.command(help=__doc__)
@click.option("--connections", default=1, show_default=True)
@click.option("--requests", default=3000, show_default=True, help="on each connection")
@click.option("--offer/--no-offer", default=True, show_default=True)
def main(connections: int, requests: int, offer: bool) -> None:
    """Run the benchmark and print the results."""
    anyio.run(_measure, connections, _REQUEST % (_OFFER if offer else b""), requests)


async def _measure(connections: int, request: bytes, requests: int) -> None:
    limit = HeaderLimit(_MAX_HEADER_BYTES, (), b"")
    delay = LoopDelay()
    async with anyio.create_task_group() as tasks:
        serve = functools.partial(
            serve_asgi, header_limit=limit, client_limits=client_limits(_LIMITS)
        )
        address = await tasks.start(serve, _application, "127.0.0.1", 0)
        tasks.start_soon(delay.watch)
        memory_mb, cpu_s = _peak_memory_mb(), time.process_time()
        answered = await _send_bursts(address, connections, request * requests)
        cpu_s = time.process_time() - cpu_s
        memory_mb = _peak_memory_mb() - memory_mb
        tasks.cancel_scope.cancel()
    click.echo(
        f"{answered} of {connections * requests} answered, +{memory_mb:.0f} MB, "
        f"event loop delayed by {delay.longest_s:.2f} s, "
        f"{cpu_s / max(answered, 1) * 1e6:.0f} us of processor time each"
    )


async def _application(scope: Any, receive: Any, send: Any) -> None:
    while (await receive()).get("more_body", False):
        pass
    length = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": length})
    await send({"type": "http.response.body", "body": b""})


async def _send_bursts(address: ServedAddress, connections: int, burst: bytes) -> int:
    """Send a burst on each connection; return the number of answers."""
    answered: list[int] = []
    limiter = anyio.CapacityLimiter(connections)

    async def send_burst() -> None:
        send = functools.partial(_send_burst, address, burst)
        answered.append(await anyio.to_thread.run_sync(send, limiter=limiter))

    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(send_burst)
    return sum(answered)


def _send_burst(address: ServedAddress, burst: bytes) -> int:
    """Send a burst on one connection; return the number of answers."""
    expected = burst.count(b"HTTP/1.1\r\n")
    answered, tail = 0, b""
    with socket.create_connection(address, _CLIENT_TIMEOUT_S) as connection:
        sender = threading.Thread(target=_send, args=(connection, burst))
        sender.start()
        try:
            while answered < expected and (received := connection.recv(2**16)):
                tail += received
                answered += tail.count(_STATUS_LINE)
                tail = tail[-len(_STATUS_LINE) + 1 :]
        except OSError:
            # The server has reset the connection.
            pass
        sender.join()
    return answered


def _send(connection: socket.socket, burst: bytes) -> None:
    try:
        connection.sendall(burst)
    except OSError:
        # The server has closed the connection; the answers are counted.
        pass


def _peak_memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KIB


if __name__ == "__main__":
    main()
