"""One HTTP exchange of a stand-in, on top of the ASGI interface."""

from __future__ import annotations

import json
from typing import Mapping

from attrs import field, frozen

from endivegw_standins.asgi import Receive, Scope, Send, read_body

__all__ = ["Receive", "Reply", "Scope", "Send", "json_reply", "read_body", "send_reply"]


@frozen
class Reply:
    """Hold one whole answer.

    :param length: the length to announce without a body, for HEAD.
    """

    status: int
    body: bytes = b""
    fields: Mapping[str, str] = field(factory=dict)
    length: int | None = None


def json_reply(status: int, value: object, **fields: str) -> Reply:
    """Return an answer that carries JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Reply(status, body, {"content-type": "application/json", **fields})


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a whole answer."""
    length = len(reply.body) if reply.length is None else reply.length
    fields = {"content-length": str(length), **reply.fields}
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body})
