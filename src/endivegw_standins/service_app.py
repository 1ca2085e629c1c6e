"""Small plain service that counts calls and echoes request bodies."""

from __future__ import annotations

import time
from collections import Counter

import anyio
from attrs import define, field

from endivegw_standins.asgi import Receive, Scope, Send, header

__all__ = ["ServiceApp", "ServiceOptions"]

IDEMPOTENCY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"x-request-id"


@define
class ServiceOptions:
    """Delay and faults of the service, adjustable while it runs.

    :ivar break_after_bytes: length of the answer after which the connection breaks.
    :ivar status: status of each answer.
    """

    delay_s: float = 0.0
    break_after_bytes: int | None = None
    status: int = 200


class _ConnectionBroken(Exception):
    """Raised to break the connection in the middle of an answer."""


@define
class ServiceApp:
    """Echo the body of each call.

    :ivar calls_by_key: number of received calls by ``Idempotency-Key``.
    :ivar calls_by_attempt: number of received calls by attempt id.
    :ivar started_s: time at which each body was first received, on the monotonic clock.
    """

    options: ServiceOptions = field(factory=ServiceOptions)
    calls_by_key: Counter[str] = field(factory=Counter)
    calls_by_attempt: Counter[str] = field(factory=Counter)
    bodies: list[bytes] = field(factory=list)
    started_s: dict[bytes, float] = field(factory=dict)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request; lifespan events are ignored."""
        if scope["type"] != "http":
            return
        chunks = await _read_chunks(receive)
        self.calls_by_key[header(scope, IDEMPOTENCY_HEADER)] += 1
        self.calls_by_attempt[header(scope, ATTEMPT_HEADER)] += 1
        body = b"".join(chunks)
        self.bodies.append(body)
        self.started_s.setdefault(body, time.monotonic())
        await anyio.sleep(self.options.delay_s)
        fields = [
            (b"content-type", b"application/octet-stream"),
            (b"x-method", scope["method"].encode()),
            (b"x-path", scope["path"].encode()),
            (b"connection", b"keep-alive"),
        ]
        status = self.options.status
        await send({"type": "http.response.start", "status": status, "headers": fields})
        await self._echo(chunks, send)

    async def _echo(self, chunks: list[bytes], send: Send) -> None:
        limit = self.options.break_after_bytes
        sent = 0
        for chunk in chunks:
            if limit is not None and sent + len(chunk) > limit:
                raise _ConnectionBroken(
                    f"simulated connection failure after {limit} bytes"
                )
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            sent += len(chunk)
        await send({"type": "http.response.body", "body": b""})


async def _read_chunks(receive: Receive) -> list[bytes]:
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return chunks
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return chunks
