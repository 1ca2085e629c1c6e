"""A small plain service: it counts calls and echoes bodies."""

from __future__ import annotations

import time
from collections import Counter

import anyio
from attrs import define, field

from endivegw_standins.asgi import Receive, Scope, Send, header

__all__ = ["ServiceApp", "ServiceKnobs"]

IDEMPOTENCY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"x-request-id"


@define
class ServiceKnobs:
    """Set what goes wrong with the service.

    :ivar break_after_bytes: cut the connection after so much of the answer.
    :ivar status: the status of each answer.
    """

    delay_s: float = 0.0
    break_after_bytes: int | None = None
    status: int = 200


class _Broken(Exception):
    """Cut the connection in the middle of an answer, on purpose."""


@define
class ServiceApp:
    """Answer each call with its own body.

    :ivar calls_by_key: calls whose body came whole, by ``Idempotency-Key``.
    :ivar calls_by_attempt: the same by attempt id.
    :ivar began_s: when each body first came, on the monotonic clock.
    """

    knobs: ServiceKnobs = field(factory=ServiceKnobs)
    calls_by_key: Counter[str] = field(factory=Counter)
    calls_by_attempt: Counter[str] = field(factory=Counter)
    bodies: list[bytes] = field(factory=list)
    began_s: dict[bytes, float] = field(factory=dict)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call; lifespan events are refused."""
        if scope["type"] != "http":
            return
        chunks = await _read_chunks(receive)
        self.calls_by_key[header(scope, IDEMPOTENCY_HEADER)] += 1
        self.calls_by_attempt[header(scope, ATTEMPT_HEADER)] += 1
        body = b"".join(chunks)
        self.bodies.append(body)
        self.began_s.setdefault(body, time.monotonic())
        await anyio.sleep(self.knobs.delay_s)
        fields = [
            (b"content-type", b"application/octet-stream"),
            (b"x-method", scope["method"].encode()),
            (b"x-path", scope["path"].encode()),
            (b"connection", b"keep-alive"),
        ]
        status = self.knobs.status
        await send({"type": "http.response.start", "status": status, "headers": fields})
        await self._echo(chunks, send)

    async def _echo(self, chunks: list[bytes], send: Send) -> None:
        limit = self.knobs.break_after_bytes
        sent = 0
        for chunk in chunks:
            if limit is not None and sent + len(chunk) > limit:
                raise _Broken("cut by a knob of the stand-in")
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
