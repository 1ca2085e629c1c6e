"""Send answers to callers: streamed, as one object, or passed through."""

from __future__ import annotations

import json
from typing import Any, Awaitable, Callable

from endivegw.daemons.completion_answer import (
    DONE_EVENT,
    AnswerText,
    ChunkSplitter,
    event,
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
    "ObjectAnswer",
    "PassedAnswer",
    "Send",
    "StreamedAnswer",
    "send_error",
    "send_json",
]

Send = Callable[[dict[str, Any]], Awaitable[None]]
Fields = tuple[tuple[str, str], ...]

_JSON: Fields = (("content-type", "application/json"),)
_ANSWERED: Fields = ((OUTCOME_HEADER, Outcome.ANSWERED.value),)
_HTTP_OK = 200


async def _start(send: Send, status: int, fields: Fields) -> None:
    headers = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _body(send: Send, data: bytes, *, more: bool) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def send_json(
    send: Send, status: int, document: object, fields: Fields = ()
) -> None:
    """Send one JSON object."""
    await _start(send, status, _JSON + fields)
    await _body(send, json.dumps(document).encode(), more=False)


async def send_error(send: Send, error: HttpError, fields: Fields = ()) -> None:
    """Send an error answer."""
    await _start(send, error.status, error.fields + fields)
    await _body(send, error.body, more=False)


class StreamedAnswer:
    """Send each chunk as a server-sent event as soon as it is there.

    :param include_usage: whether the caller asked for the usage chunk.
    :param fields: header fields of every answer of this request.
    """

    def __init__(
        self, send: Send, include_usage: bool, fields: Fields, keyed: bool
    ) -> None:
        self._send = send
        self._keyed = keyed
        self._include_usage = include_usage
        self._fields = fields
        self._splitter = ChunkSplitter()
        self._begun = False
        self._last = b"{}"

    def reset(self) -> None:
        """Do nothing: what was sent is sent, and an answer goes on from there."""

    async def head(self, status: int, fields: Fields) -> None:
        """Wait for data: until then an error can still have its own status."""

    async def data(self, data: bytes) -> None:
        """Send the chunks that are complete now."""
        lines = self._splitter.feed(data)
        if not lines:
            return
        await self._begin()
        self._last = lines[-1]
        await _body(self._send, b"".join(map(event, lines)), more=True)

    async def end(self, end: RequestEnd) -> None:
        """End the stream; only a whole answer ends with the done event."""
        match end:
            case Answered():
                await self._begin()
                tail = self._usage_event(end.usage) + DONE_EVENT
                await _body(self._send, tail, more=False)
            case Refused() | RefusedTry() | Unknown() if not self._begun:
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)
            case Refused() | RefusedTry() | Unknown():
                failed = b"event: error\n" + event(error_body(end))
                await _body(self._send, failed, more=False)

    async def _begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        stream = (("content-type", "text/event-stream"), ("cache-control", "no-cache"))
        await _start(self._send, _HTTP_OK, stream + _ANSWERED + self._fields)

    def _usage_event(self, usage: Usage) -> bytes:
        if not self._include_usage:
            return b""
        names = ("id", "object", "created", "model")
        # Read once an answer, not once a piece: few callers ask for the usage.
        last = json.loads(self._last)
        document: dict[str, Any] = {n: last[n] for n in names if n in last}
        document.update(choices=[], usage=usage_object(usage))
        return event(json.dumps(document).encode())


class ObjectAnswer:
    """Collect the chunks and send one object when the answer is whole."""

    def __init__(self, send: Send, chat: bool, fields: Fields, keyed: bool) -> None:
        self._send = send
        self._keyed = keyed
        self._fields = fields
        self._chat = chat
        self.reset()

    def reset(self) -> None:
        """Drop what is held: another attempt answers from the first byte."""
        self._splitter = ChunkSplitter()
        self._text = AnswerText(self._chat)

    async def head(self, status: int, fields: Fields) -> None:
        """Send nothing: the status is known when the answer is whole."""

    async def data(self, data: bytes) -> None:
        """Keep the chunks that are complete now."""
        for line in self._splitter.feed(data):
            self._text.add(line)

    async def end(self, end: RequestEnd) -> None:
        """Send the object, or the error in its place."""
        match end:
            case Answered():
                body = self._text.whole(end.usage)
                await _start(self._send, _HTTP_OK, _JSON + _ANSWERED + self._fields)
                await _body(self._send, body, more=False)
            case Refused() | RefusedTry() | Unknown():
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)


class CutAnswer(Exception):
    """A passed-through answer that began cannot be finished.

    Raised into the HTTP server so that it closes the connection: a body with
    neither its length nor its last chunk is known to be cut, and cannot be
    taken for a whole one.
    """


class PassedAnswer:
    """Pass a plain service's answer through as it comes."""

    def __init__(self, send: Send, fields: Fields, keyed: bool) -> None:
        self._send = send
        self._keyed = keyed
        self._fields = fields
        self._begun = False

    def reset(self) -> None:
        """Do nothing: what was sent is sent, and an answer goes on from there."""

    async def head(self, status: int, fields: Fields) -> None:
        """Send the service's own status and header fields."""
        self._begun = True
        await _start(self._send, status, fields + _ANSWERED + self._fields)

    async def data(self, data: bytes) -> None:
        """Send the next bytes."""
        await _body(self._send, data, more=True)

    async def end(self, end: RequestEnd) -> None:
        """End the answer; a cut one must not look whole."""
        match end:
            case Answered():
                await _body(self._send, b"", more=False)
            case Refused() | RefusedTry() | Unknown() if not self._begun:
                error = http_error(end, keyed=self._keyed)
                await send_error(self._send, error, self._fields)
            case Refused() | RefusedTry() | Unknown():
                raise CutAnswer(repr(end))
