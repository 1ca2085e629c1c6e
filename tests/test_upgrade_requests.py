"""Requests that offer to change the protocol, which the router does not."""

from __future__ import annotations

import contextlib
import functools
import unittest
from typing import Any

import anyio
import h11

from endivegw.dev.layout import SERVICE
from endivegw.http_protocol import HeaderLimit
from endivegw.http_server import serve_asgi
from tests.platform_fleet import exchange
from tests.test_path import running_fleet


class UpgradeTests(unittest.TestCase):
    """
    Clients that offer HTTP/2 with each request, as Java's does, lose their bodies: the
    service runs an empty request and answers 200.
    """

    def test_body_of_an_upgrade_request_reaches_the_service(self) -> None:
        """The offer may be ignored, the body may not."""
        answers: list[tuple[int, bytes]] = []

        async def scenario() -> None:
            async with running_fleet(http_ports=(0,), log_level="error") as fleet:
                fields = [
                    ("host", "h.example"),
                    ("authorization", f"Bearer {fleet.accounts[0].key}"),
                    ("connection", "Upgrade, HTTP2-Settings"),
                    ("upgrade", "h2c"),
                    ("http2-settings", "AAMAAABkAAQAAP__"),
                    ("content-length", "5"),
                ]
                path = f"/services/{SERVICE}/status/1"
                request = h11.Request(method="POST", target=path, headers=fields)
                port = int(fleet.routers[0].url.rpartition(":")[2])
                answer = await exchange(port, request, b"hello")
                answers.append((answer.status, answer.body))

        anyio.run(scenario)
        self.assertEqual(answers, [(200, b"hello")])

    def test_bodies_of_all_requests_of_a_connection_are_read(self) -> None:
        """Guards against bytes of a body or of the next request that are dropped."""
        bodies = [b"4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n", b"hello", b""]
        lengths = ["transfer-encoding: chunked", "content-length: 5"]
        sent = b"".join(
            b"POST /%d HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n"
            b"upgrade: h2c\r\n%b\r\n\r\n%b" % (number, length.encode(), body)
            for number, (length, body) in enumerate(
                zip([*lengths, "connection: close"], bodies)
            )
        )
        for piece_bytes in (1, 7, len(sent)):
            self.assertEqual(self._echoed(sent, piece_bytes), [6, 5, 0], piece_bytes)

    def _echoed(self, sent: bytes, piece_bytes: int) -> list[int]:
        """Send bytes in pieces; return the lengths of the bodies that were read."""
        lengths: list[int] = []

        async def application(scope: Any, receive: Any, send: Any) -> None:
            body, more = b"", True
            while more:
                message = await receive()
                body += message.get("body", b"")
                more = message.get("more_body", False)
            lengths.append(len(body))
            fields = [(b"content-length", b"0")]
            start = {"type": "http.response.start", "status": 200, "headers": fields}
            await send(start)
            await send({"type": "http.response.body", "body": b""})

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                limit = HeaderLimit(4096, (), b"")
                serve = functools.partial(serve_asgi, header_limit=limit)
                address = await tasks.start(serve, application, "127.0.0.1", 0)
                async with await anyio.connect_tcp(*address) as stream:
                    for first in range(0, len(sent), piece_bytes):
                        await stream.send(sent[first : first + piece_bytes])
                    with contextlib.suppress(anyio.EndOfStream), anyio.fail_after(5):
                        while True:
                            await stream.receive()
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        return lengths


if __name__ == "__main__":
    unittest.main()
