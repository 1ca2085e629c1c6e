"""Clients that exceed limits or leave requests open, at a direct router's process."""

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
from tests.crowd_observation import Observer, check_crowds
from tests.router_process import RouterProcess, router_process

#: Limits of the router's machine and of requests.
_MEMORY_MB = 128
_DESCRIPTORS = 400
_BODY_BYTES = MIB

#: What is left of a body that stops short of its end.
_REST_BYTES = KIB

#: Time for which a crowd sends, unless it has sent everything before.
_SPAN_S = 8.0


def _head(route: str = "notice", fields: bytes = b"", key: bytes = b"key-1") -> bytes:
    return (
        b"POST /%b/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %b\r\n"
        b"endivegw-attempt-id: a-1\r\n%b\r\n" % (route.encode(), key, fields)
    )


_CHUNKED = b"transfer-encoding: chunked\r\n"
_ORDINARY = _head(fields=b"content-length: 5\r\n") + b"hello"
_READY = b"GET /ready HTTP/1.1\r\nhost: r\r\n\r\n"


def _open_length() -> Pieces:
    head = _head(fields=b"content-length: %d\r\n" % _BODY_BYTES)

    async def pieces() -> AsyncIterator[bytes]:
        yield head
        yield b"x" * (_BODY_BYTES - _REST_BYTES)

    return pieces


def _whole_bodies() -> Pieces:
    head = _head(fields=b"content-length: %d\r\n" % _BODY_BYTES)

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(3):
            yield head
            yield b"x" * _BODY_BYTES

    return pieces


def _body_behind_a_stream() -> Pieces:
    stream = _head("chat", b"content-length: 5\r\nendivegw-token-counts: 5,100\r\n")
    behind = open_chunks(_head(fields=_CHUNKED), _BODY_BYTES - _REST_BYTES)

    async def pieces() -> AsyncIterator[bytes]:
        yield stream + b"hello"
        async for piece in behind():
            yield piece

    return pieces


async def _nothing() -> AsyncIterator[bytes]:
    for piece in ():
        yield piece


class CrowdTests(unittest.TestCase):
    """The process lives, stays within its machine and answers an ordinary caller."""

    def _router(self, **changes: int | float) -> RouterProcess:
        settings = {"memory_mb": _MEMORY_MB, "descriptors": _DESCRIPTORS, **changes}
        return RouterProcess(limits={"MaxBodyBytes": _BODY_BYTES}, **settings)

    def _check(
        self, router: RouterProcess, *crowds: Crowd, wait_ends: bool = False
    ) -> None:
        with router_process(router):
            check_crowds(
                self,
                Observer(
                    router.running,
                    ordinary=(router.port, _ORDINARY),
                    health=(router.ready_port, _READY),
                ),
                crowds,
                memory_mb=router.memory_mb,
                descriptors=router.descriptors,
                wait_ends=wait_ends,
            )

    # Guards against a process that holds an unfinished body for each connection.
    def test_chunked_bodies_that_stop_short_of_their_end(self) -> None:
        router = self._router()
        pieces = open_chunks(_head(fields=_CHUNKED), _BODY_BYTES - _REST_BYTES)
        self._check(router, Crowd(router.port, 200, _SPAN_S, pieces))

    # Guards against a process that holds an unfinished body for each connection.
    def test_bodies_with_a_length_that_stop_short_of_it(self) -> None:
        router = self._router()
        self._check(router, Crowd(router.port, 200, _SPAN_S, _open_length()))

    # Guards against bodies that are read for requests that cannot be served.
    def test_bodies_without_a_valid_key(self) -> None:
        router = self._router()
        head = _head(fields=_CHUNKED, key=b"unknown")
        pieces = open_chunks(head, _BODY_BYTES - _REST_BYTES)
        self._check(router, Crowd(router.port, 200, _SPAN_S, pieces))

    # Guards against bodies for other listeners than the callers', without any limit.
    def test_bodies_at_the_readiness_listener(self) -> None:
        router = self._router()
        head = b"GET /ready HTTP/1.1\r\nhost: r\r\ntransfer-encoding: chunked\r\n\r\n"
        pieces = open_chunks(head, _BODY_BYTES - _REST_BYTES)
        self._check(router, Crowd(router.ready_port, 200, _SPAN_S, pieces))

    # Guards against an event loop that parses the chunks of one connection for long.
    def test_bodies_in_chunks_of_one_byte(self) -> None:
        router = self._router()
        pieces = tiny_chunks(_head(fields=_CHUNKED), _BODY_BYTES // 2)
        self._check(router, Crowd(router.port, 60, _SPAN_S, pieces))

    # Guards against whole bodies that wait for targets and add up.
    def test_whole_bodies_again_and_again(self) -> None:
        router = self._router()
        crowd = Crowd(router.port, 200, _SPAN_S, _whole_bodies(), rounds=3)
        self._check(router, crowd)

    # Guards against input that is read ahead while a stream is in progress.
    def test_bodies_behind_streams_in_progress(self) -> None:
        router = self._router(descriptors=2000, slots=600, events=60, event_pause_s=0.5)
        crowd = Crowd(router.port, 500, _SPAN_S, _body_behind_a_stream())
        self._check(router, crowd)

    # Guards against a process that buffers what it refused.
    def test_bodies_that_announce_more_than_the_limit(self) -> None:
        router = self._router()
        head = _head(fields=b"content-length: 100000000000\r\n")
        pieces = repeat(head, b"x" * (64 * KIB))
        self._check(router, Crowd(router.port, 100, _SPAN_S, pieces, rounds=40))

    # Guards against a process that buffers what it refused.
    def test_chunked_bodies_that_go_on_beyond_the_limit(self) -> None:
        router = self._router()
        pieces = repeat(_head(fields=_CHUNKED), chunk(b"x" * (64 * KIB)))
        self._check(router, Crowd(router.port, 100, _SPAN_S, pieces, rounds=40))

    # Guards against ordinary requests that are refused for connections without one.
    def test_more_connections_than_descriptors(self) -> None:
        router = self._router()
        self._check(router, Crowd(router.port, 1000, _SPAN_S, _nothing))

    # Guards against connections that a few bytes now and then hold for ever.
    def test_bodies_of_a_few_bytes_now_and_then(self) -> None:
        router = self._router()
        head = _head(fields=_CHUNKED + b"endivegw-deadline-ms: 2000\r\n")
        crowd = Crowd(router.port, 50, 1.0, trickle(head, chunk(b"x"), 0.2))
        self._check(router, crowd, wait_ends=True)

    # Guards against kinds of buffers that are each bounded and add up together.
    def test_unfinished_whole_and_read_ahead_bodies_together(self) -> None:
        router = self._router(descriptors=2000, slots=600, events=60, event_pause_s=0.5)
        unfinished = open_chunks(_head(fields=_CHUNKED), _BODY_BYTES - _REST_BYTES)
        self._check(
            router,
            Crowd(router.port, 60, _SPAN_S, unfinished),
            Crowd(router.port, 60, _SPAN_S, _whole_bodies(), rounds=3),
            Crowd(router.port, 200, _SPAN_S, _body_behind_a_stream()),
        )


if __name__ == "__main__":
    unittest.main()
