"""ASGI helpers that the stand-ins share."""

from __future__ import annotations

import json
from typing import Any, Awaitable, Callable, MutableMapping

__all__ = ["Receive", "Scope", "Send", "header", "read_body", "send_json"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


async def read_body(receive: Receive) -> bytes:
    """Return the complete body of a request."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError(
                "client disconnected before the end of the request body"
            )
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_json(send: Send, status: int, value: object) -> None:
    """Send a response with a JSON value."""
    body = json.dumps(value).encode()
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body})


def header(scope: Scope, name: bytes) -> str:
    """Return a header field of a request, or "" if it is absent."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""
