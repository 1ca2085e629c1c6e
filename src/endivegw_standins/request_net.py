"""In-memory connections to sidecars that lose, delay, duplicate and break calls.

The sidecar is the production code. This module replaces the network and the machine,
so that hours with faults run in virtual time.
"""

from __future__ import annotations

import random
from typing import Any, AsyncIterator, Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.slot_claim_service import SlotClaimService
from endivegw.peers import NotDelivered, OutcomeUnknown
from endivegw.peers._generated import endivegw_peers_pb2 as pb

__all__ = ["FaultyClient", "Host", "NetFaults"]

_MAX_FRAMES_IN_FLIGHT = 64


@define
class NetFaults:
    """Faults between routers and sidecars, which may be changed at any time.

    :ivar lose_order: share of orders whose connection breaks while they are sent.
    :ivar arrive_late: share of these that still arrive, up to ``late_by_s`` later.
    :ivar duplicate_order: share of orders that arrive a second time.
    :ivar break_stream: share of answers whose stream breaks.
    :ivar lose_call: share of other calls whose request or reply is lost.
    :ivar latency_s: mean latency of a message in seconds.
    :ivar late_by_s: maximum delay of a late order in seconds.
    """

    lose_order: float = 0.0
    arrive_late: float = 0.5
    duplicate_order: float = 0.0
    break_stream: float = 0.0
    lose_call: float = 0.0
    latency_s: float = 0.001
    late_by_s: float = 60.0


@define(eq=False)
class Host:
    """A machine beside a target, and the process that currently runs on it."""

    vm: str
    target: str
    address: str
    process: Sidecar | None = None
    claim_service: SlotClaimService | None = None
    scope: anyio.CancelScope | None = None
    tasks: TaskGroup | None = None
    listed: bool = True
    instances: int = 0


class _Call:
    """The server side of one call's stream."""

    def __init__(self, message: Any) -> None:
        self._message = message
        sender, receiver = anyio.create_memory_object_stream[Any](_MAX_FRAMES_IN_FLIGHT)
        self.sender = sender
        self.receiver = receiver

    async def recv_message(self) -> Any:
        message, self._message = self._message, None
        return message

    async def __aiter__(self) -> AsyncIterator[Any]:
        message = await self.recv_message()
        if message is not None:
            yield message

    async def send_message(self, message: Any) -> None:
        await self.sender.send(message)


@define
class FaultyClient:
    """Call one host as :class:`endivegw.peers.SidecarClient` does."""

    host: Host
    faults: NetFaults
    rng: random.Random
    background: TaskGroup
    late_orders: int = field(default=0, init=False)

    async def execute(
        self,
        start: pb.ExecuteStart,
        body: AsyncIterator[bytes] | None = None,
        before_send: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncIterator[pb.Frame]:
        """Send an order and yield its frames, with the configured network faults."""
        await self._latency()
        if self.host.tasks is None:
            raise NotDelivered("connection refused")
        if before_send is not None:
            await before_send()
        message = pb.ExecuteMessage()
        message.start.CopyFrom(start)
        if self._happens(self.faults.lose_order):
            if self._happens(self.faults.arrive_late):
                self.background.start_soon(self._arrive_late, message)
            raise OutcomeUnknown("connection reset")
        if self._happens(self.faults.duplicate_order):
            self.background.start_soon(self._arrive_late, message)
        frames_until_break = self._frames_until_break()
        async for frame in self._answer(message):
            await self._latency()
            yield frame
            frames_until_break -= 1
            if frames_until_break == 0:
                raise OutcomeUnknown("connection reset")
            if frame.WhichOneof("kind") in ("end", "failed", "refused"):
                return
        raise OutcomeUnknown("connection reset")

    async def cancel(self, request: Any, timeout_s: float) -> Any:
        """Call Cancel."""
        return await self._unary("Cancel", request, timeout_s)

    async def claim(self, request: Any, timeout_s: float) -> Any:
        """Call Claim."""
        return await self._unary("Claim", request, timeout_s)

    async def heartbeat(self, request: Any, timeout_s: float) -> Any:
        """Call Heartbeat."""
        return await self._unary("Heartbeat", request, timeout_s)

    def close(self) -> None:
        """Do nothing; there is no connection."""

    async def _answer(self, message: Any) -> AsyncIterator[pb.Frame]:
        process, tasks = self.host.process, self.host.tasks
        if process is None or tasks is None:
            raise OutcomeUnknown("sidecar process has exited")
        call = _Call(message)
        scope = anyio.CancelScope()
        tasks.start_soon(_serve, process.Execute, call, scope)
        try:
            async with call.receiver:
                async for frame in call.receiver:
                    yield frame
        finally:
            scope.cancel()

    async def _unary(self, name: str, request: Any, timeout_s: float) -> Any:
        await self._latency()
        process, tasks = self.host.process, self.host.tasks
        if process is None or tasks is None:
            raise NotDelivered("connection refused")
        lost = self._happens(self.faults.lose_call)
        if lost and self._happens(0.5):
            await anyio.sleep(timeout_s)
            raise OutcomeUnknown(f"{name} request lost")
        call = _Call(request)
        tasks.start_soon(_serve, getattr(process, name), call, anyio.CancelScope())
        with anyio.move_on_after(timeout_s):
            async for reply in call.receiver:
                if not lost:
                    await self._latency()
                    return reply
        raise OutcomeUnknown(f"{name} reply lost")

    async def _arrive_late(self, message: Any) -> None:
        await anyio.sleep(self.rng.uniform(0.0, self.faults.late_by_s))
        self.late_orders += 1
        try:
            async for _ in self._answer(message):
                pass
        except OutcomeUnknown:
            pass

    def _frames_until_break(self) -> int:
        if not self._happens(self.faults.break_stream):
            return -1
        return self.rng.randint(1, 4)

    def _happens(self, share: float) -> bool:
        return share > 0.0 and self.rng.random() < share

    async def _latency(self) -> None:
        await anyio.sleep(self.faults.latency_s * (0.5 + self.rng.random()))


async def _serve(handler: Any, call: _Call, scope: anyio.CancelScope) -> None:
    with scope:
        async with call.sender:
            try:
                await handler(call)
            except anyio.BrokenResourceError:
                # The reader disconnected in the middle of the answer.
                pass
