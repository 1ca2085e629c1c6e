"""Pipelined requests that offer another protocol, parsed without a network."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
import unittest
from typing import Any

import uvicorn
from attrs import define, field, frozen
from uvicorn.server import ServerState

from endivegw.http_protocol import BoundedHttpProtocol, HeaderLimit

#: About as many small requests as one read of a socket holds.
BURST = 3000

#: Few enough requests that a parser that recurses for each of them still serves them.
SHORT_BURST = 900

#: Larger than anything sent here, so that all of it is one read.
ONE_READ_BYTES = 2**20

#: What a burst of requests with the offer may need beyond one without it.
EXTRA_MEMORY_BYTES = 4 * 2**20

MAX_HEADER_BYTES = 4096

OFFER = b"upgrade: h2c\r\n"
CONNECTION = b"connection: upgrade\r\n"


class RecordingTransport(asyncio.Transport):
    """Keep what the server writes."""

    def __init__(self) -> None:
        self._unconnected = socket.socket()
        super().__init__({"socket": self._unconnected})
        self.written = bytearray()
        self.closing = False

    def write(self, data: Any) -> None:
        """Keep bytes of responses."""
        self.written += data

    def is_closing(self) -> bool:
        """Return whether the server has closed the connection."""
        return self.closing

    def close(self) -> None:
        """Close the connection."""
        self.closing = True
        self._unconnected.close()

    def pause_reading(self) -> None:
        """Ignore that the server wants no more bytes."""

    def resume_reading(self) -> None:
        """Ignore that the server wants bytes again."""


@frozen
class ReceivedRequest:
    """A request as the application receives it."""

    method: str
    path: str
    http_version: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@define
class Outcome:
    """What became of the bytes of a connection.

    :ivar peak_bytes: how much memory was in use at most while they were parsed, 0 if it
        was not measured.
    """

    requests: list[ReceivedRequest] = field(factory=list)
    written: bytes = b""
    closed: bool = False
    peak_bytes: int = 0


class EchoApplication:
    """Keep each request, and respond with its body."""

    def __init__(self, requests: list[ReceivedRequest]) -> None:
        self._requests = requests

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Respond once the body is complete."""
        body, more = b"", True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            more = message["more_body"]
        headers = tuple(scope["headers"])
        request = (scope["method"], scope["path"], scope["http_version"], headers, body)
        self._requests.append(ReceivedRequest(*request))
        length = [(b"content-length", str(len(body)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": length}
        await send(start)
        await send({"type": "http.response.body", "body": body})


def receive_bytes(sent: bytes, piece_bytes: int, measured: bool = False) -> Outcome:
    """Deliver bytes to one connection in reads of the given size."""
    outcome = Outcome()

    async def run() -> None:
        transport = RecordingTransport()
        state = ServerState()
        protocol = BoundedHttpProtocol(
            uvicorn.Config(
                EchoApplication(outcome.requests), lifespan="off", log_config=None
            ),
            server_state=state,
            app_state={},
            limit=HeaderLimit(MAX_HEADER_BYTES, (), b""),
        )
        protocol.connection_made(transport)
        if measured:
            tracemalloc.start()
        for first in range(0, len(sent), piece_bytes):
            if not transport.closing:
                protocol.data_received(sent[first : first + piece_bytes])
        if measured:
            outcome.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        while not transport.closing and state.tasks:
            await asyncio.sleep(0)
        outcome.written = bytes(transport.written)
        outcome.closed = transport.closing
        transport.close()
        protocol.connection_lost(None)

    asyncio.run(run())
    return outcome


def small_request(fields: bytes = b"") -> bytes:
    """Return a request with a body of five bytes and the given fields."""
    return b"POST /a HTTP/1.1\r\nhost: a\r\n%bcontent-length: 5\r\n\r\nhello" % fields


class BurstTests(unittest.TestCase):
    """
    One connection pipelines requests with the offer. They are lost, or fill the
    memory of the router.
    """

    def test_all_requests_of_a_burst_are_served(self) -> None:
        """Guards against work for each offer that nests within one read."""
        plain = receive_bytes(small_request() * BURST, ONE_READ_BYTES)
        offering = receive_bytes(
            small_request(CONNECTION + OFFER) * BURST, ONE_READ_BYTES
        )
        self.assertEqual(len(offering.requests), BURST)
        self.assertEqual(offering, plain)

    def test_burst_needs_no_more_memory(self) -> None:
        """Guards against copies of a read that are kept for each offer in it."""
        for count in (SHORT_BURST, BURST):
            with self.subTest(count=count):
                plain = receive_bytes(small_request() * count, ONE_READ_BYTES, True)
                sent = small_request(CONNECTION + OFFER) * count
                offering = receive_bytes(sent, ONE_READ_BYTES, True)
                self.assertEqual(len(offering.requests), count)
                self.assertLess(
                    offering.peak_bytes, plain.peak_bytes + EXTRA_MEMORY_BYTES
                )


#: Requests with a place for the offer.
REQUESTS = {
    "no body": b"GET /a?b=c HTTP/1.1\r\nhost: a\r\n%b\r\n",
    "sized body": b"POST /a HTTP/1.1\r\nhost: a\r\n%bcontent-length: 5\r\n\r\nhello",
    "empty body": b"PUT /a HTTP/1.1\r\nhost: a\r\n%bcontent-length: 0\r\n\r\n",
    "chunked body": b"POST /a HTTP/1.1\r\nhost: a\r\n%btransfer-encoding: chunked\r\n"
    b"\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n",
    "trailers": b"POST /a HTTP/1.1\r\nhost: a\r\n%btransfer-encoding: chunked\r\n\r\n"
    b"4;x=y\r\nabcd\r\n0\r\nx-a: b\r\n\r\n",
    "awaited body": b"POST /a HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n%b"
    b"content-length: 5\r\n\r\nhello",
    "body like a header section": b"POST /a HTTP/1.1\r\nhost: a\r\n%b"
    b"content-length: 42\r\n\r\n\r\nGET /b HTTP/1.1\r\nupgrade: h2c\r\n\r\n" + b"x" * 7,
    "repeated, empty and padded fields": b"POST /a HTTP/1.1\r\nhost: a\r\nx-a: 1\r\n"
    b"x-a:  2 \r\nX-B:\r\n%bcontent-length: 5\r\n\r\nhello",
    "folded field": b"POST /a HTTP/1.1\r\nhost: a\r\nx-a: 1\r\n  2\r\n%b"
    b"content-length: 5\r\n\r\nhello",
    "older version": b"POST /a HTTP/1.0\r\n%bcontent-length: 5\r\n\r\nhello",
    "ambiguous length": b"POST /a HTTP/1.1\r\nhost: a\r\n%bcontent-length: 5\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "unknown encoding": b"POST /a HTTP/1.1\r\nhost: a\r\n%b"
    b"transfer-encoding: gzip\r\n\r\nhello",
    "malformed field": b"POST /a HTTP/1.1\r\nhost: a\r\n%bx a: b\r\n\r\n",
    "too large": b"POST /a HTTP/1.1\r\nhost: a\r\n%bx-a: " + b"x" * 5000 + b"\r\n\r\n",
    "malformed target": b"GET http:// HTTP/1.1\r\nhost: a\r\n%b\r\n",
    "tunnel": b"CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n%b\r\n",
}

#: Fields of a request with the offer, and what is left of them without it.
OFFERS = [
    (CONNECTION + OFFER, b""),
    (OFFER + b"Connection:Upgrade\r\n", b""),
    (b"connection: close, Upgrade\r\n" + OFFER, b"connection: close\r\n"),
    (
        b"Connection: HTTP2-Settings,upgrade\r\nUpgrade: h2c, x/1\r\n",
        b"connection: HTTP2-Settings\r\n",
    ),
    (CONNECTION + b"connection: keep-alive\r\n" + OFFER, b"connection: keep-alive\r\n"),
    (CONNECTION + b"upgrade: websocket\r\n", b""),
    (b"proxy-connection: upgrade\r\n" + OFFER, b"proxy-connection: upgrade\r\n"),
]


class EqualityTests(unittest.TestCase):
    """
    An offer of another protocol costs a request its body, or the next request its
    start.
    """

    def test_offer_changes_nothing_else(self) -> None:
        """Guards against requests that are served differently with an offer."""
        for name, request in REQUESTS.items():
            for offer, rest in OFFERS:
                offering, plain = request % offer, request % rest
                following = small_request()
                for piece_bytes in (1, 7, ONE_READ_BYTES):
                    with self.subTest(name=name, offer=offer, piece_bytes=piece_bytes):
                        self.assertEqual(
                            receive_bytes(offering * 2 + following, piece_bytes),
                            receive_bytes(plain * 2 + following, piece_bytes),
                        )


if __name__ == "__main__":
    unittest.main()
