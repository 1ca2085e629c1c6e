"""Send answers to callers: as an event stream, as one object, or unchanged."""

from __future__ import annotations

import json
from typing import Any, Awaitable, Callable

from endivegw.daemons.completion_answer import (
    DONE_EVENT,
    AnswerText,
    ChunkSplitter,
    format_event,
    usage_object,
)
from endivegw.daemons.http_messages import (
    OUTCOME_HEADER,
    HttpError,
    error_body,
    http_error,
)
from endivegw.daemons.routed import Answered, RefusedTry, RequestEnd
from endivegw.results import Refused, Unknown
from endivegw.types import Outcome, Usage

__all__ = [
    "ObjectAnswerSink",
    "PassthroughAnswerSink",
    "Send",
    "EventStreamSink",
    "send_error",
    "send_json",
]

Send = Callable[[dict[str, Any]], Awaitable[None]]
Fields = tuple[tuple[str, str], ...]

_JSON: Fields = (("content-type", "application/json"),)
_ANSWERED: Fields = ((OUTCOME_HEADER, Outcome.ANSWERED.value),)
_HTTP_OK = 200


async def _send_head(send: Send, status: int, fields: Fields) -> None:
    headers = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _send_body(send: Send, data: bytes, *, more: bool) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def send_json(
    send: Send, status: int, document: object, fields: Fields = ()
) -> None:
    """Send one JSON object."""
    await _send_head(send, status, _JSON + fields)
    await _send_body(send, json.dumps(document).encode(), more=False)


async def send_error(send: Send, error: HttpError, fields: Fields = ()) -> None:
    """Send an error answer."""
    await _send_head(send, error.status, error.fields + fields)
    await _send_body(send, error.body, more=False)


class EventStreamSink:
    """Send each chunk as a server-sent event as soon as it is received.

    :param include_usage: whether the caller requested the usage chunk.
    :param fields: header fields to add to every answer to this request.
    :param keyed: whether the request has an idempotency key.
    """

    def __init__(
        self, send: Send, include_usage: bool, fields: Fields, keyed: bool
    ) -> None:
        self._send = send
        self._keyed = keyed
        self._include_usage = include_usage
        self._fields = fields
        self._splitter = ChunkSplitter()
        self._started = False
        self._last_chunk = b"{}"

    def reset(self) -> None:
        """Do nothing: sent data is final, and the answer continues after it."""

    async def head(self, status: int, fields: Fields) -> None:
        """Send nothing yet: until data arrives, an error can set its own status."""

    async def data(self, data: bytes) -> None:
        """Send the chunks that the data completes."""
        lines = self._splitter.feed(data)
        if not lines:
            return
        await self._ensure_started()
        self._last_chunk = lines[-1]
        await _send_body(self._send, b"".join(map(format_event, lines)), more=True)

    async def end(self, end: RequestEnd) -> None:
        """End the stream; only a complete answer ends with the done event."""
        match end:
            case Answered():
                await self._ensure_started()
                tail = self._usage_event(end.usage) + DONE_EVENT
                await _send_body(self._send, tail, more=False)
            case Refused() | RefusedTry() | Unknown() if not self._started:
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)
            case Refused() | RefusedTry() | Unknown():
                failed = b"event: error\n" + format_event(error_body(end))
                await _send_body(self._send, failed, more=False)

    async def _ensure_started(self) -> None:
        if self._started:
            return
        self._started = True
        fields = (("content-type", "text/event-stream"), ("cache-control", "no-cache"))
        await _send_head(self._send, _HTTP_OK, fields + _ANSWERED + self._fields)

    def _usage_event(self, usage: Usage) -> bytes:
        if not self._include_usage:
            return b""
        names = ("id", "object", "created", "model")
        # Only the last chunk is parsed, and only here: few callers request the usage.
        last = json.loads(self._last_chunk)
        document: dict[str, Any] = {n: last[n] for n in names if n in last}
        document.update(choices=[], usage=usage_object(usage))
        return format_event(json.dumps(document).encode())


class ObjectAnswerSink:
    """Collect the chunks and send one object once the answer is complete."""

    def __init__(self, send: Send, chat: bool, fields: Fields, keyed: bool) -> None:
        self._send = send
        self._keyed = keyed
        self._fields = fields
        self._chat = chat
        self.reset()

    def reset(self) -> None:
        """Drop the collected chunks: another attempt answers from the first byte."""
        self._splitter = ChunkSplitter()
        self._text = AnswerText(self._chat)

    async def head(self, status: int, fields: Fields) -> None:
        """Send nothing yet: the status is known once the answer is complete."""

    async def data(self, data: bytes) -> None:
        """Collect the chunks that the data completes."""
        for line in self._splitter.feed(data):
            self._text.add(line)

    async def end(self, end: RequestEnd) -> None:
        """Send the object, or an error if the request was not answered."""
        match end:
            case Answered():
                body = self._text.to_json(end.usage)
                await _send_head(self._send, _HTTP_OK, _JSON + _ANSWERED + self._fields)
                await _send_body(self._send, body, more=False)
            case Refused() | RefusedTry() | Unknown():
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)


class TruncatedAnswer(Exception):
    """A passed-through answer was started and cannot be completed.

    Raised into the HTTP server so that it closes the connection: without the
    declared length or the last chunk, the caller recognises the body as truncated.
    """


class PassthroughAnswerSink:
    """Forward a plain service's answer unchanged, as it is received."""

    def __init__(self, send: Send, fields: Fields, keyed: bool) -> None:
        self._send = send
        self._keyed = keyed
        self._fields = fields
        self._started = False

    def reset(self) -> None:
        """Do nothing: sent data is final, and the answer continues after it."""

    async def head(self, status: int, fields: Fields) -> None:
        """Send the service's status and header fields."""
        self._started = True
        await _send_head(self._send, status, fields + _ANSWERED + self._fields)

    async def data(self, data: bytes) -> None:
        """Send the next bytes."""
        await _send_body(self._send, data, more=True)

    async def end(self, end: RequestEnd) -> None:
        """End the answer; a truncated one must not look complete."""
        match end:
            case Answered():
                await _send_body(self._send, b"", more=False)
            case Refused() | RefusedTry() | Unknown() if not self._started:
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)
            case Refused() | RefusedTry() | Unknown():
                raise TruncatedAnswer(repr(end))
