"""Clients that do not behave, at the listeners between routers and sidecars."""

from __future__ import annotations

import struct
import unittest
from typing import AsyncIterator

from h2.config import H2Configuration
from h2.connection import H2Connection

from endivegw.dev.layout import router_address, target_address
from tests.crowd import KIB, Crowd, Pieces
from tests.crowd_observation import check_fleet_crowd
from tests.process_fleet import process_fleet

#: Descriptors of a router's machine, and those that it needs for its callers.
_DESCRIPTORS = 400
_FREE_DESCRIPTORS = 100

_SPAN_S = 8.0

#: Calls of one connection, and bytes that are sent of each.
_CALLS = 15
_CALL_BYTES = 240 * KIB

_FRAME_BYTES = 16 * KIB

#: Head of a frame of HTTP/2: its size in two parts, its type, its flags and its stream.
_FRAME_HEAD = struct.Struct(">BHBBL")

#: Types of frames (RFC 9113, section 6).
_DATA, _HEADERS, _CONTINUATION = 0, 1, 9


def _frame(kind: int, call: int, data: bytes) -> bytes:
    size = len(data)
    return _FRAME_HEAD.pack(size >> 16, size & 0xFFFF, kind, 0, call) + data


def _start(service: str) -> bytes:
    """Return the beginning of a connection with unfinished calls."""
    connection = H2Connection(H2Configuration(client_side=True))
    connection.initiate_connection()
    for number in range(_CALLS):
        connection.send_headers(
            2 * number + 1,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", f"/endivegw.peers.v1.{service}"),
                (":authority", "peer"),
                ("te", "trailers"),
                ("content-type", "application/grpc+proto"),
            ],
        )
    return connection.data_to_send()


def _unfinished_calls(service: str) -> Pieces:
    """Return calls without credentials whose only message never ends."""

    async def pieces() -> AsyncIterator[bytes]:
        yield _start(service)
        # The message announces more than is sent.
        first = struct.pack(">BL", 0, 2 * _CALL_BYTES)
        for number in range(_CALLS):
            yield _frame(_DATA, 2 * number + 1, first)
        for _ in range(_CALL_BYTES // _FRAME_BYTES):
            for number in range(_CALLS):
                yield _frame(_DATA, 2 * number + 1, b"x" * _FRAME_BYTES)

    return pieces


async def _endless_head() -> AsyncIterator[bytes]:
    """Yield the head of a call that goes on and on."""
    connection = H2Connection(H2Configuration(client_side=True))
    connection.initiate_connection()
    yield connection.data_to_send()
    yield _frame(_HEADERS, 1, b"")
    while True:
        yield _frame(_CONTINUATION, 1, b"\x00" * _FRAME_BYTES)


async def _nothing() -> AsyncIterator[bytes]:
    for piece in ():
        yield piece


class PeerCrowdTests(unittest.TestCase):
    """The processes live, stay within their machines and answer a caller."""

    def _check(self, host: str, clients: int, pieces: Pieces) -> None:
        with process_fleet(routers=1, router_descriptors=_DESCRIPTORS) as fleet:
            crowd = Crowd(fleet.peer_port, clients, _SPAN_S, pieces, host=host)
            check_fleet_crowd(self, fleet, crowd, free_descriptors=_FREE_DESCRIPTORS)

    # Guards against messages that are received for calls without credentials.
    def test_unfinished_calls_of_a_sidecar(self) -> None:
        self._check(target_address(1), 200, _unfinished_calls("Sidecar/Execute"))

    # Guards against messages that are received for calls without credentials.
    def test_unfinished_calls_of_a_router(self) -> None:
        self._check(router_address(1), 200, _unfinished_calls("Router/Heartbeat"))

    # Guards against heads without an end that are collected.
    def test_endless_heads(self) -> None:
        for host in (target_address(1), router_address(1)):
            with self.subTest(host=host):
                self._check(host, 100, _endless_head)

    # Guards against connections without a call that take all descriptors.
    def test_more_connections_than_descriptors(self) -> None:
        self._check(router_address(1), 1000, _nothing)


if __name__ == "__main__":
    unittest.main()
