"""What is observed of processes while a crowd is connected, and afterwards."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import unittest
from typing import AsyncIterator, Sequence

from attrs import define, frozen

from endivegw.dev.layout import MODEL
from tests.crowd import Crowd, ProcessUse, ask
from tests.process_fleet import ProcessFleet

__all__ = [
    "Observation",
    "Observer",
    "chat_request",
    "check_crowds",
    "check_fleet_crowd",
]

#: Memory of the machines of routers with sidecars, and of their targets.
_MEMORY_MB = 256
_SIDECAR_MEMORY_MB = 232

#: Time within which connections end whose requests cannot be served any more.
_END_TIMEOUT_S = 40.0


@define
class Observation:
    """What was observed of a process that serves a crowd.

    :ivar status: status of one ordinary answer while the crowd is connected.
    :ivar healthy: status of the health check at that time.
    :ivar status_afterwards: status of one ordinary answer once the crowd has left.
    :ivar open_clients: clients whose connection the process had not closed in the end.
    """

    alive: bool = False
    peak_mb: float = 0.0
    descriptors: int = 0
    status: int = 0
    healthy: int = 0
    status_afterwards: int = 0
    open_clients: int = 0


@frozen
class Observer:
    """Observe a process that serves crowds.

    :param ordinary: port and bytes of an ordinary request.
    :param health: port and bytes of a health check.
    """

    process: subprocess.Popen[bytes]
    ordinary: tuple[int, bytes]
    health: tuple[int, bytes]

    async def observe(self, crowds: Sequence[Crowd], wait_ends: bool) -> Observation:
        """Play crowds, and return what was observed.

        :param wait_ends: whether to wait until the process has closed all connections.
        """
        seen = Observation()
        use = ProcessUse(self.process.pid)
        watch = asyncio.create_task(use.watch())
        try:
            async with _connected(crowds) as clients:
                seen.status = await ask(*self.ordinary)
                seen.healthy = await ask(*self.health)
                if wait_ends:
                    await asyncio.wait(clients, timeout=_END_TIMEOUT_S)
                seen.open_clients = sum(not client.done() for client in clients)
            seen.status_afterwards = await ask(*self.ordinary)
        finally:
            watch.cancel()
        seen.alive = self.process.poll() is None
        seen.descriptors = use.descriptors
        if seen.alive:
            seen.peak_mb = use.peak_mb
        return seen


@contextlib.asynccontextmanager
async def _connected(
    crowds: Sequence[Crowd],
) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Connect crowds at the same time; yield their clients once all have sent."""
    clients: list[asyncio.Task[None]] = []
    done = asyncio.Event()
    connected = asyncio.Semaphore(0)

    async def play(crowd: Crowd) -> None:
        async with crowd.connected() as tasks:
            clients.extend(tasks)
            connected.release()
            await done.wait()

    async with asyncio.TaskGroup() as group:
        for crowd in crowds:
            group.create_task(play(crowd))
        for _ in crowds:
            await connected.acquire()
        try:
            yield clients
        finally:
            done.set()


def check_crowds(
    test: unittest.TestCase,
    observer: Observer,
    crowds: Sequence[Crowd],
    *,
    memory_mb: float,
    descriptors: int,
    wait_ends: bool,
) -> None:
    """Check that a process lives, stays within its machine and answers others."""
    seen = asyncio.run(observer.observe(crowds, wait_ends))
    test.assertTrue(seen.alive, seen)
    test.assertLess(seen.peak_mb, memory_mb, seen)
    test.assertLessEqual(seen.descriptors, descriptors, seen)
    test.assertEqual((seen.status, seen.healthy), (200, 200), seen)
    test.assertEqual(seen.status_afterwards, 200, seen)
    if wait_ends:
        test.assertEqual(seen.open_clients, 0, seen)


def check_fleet_crowd(
    test: unittest.TestCase,
    fleet: ProcessFleet,
    crowd: Crowd,
    *,
    wait_ends: bool = False,
    free_descriptors: int = 0,
) -> None:
    """Check a router with sidecars, and its sidecars, while a crowd is connected.

    :param free_descriptors: descriptors that the router always has left.
    """
    port = fleet.http_ports[1]
    assert fleet.router_descriptors is not None
    check_crowds(
        test,
        Observer(
            fleet.routers[1],
            ordinary=(port, chat_request(fleet.accounts[0].key, "hello")),
            health=(port, b"GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n"),
        ),
        [crowd],
        memory_mb=_MEMORY_MB,
        descriptors=fleet.router_descriptors - free_descriptors,
        wait_ends=wait_ends,
    )
    for name, process in fleet.sidecars.items():
        test.assertIsNone(process.poll(), name)
        peak_mb = ProcessUse(process.pid).peak_mb
        test.assertLess(peak_mb, _SIDECAR_MEMORY_MB, name)


def chat_request(key: str, text: str) -> bytes:
    """Return a request for a short answer of a model."""
    messages = [{"role": "user", "content": text}]
    document = {"model": MODEL, "messages": messages, "max_tokens": 20}
    body = json.dumps(document).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n"
        b"authorization: Bearer %b\r\ncontent-length: %d\r\n\r\n%b"
        % (key.encode(), len(body), body)
    )
