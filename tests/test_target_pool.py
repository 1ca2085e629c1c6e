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


if __name__ == "__main__":
    unittest.main()
