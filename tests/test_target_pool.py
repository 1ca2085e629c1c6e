"""Tests of pooled connections to targets, over sockets."""

from __future__ import annotations

import contextlib
import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.relay.target_connection import OutgoingRequest
from endivegw.relay.target_pool import PoolLimits, TargetPool

_REQUEST = OutgoingRequest(b"GET", b"/x", [(b"host", b"t")], b"")
_CONNECTIONS = 8
_LIMITS = PoolLimits(max_idle_s=4.0)


async def answer(stream: SocketStream) -> None:
    """Answer each request on a connection."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")


async def use_target(pool: TargetPool) -> None:
    """Use several connections to a target, which then ends."""
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, answer)
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        connections = [await pool.acquire(address, False) for _ in range(_CONNECTIONS)]
        for connection in connections:
            await connection.send_request(_REQUEST, lambda status, fields: True)
            assert await connection.body() is None
            await pool.release(connection)
        tasks.cancel_scope.cancel()


class IdleConnectionTests(unittest.TestCase):
    """Idle connections are closed once they cannot be reused."""

    # Guards against descriptors that targets leave behind when they are replaced.
    def test_connections_to_targets_that_are_gone_are_closed(self) -> None:
        counts: list[int] = []

        async def scenario() -> None:
            now_s = [0.0]
            pool = TargetPool(lambda: now_s[0], _LIMITS)
            for _ in range(3):
                await use_target(pool)
            counts.append(pool.meter.open_connections)
            await pool.sweep()
            counts.append(pool.meter.open_connections)
            now_s[0] = _LIMITS.max_idle_s + 0.1
            await pool.sweep()
            await anyio.sleep(0.01)
            counts.append(pool.meter.open_connections)

        anyio.run(scenario)
        self.assertEqual(counts, [3 * _CONNECTIONS, 3 * _CONNECTIONS, 0])


class ProbeTests(unittest.TestCase):
    """Requests that show whether a target responds."""

    # Guards against a connection for each stream of a target that is paused.
    def test_probes_of_one_target_share_a_connection(self) -> None:
        accepted: list[SocketStream] = []
        resumed = anyio.Event()

        async def pause(stream: SocketStream) -> None:
            accepted.append(stream)
            await resumed.wait()
            await answer(stream)

        async def scenario() -> list[bool]:
            found: list[bool] = []
            pool = TargetPool(lambda: 0.0, _LIMITS)

            async def probe() -> None:
                found.append(await pool.probe(address, b"/x"))

            async with (
                await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(listener.serve, pause)
                address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
                with anyio.fail_after(10.0):
                    async with anyio.create_task_group() as probes:
                        for _ in range(_CONNECTIONS):
                            probes.start_soon(probe)
                        await anyio.sleep(0.1)
                        resumed.set()
                tasks.cancel_scope.cancel()
            await pool.close()
            return found

        self.assertEqual(anyio.run(scenario), [True] * _CONNECTIONS)
        self.assertEqual(len(accepted), 1)

    def test_a_target_that_refuses_connections_does_not_respond(self) -> None:
        """Nobody listens at the address."""

        async def scenario() -> bool:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            await listener.aclose()
            return await TargetPool(lambda: 0.0, _LIMITS).probe(address, b"/x")

        self.assertFalse(anyio.run(scenario))


if __name__ == "__main__":
    unittest.main()
