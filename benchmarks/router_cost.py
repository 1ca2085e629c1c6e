"""Measure a direct router's processor time per request and per event.

The router runs as a process of its own; the store, the targets and the callers run in
this one. Each load is a number of streams per second with a number of events each; the
cost of a request and of an event is a least-squares fit over the loads.
"""

from __future__ import annotations

import contextlib
import functools
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import Iterator

import anyio
import click
from anyio.abc import TaskGroup
from attrs import define, frozen

from endivegw_standins.platform_fleet import CONFIGURATION, serve_asgi_on_loopback
from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import PlatformWorker
from endivegw_standins.ports import reserve_datagram_port, reserve_port

_ENGINES = 4
_SLOTS = 96
_EVENT_PAUSE_S = 0.03

#: Budget that no load exhausts.
_PREPAID = 10**9

_WARM_UP_S = 2.0

_REQUEST = (
    b"POST /resumable/x HTTP/1.1\r\nhost: h.example\r\ncontent-length: 830\r\n"
    b"endivegw-attempt-id: a-%d\r\nendivegw-deadline-ms: 15000\r\n"
    b"authorization: Bearer key-1\r\nendivegw-token-counts: 830,294\r\n"
    b"endivegw-prompt-prefix: aa:119,bb%d:79,cc%d:628\r\n\r\n" + b"x" * 830
)


@frozen
class Load:
    """Hold one load: streams per second, and events of each."""

    streams_per_s: float
    events: int


_LOADS = (Load(0.0, 1), Load(20.0, 1), Load(20.0, 25), Load(20.0, 49), Load(40.0, 25))


@define
class Measurement:
    """Hold what one load cost.

    :ivar cpu_ms_per_s: processor time of the router per second.
    """

    load: Load
    requests_per_s: float
    events_per_s: float
    cpu_ms_per_s: float


class Callers:
    """Send streams at a steady rate on connections that stay open."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[anyio.abc.SocketStream] = []
        self._sent = 0
        self.completed = 0
        self.events = 0

    async def run(self, load: Load, span_s: float) -> None:
        """Send streams for a time, and wait for their ends."""
        began_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(int(load.streams_per_s * span_s)):
                due_s = began_s + number / load.streams_per_s
                await anyio.sleep(max(0.0, due_s - anyio.current_time()))
                tasks.start_soon(self._request)
            await anyio.sleep(max(0.0, began_s + span_s - anyio.current_time()))

    async def _request(self) -> None:
        self._sent += 1
        number = self._sent
        if self._idle:
            stream = self._idle.pop()
        else:
            stream = await anyio.connect_tcp("127.0.0.1", self._port)
        await stream.send(_REQUEST % (number, number % 80, number))
        tail = b""
        while not tail.endswith(b"\r\n0\r\n\r\n"):
            data = await stream.receive()
            self.events += data.count(b"data:")
            tail = (tail + data)[-16:]
        self.completed += 1
        self._idle.append(stream)


@contextlib.contextmanager
def _router(store_port: int, caller_port: int) -> Iterator[subprocess.Popen[bytes]]:
    """Run a router as a process."""
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "router.ini"
        settings.write_text(
            "[process]\nvm = vm-1\navailability_zone = z\n"
            f"[listen]\ncallers = 127.0.0.1:{caller_port}\n"
            f"ready = 127.0.0.1:{reserve_port()}\n"
            f"peers = 127.0.0.1:{reserve_datagram_port()}\n"
            f"[store]\naddress = 127.0.0.1:{store_port}\nspread_rows = yes\n"
        )
        command = [sys.executable, "-m", "endivegw", "platform-router"]
        process = subprocess.Popen(
            [*command, "--settings", str(settings)], stdout=subprocess.DEVNULL
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def _cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _start_targets(store: PlatformStoreApp, tasks: TaskGroup) -> list[PlatformWorker]:
    workers = []
    for number in range(_ENGINES):
        name = f"e-{number}"
        worker = PlatformWorker(name, event_pause_s=_EVENT_PAUSE_S)
        target = PlatformTarget(name, "engine", worker)
        tasks.start_soon(functools.partial(target.run, slots=_SLOTS), store)
        workers.append(worker)
    return workers


async def _measure(span_s: float) -> list[Measurement]:
    store = PlatformStoreApp()
    account = {"Name": "hotel", "ApiKeys": ["key-1"], "Prepaid": _PREPAID}
    store.put("op", "config", {**CONFIGURATION, "Tenants": [account]})
    measurements = []
    async with anyio.create_task_group() as tasks:
        _, store_port = await tasks.start(serve_asgi_on_loopback, store)
        workers = _start_targets(store, tasks)
        port = reserve_port()
        with _router(store_port, port) as process:
            await anyio.sleep(_WARM_UP_S)
            callers = Callers(port)
            await callers.run(Load(10.0, 5), 1.0)
            for load in _LOADS:
                for worker in workers:
                    worker.events = load.events
                before = callers.completed, callers.events, _cpu_s(process.pid)
                began_s = anyio.current_time()
                await callers.run(load, span_s)
                took_s = anyio.current_time() - began_s
                cpu_ms = (_cpu_s(process.pid) - before[2]) * 1000.0
                measurements.append(
                    Measurement(
                        load,
                        (callers.completed - before[0]) / took_s,
                        (callers.events - before[1]) / took_s,
                        cpu_ms / took_s,
                    )
                )
        tasks.cancel_scope.cancel()
    return measurements


def _fit(measurements: list[Measurement]) -> tuple[float, float, float]:
    """Return the least-squares cost in ms of a second, a request and an event."""
    rows = [(1.0, m.requests_per_s, m.events_per_s) for m in measurements]
    costs = [m.cpu_ms_per_s for m in measurements]
    matrix = [
        [sum(row[i] * row[j] for row in rows) for j in range(3)]
        + [sum(row[i] * cost for row, cost in zip(rows, costs))]
        for i in range(3)
    ]
    for i in range(3):
        for j in range(3):
            if i != j:
                factor = matrix[j][i] / matrix[i][i]
                matrix[j] = [b - factor * a for a, b in zip(matrix[i], matrix[j])]
    idle, request, event = (matrix[i][3] / matrix[i][i] for i in range(3))
    return idle, request, event


@click.command(help=__doc__)
@click.option("--span-s", default=5.0, show_default=True, help="duration of each load")
def main(span_s: float) -> None:
    """Run the benchmark and print the results."""
    measurements = anyio.run(_measure, span_s)
    for measured in measurements:
        click.echo(
            f"{measured.requests_per_s:6.1f} requests/s {measured.events_per_s:7.1f} "
            f"events/s {measured.cpu_ms_per_s:7.1f} ms/s"
        )
    idle, request, event = _fit(measurements)
    click.echo(f"idle {idle:.1f} ms/s, request {request:.2f} ms, event {event:.3f} ms")


if __name__ == "__main__":
    main()
