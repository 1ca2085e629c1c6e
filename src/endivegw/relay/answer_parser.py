"""Parse the bytes that a target sends into answers."""

from __future__ import annotations

from collections import deque

import httptools
from attrs import define, field

from endivegw.http_responses import STATUSES
from endivegw.relay.messages import TargetHead
from endivegw.relay.wire import HeaderFields

__all__ = ["AnswerBroken", "AnswerParser"]

#: Maximum size of an answer's head with the informational ones before it, of its
#: trailers and of other data that is neither body nor the end of a message.
_MAX_HEAD_BYTES = 16384

#: How the first answer begins. The parser accepts other protocols and versions, whose
#: messages differ.
_PROTOCOL = b"HTTP/1."

_INFORMATIONAL = range(100, 200)
_SWITCHING_PROTOCOLS = 101


class AnswerBroken(Exception):
    """Raised when an answer is missing, incomplete or not valid HTTP."""


@define
class _Answer:
    """Hold what was received of one answer.

    :ivar open_ended: whether the body ends with the connection.
    :ivar keep_alive: whether the target keeps the connection open after the answer.
    """

    fields: HeaderFields = field(factory=list)
    head: TargetHead | None = None
    chunks: list[bytes] = field(factory=list)
    complete: bool = False
    open_ended: bool = False
    keep_alive: bool = False


class AnswerParser:
    """Parse the answers on one connection to a target, one after the other.

    :param head_only: whether the answer to the current request has no body, whatever
        its head says.
    """

    def __init__(self, head_only: bool = False) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self._answers: deque[_Answer] = deque()
        self._error: str | None = None
        self._idle_bytes = 0
        self._progress = False
        self._start = b""

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        An error is reported once the answers before it have been read.
        """
        if self._error is not None:
            return
        self._progress = False
        if len(self._start) < len(_PROTOCOL):
            self._start = (self._start + data).lstrip(b"\r\n")[: len(_PROTOCOL)]
            if not _PROTOCOL.startswith(self._start):
                self._error = f"the answer begins with {self._start!r}"
                return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error = f"invalid HTTP answer: {error.__context__ or error}"
            return
        self._idle_bytes = 0 if self._progress else self._idle_bytes + len(data)
        if self._idle_bytes > _MAX_HEAD_BYTES:
            self._error = (
                f"got {self._idle_bytes} bytes of an answer's head, the limit is "
                f"{_MAX_HEAD_BYTES}"
            )

    def feed_eof(self) -> None:
        """Record that the target sends nothing more."""
        if self._answers and self._error is None:
            answer = self._answers[-1]
            answer.complete = answer.complete or answer.open_ended
        if self._error is None:
            self._error = "the connection closed before the answer was complete"

    def head(self) -> TargetHead | None:
        """Return the head of the current answer, None if more bytes are needed.

        :raises AnswerBroken: if it can no longer arrive.
        """
        head = self._answers[0].head if self._answers else None
        if head is None:
            self._raise_error()
        return head

    def take_body(self) -> bytes:
        """Return what was received of the current answer's body since the last call.

        :raises AnswerBroken: if there is nothing left and the answer is incomplete.
        """
        answer = self._answers[0]
        data = b"".join(answer.chunks)
        answer.chunks.clear()
        if not data and not answer.complete:
            self._raise_error()
        return data

    @property
    def complete(self) -> bool:
        """Return whether the current answer is complete."""
        return bool(self._answers) and self._answers[0].complete

    @property
    def keeps_connection(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            len(self._answers) == 1
            and self._answers[0].complete
            and self._answers[0].keep_alive
            and self._error is None
        )

    def skip_answer(self) -> None:
        """Continue with the next answer."""
        self._answers.popleft()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise AnswerBroken(self._error)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._answers.append(_Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a field of the head; trailers are ignored."""
        answer = self._answers[-1]
        if answer.head is None:
            answer.fields.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Record the head of an answer."""
        answer = self._answers[-1]
        names = dict(answer.fields)
        encoding = names.get(b"transfer-encoding")
        if encoding is not None and encoding.strip().lower() != b"chunked":
            raise AnswerBroken(f"unknown transfer encoding {encoding!r}")
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise AnswerBroken(f"the status {status:03} is outside of 100 to 599")
        if status == _SWITCHING_PROTOCOLS:
            raise AnswerBroken("the target switched protocols without a request to")
        # Informational heads may come without end.
        self._progress = status not in _INFORMATIONAL
        answer.head = TargetHead(status, answer.fields)
        answer.open_ended = encoding is None and b"content-length" not in names
        answer.complete = self._head_only and status not in _INFORMATIONAL

    def on_body(self, body: bytes) -> None:
        """Record a part of the body."""
        self._progress = True
        self._answers[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete an answer; informational ones are dropped."""
        answer = self._answers[-1]
        if answer.head is not None and answer.head.status in _INFORMATIONAL:
            self._answers.pop()
            return
        self._progress = True
        answer.complete = True
        answer.keep_alive = self._parser.should_keep_alive()
