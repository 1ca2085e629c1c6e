"""Deadlines of requests that wait before a router in front of sidecars reads them."""

from __future__ import annotations

import threading
import unittest
from typing import Any
from unittest import mock

import anyio
from grpclib.client import Stream

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw_standins.service_app import ServiceApp
from tests.test_disconnects_sidecars import (
    build_service,
    connect_to_router,
    holding_fleet,
)

_TIMEOUT_S = 10.0

#: Resolution of the kernel's times.
_KERNEL_CLOCK_TICK_S = 0.01


class ArrivalTests(unittest.TestCase):
    """
    A request lies unread for a second. Its deadline must not start only when the router
    reads it, or targets get time that the caller no longer has.
    """

    def test_deadline_starts_at_the_arrival(self) -> None:
        """The sidecar receives what is left of three seconds."""
        remaining_s: list[float] = []
        send_message = Stream.send_message

        async def record(self_: Any, message: Any, *, end: bool = False) -> None:
            if isinstance(message, pb.ExecuteMessage) and message.HasField("start"):
                remaining_s.append(message.start.remaining_s)
            await send_message(self_, message, end=end)

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                fields = {"endivegw_deadline_s": "3"}
                request = build_service(fleet, "status/1", b"unread", **fields)
                connection = await anyio.to_thread.run_sync(connect_to_router, fleet)

                def act() -> None:
                    connection.sendall(request)
                    threading.Event().wait(1.0)

                with mock.patch.object(Stream, "send_message", record):
                    thread = threading.Thread(target=act)
                    thread.start()
                    thread.join()
                    await anyio.to_thread.run_sync(connection.recv, 12)
                connection.close()

        anyio.run(scenario)
        self.assertEqual(len(remaining_s), 1)
        self.assertLessEqual(remaining_s[0], 2.0 + _KERNEL_CLOCK_TICK_S)

    def test_deadline_of_a_pipelined_request_starts_at_its_arrival(self) -> None:
        """A request waits for a second behind another one of its connection."""
        remaining_s: list[float] = []
        send_message = Stream.send_message
        call = ServiceApp.__call__

        async def record(self_: Any, message: Any, *, end: bool = False) -> None:
            if isinstance(message, pb.ExecuteMessage) and message.HasField("start"):
                remaining_s.append(message.start.remaining_s)
            await send_message(self_, message, end=end)

        async def slow(self_: Any, scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "http":
                await anyio.sleep(1.0)
            await call(self_, scope, receive, send)

        async def scenario() -> None:
            async with holding_fleet() as fleet:
                fields = {"endivegw_deadline_s": "3"}
                requests = b"".join(
                    build_service(fleet, "status/1", body, **fields)
                    for body in (b"first", b"second")
                )
                connection = await anyio.to_thread.run_sync(connect_to_router, fleet)
                with (
                    mock.patch.object(Stream, "send_message", record),
                    mock.patch.object(ServiceApp, "__call__", slow),
                ):
                    await anyio.to_thread.run_sync(connection.sendall, requests)
                    with anyio.move_on_after(_TIMEOUT_S):
                        while len(remaining_s) < 2:
                            await anyio.sleep(0.02)
                connection.close()

        anyio.run(scenario)
        self.assertEqual(len(remaining_s), 2)
        self.assertLessEqual(remaining_s[1], 2.0 + _KERNEL_CLOCK_TICK_S)


if __name__ == "__main__":
    unittest.main()
