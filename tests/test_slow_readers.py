"""Peers that do not read what a router sends them."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from endivegw.capacity import RouterCapacity
from endivegw.daemons.capacity_watch import CapacityWatch
from endivegw.tcp_stream import TcpStream, TrafficMeter, connect_tcp, serve_tcp
from endivegw.telemetry import EventLog
from endivegw_standins.ports import reserve_port

_READERS = 40
_CHUNK = 262_144 * b"x"

#: A fifth of 5 MB may be held.
_CAPACITY = RouterCapacity(memory_mb=5.0)
_LIMIT_BYTES = 1_000_000
_TIMEOUT_S = 10.0

#: Answers that exceed a fifth of the memory together, and not alone; the kernel takes a
#: few MB of each.
_LARGE_BYTES = 16_000_000
_LARGE_CAPACITY = RouterCapacity(memory_mb=100.0)


class SlowReaderTests(unittest.TestCase):
    """Many callers open a stream and read nothing of it."""

    # Guards against a process that grows with its slow readers until it is killed.
    def test_slowest_readers_are_closed_and_others_are_served(self) -> None:
        async def scenario() -> None:
            meter = TrafficMeter()
            sending: list[TcpStream] = []
            accepted = 0

            async def send_for_ever(stream: TcpStream) -> None:
                nonlocal accepted
                accepted += 1
                sending.append(stream)
                with contextlib.suppress(
                    anyio.BrokenResourceError, anyio.ClosedResourceError
                ):
                    while True:
                        await stream.send(_CHUNK)
                sending.remove(stream)

            log = EventLog("router", vm="vm")
            watch = CapacityWatch("vm", _CAPACITY, list, meter, anyio.current_time, log)
            port = reserve_port()
            async with anyio.create_task_group() as tasks:

                async def listen() -> None:
                    await serve_tcp(
                        send_for_ever,
                        "127.0.0.1",
                        port,
                        backlog=64,
                        tasks=tasks,
                        meter=meter,
                    )

                tasks.start_soon(listen)
                tasks.start_soon(watch.run)
                await anyio.sleep(0.05)
                readers = [
                    await connect_tcp("127.0.0.1", port) for _ in range(_READERS)
                ]
                with anyio.fail_after(_TIMEOUT_S):
                    while accepted < _READERS:
                        await anyio.sleep(0.01)
                    while len(sending) == _READERS or meter.held_bytes > _LIMIT_BYTES:
                        await anyio.sleep(0.05)
                self.assertGreater(len(sending), 2)
                with anyio.fail_after(_TIMEOUT_S):
                    served = await readers[-1].receive()
                self.assertTrue(served)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    def test_what_is_held_is_counted_until_it_is_read(self) -> None:
        async def scenario() -> None:
            meter = TrafficMeter()
            port = reserve_port()
            accepted: list[TcpStream] = []

            async def keep(stream: TcpStream) -> None:
                accepted.append(stream)

            async with anyio.create_task_group() as tasks:

                async def listen() -> None:
                    await serve_tcp(
                        keep, "127.0.0.1", port, backlog=8, tasks=tasks, meter=meter
                    )

                tasks.start_soon(listen)
                await anyio.sleep(0.05)
                client = await connect_tcp("127.0.0.1", port)
                await client.send(b"hello")
                with anyio.fail_after(_TIMEOUT_S):
                    while meter.held_bytes < 5:
                        await anyio.sleep(0.01)
                self.assertEqual(await accepted[0].receive(), b"hello")
                self.assertEqual(meter.held_bytes, 0)
                await client.send(b"unread")
                with anyio.fail_after(_TIMEOUT_S):
                    while meter.held_bytes < 6:
                        await anyio.sleep(0.01)
                await accepted[0].aclose()
                self.assertEqual(meter.held_bytes, 0)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    # Guards against a caller that reads a large answer closed before one that does not.
    def test_a_caller_that_reads_is_not_closed(self) -> None:
        async def scenario() -> None:
            meter = TrafficMeter()
            log = EventLog("router", vm="vm")
            watch = CapacityWatch(
                "vm", _LARGE_CAPACITY, list, meter, anyio.current_time, log
            )
            accepted: list[TcpStream] = []
            closed: list[TcpStream] = []
            port = reserve_port()

            async def send(stream: TcpStream) -> None:
                accepted.append(stream)
                try:
                    await stream.send(b"x" * _LARGE_BYTES)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    closed.append(stream)

            def unsent_bytes() -> int:
                transport = accepted[0]._transport
                assert transport is not None
                return transport.get_write_buffer_size()

            async with anyio.create_task_group() as tasks:

                async def listen() -> None:
                    await serve_tcp(
                        send, "127.0.0.1", port, backlog=8, tasks=tasks, meter=meter
                    )

                tasks.start_soon(listen)
                await anyio.sleep(0.05)
                reader = await connect_tcp("127.0.0.1", port)
                with anyio.fail_after(_TIMEOUT_S):
                    while not meter.blocked:
                        await anyio.sleep(0.01)
                    # Each connection is kept open by its variable.
                    idle = [await connect_tcp("127.0.0.1", port) for _ in range(3)]
                    while len(meter.blocked) <= len(idle):
                        await anyio.sleep(0.01)
                    held_bytes = unsent_bytes()
                    while unsent_bytes() == held_bytes:
                        await reader.receive()
                    tasks.start_soon(watch.run)
                    while not closed:
                        await anyio.sleep(0.01)
                self.assertNotIn(accepted[0], closed)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
