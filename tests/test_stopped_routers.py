"""Callers that disconnect while the processes of all routers are stopped."""

from __future__ import annotations

import socket
import time
import unittest
from typing import Callable

from tests.process_fleet import ProcessFleet, process_fleet
from tests.test_disconnects_sidecars import (
    build_chat,
    build_service,
    count_starts,
)

_TIMEOUT_S = 20.0
_ROUTERS = (1, 2)

#: More than a router buffers, so that it streams the body to the sidecar.
_STREAMED_BYTES = 300 * 1024

#: Time for what the kernel accepts, and for what would start after the stop.
_DELIVERY_S = 0.3
_START_S = 2.0

#: Builders of the requests: every kind that a router sends to sidecars.
_KINDS: tuple[Callable[[ProcessFleet, int], bytes], ...] = (
    lambda fleet, n: build_chat(fleet, f"c{n} len=200", False),
    lambda fleet, n: build_chat(fleet, f"s{n} len=200", True),
    lambda fleet, n: build_chat(fleet, f"k{n} len=200", False, idempotency_key=f"k{n}"),
    lambda fleet, n: build_service(fleet, "status/1", b"x%d" % n),
    lambda fleet, n: build_service(fleet, "notices", b"n", idempotency_key=f"n{n}"),
    lambda fleet, n: build_service(fleet, "status/2", b"b" * _STREAMED_BYTES),
)


def _connect(fleet: ProcessFleet, router: int) -> socket.socket:
    address = ("127.0.0.1", fleet.http_ports[router])
    return socket.create_connection(address, timeout=_TIMEOUT_S)


def _exchange(fleet: ProcessFleet, router: int, request: bytes) -> None:
    with _connect(fleet, router) as connection:
        connection.sendall(request)
        connection.recv(12)


class StoppedRouterTests(unittest.TestCase):
    """
    Routers are stopped while callers send requests and disconnect. A router that runs
    again must not send these requests to targets.
    """

    def test_no_request_starts_after_its_caller_left(self) -> None:
        """Four callers of each kind, on connections that were open before."""
        with process_fleet(routers=len(_ROUTERS)) as fleet:
            for router in _ROUTERS:
                # Opens the connections to the sidecars.
                for number in range(6):
                    request = build_chat(fleet, f"warm {router} {number} len=5", False)
                    _exchange(fleet, router, request)
                _exchange(fleet, router, build_service(fleet, "status/1", b"warm"))
            callers = [
                (_connect(fleet, router), build(fleet, 10 * router + number))
                for build in _KINDS
                for router in _ROUTERS
                for number in range(2)
            ]
            time.sleep(_DELIVERY_S)
            before = count_starts(fleet)
            for router in _ROUTERS:
                fleet.pause(router)
            for connection, request in callers:
                # The kernel takes what it has room for.
                connection.setblocking(False)
                connection.send(request)
            time.sleep(_DELIVERY_S)
            for connection, _ in callers:
                connection.close()
            time.sleep(_DELIVERY_S)
            for router in _ROUTERS:
                fleet.resume(router)
            for router in _ROUTERS:
                fleet.wait_ready(router)
            time.sleep(_START_S)
            self.assertEqual(count_starts(fleet), before)


if __name__ == "__main__":
    unittest.main()
