"""Clients that exceed limits or leave requests open, at a router with sidecars."""

from __future__ import annotations

import unittest
from typing import AsyncIterator

from tests.crowd import (
    KIB,
    MIB,
    Crowd,
    Pieces,
    chunk,
    open_chunks,
    repeat,
    tiny_chunks,
    trickle,
)
from tests.crowd_observation import chat_request, check_fleet_crowd
from tests.process_fleet import process_fleet

#: Descriptors of the router's machine, and its limit on bodies.
_DESCRIPTORS = 400
_BODY_BYTES = 2 * MIB

#: What is left of a body that stops short of its end.
_REST_BYTES = KIB

#: Time for which a crowd sends, unless it has sent everything before.
_SPAN_S = 8.0

_CHUNKED = b"transfer-encoding: chunked\r\n"


def _head(key: str, fields: bytes) -> bytes:
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n"
        b"authorization: Bearer %b\r\n%b\r\n" % (key.encode(), fields)
    )


def _length(size: int) -> bytes:
    return b"content-length: %d\r\n" % size


def _open_length(key: str) -> Pieces:
    async def pieces() -> AsyncIterator[bytes]:
        yield _head(key, _length(_BODY_BYTES))
        yield b"x" * (_BODY_BYTES - _REST_BYTES)

    return pieces


def _whole_bodies(key: str) -> Pieces:
    request = chat_request(key, "x" * (_BODY_BYTES - KIB))

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(3):
            yield request

    return pieces


def _pipelined(key: str) -> Pieces:
    request = chat_request(key, "hello")

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(40):
            yield request * 100

    return pieces


async def _nothing() -> AsyncIterator[bytes]:
    for piece in ():
        yield piece


class CrowdTests(unittest.TestCase):
    """The process lives, stays within its machine and answers an ordinary caller."""

    def _check(
        self,
        clients: int,
        pieces: Pieces | str,
        *,
        span_s: float = _SPAN_S,
        wait_ends: bool = False,
    ) -> None:
        with process_fleet(routers=1, router_descriptors=_DESCRIPTORS) as fleet:
            key = fleet.accounts[1].key
            made = _FORMS[pieces](key) if isinstance(pieces, str) else pieces
            crowd = Crowd(fleet.http_ports[1], clients, span_s, made)
            check_fleet_crowd(self, fleet, crowd, wait_ends=wait_ends)

    # Guards against a process that holds an unfinished body for each connection.
    def test_chunked_bodies_that_stop_short_of_their_end(self) -> None:
        self._check(200, "open chunks")

    # Guards against a process that holds an unfinished body for each connection.
    def test_bodies_with_a_length_that_stop_short_of_it(self) -> None:
        self._check(200, "open length")

    # Guards against an event loop that parses the chunks of one connection for long.
    def test_bodies_in_chunks_of_one_byte(self) -> None:
        self._check(100, "tiny chunks")

    # Guards against whole bodies that wait for targets and add up.
    def test_whole_bodies_again_and_again(self) -> None:
        self._check(200, "whole bodies")

    # Guards against requests that are parsed long before they can be answered.
    def test_pipelined_requests(self) -> None:
        self._check(60, "pipelined")

    # Guards against ordinary requests that are refused for connections without one.
    def test_more_connections_than_descriptors(self) -> None:
        self._check(1000, _nothing)

    # Guards against connections without any request that stay open for ever.
    def test_connections_without_a_request(self) -> None:
        self._check(50, _nothing, span_s=1.0, wait_ends=True)

    # Guards against heads that are never complete and stay open for ever.
    def test_heads_that_stop_short_of_their_end(self) -> None:
        self._check(50, "open head", span_s=1.0, wait_ends=True)

    # Guards against connections that a few bytes now and then hold for ever.
    def test_bodies_of_a_few_bytes_now_and_then(self) -> None:
        self._check(50, "trickle", span_s=1.0, wait_ends=True)

    # Guards against a refused body that is read for ever.
    def test_bodies_without_a_valid_key_that_go_on(self) -> None:
        head = _head("unknown", _CHUNKED)
        self._check(
            20, repeat(head, chunk(b"x" * (64 * KIB))), span_s=2.0, wait_ends=True
        )

    # Guards against a refused body that is read for ever.
    def test_bodies_that_announce_more_than_the_limit(self) -> None:
        self._check(20, "announced", span_s=2.0, wait_ends=True)

    # Guards against a refused body that is read for ever.
    def test_chunked_bodies_that_go_on_beyond_the_limit(self) -> None:
        self._check(20, "endless", span_s=2.0, wait_ends=True)


_FORMS = {
    "open chunks": lambda key: open_chunks(
        _head(key, _CHUNKED), _BODY_BYTES - _REST_BYTES
    ),
    "open length": _open_length,
    "tiny chunks": lambda key: tiny_chunks(_head(key, _CHUNKED), _BODY_BYTES // 4),
    "whole bodies": _whole_bodies,
    "pipelined": _pipelined,
    "open head": lambda key: trickle(_head(key, b"")[:-4], b"", 60.0),
    "trickle": lambda key: trickle(
        _head(key, _CHUNKED + b"endivegw-deadline-s: 2\r\n"), chunk(b"x"), 0.2
    ),
    "announced": lambda key: repeat(_head(key, _length(10**11)), b"x" * (64 * KIB)),
    "endless": lambda key: repeat(_head(key, _CHUNKED), chunk(b"x" * (64 * KIB))),
}


if __name__ == "__main__":
    unittest.main()
