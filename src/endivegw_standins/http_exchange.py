"""HTTP responses of the stand-ins, on top of the ASGI interface."""

from __future__ import annotations

import json
from typing import Mapping

from attrs import field, frozen

from endivegw_standins.asgi import Receive, Scope, Send, read_body

__all__ = ["Receive", "Reply", "Scope", "Send", "json_reply", "read_body", "send_reply"]


@frozen
class Reply:
    """A complete HTTP response.

    :param length: Content-Length of a response without a body, for HEAD.
    """

    status: int
    body: bytes = b""
    fields: Mapping[str, str] = field(factory=dict)
    length: int | None = None


def json_reply(status: int, value: object, **fields: str) -> Reply:
    """Return a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Reply(status, body, {"content-type": "application/json", **fields})


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a complete response."""
    length = len(reply.body) if reply.length is None else reply.length
    fields = {"content-length": str(length), **reply.fields}
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body})
