"""What a connection holds of its caller's requests, and how it gives way to others."""

from __future__ import annotations

from typing import Callable

from attrs import define

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_parser import RequestParser
from endivegw.tcp_stream import TcpStream

__all__ = ["HeldInput"]


def _do_nothing() -> None:
    """Ignore that the connection gave way."""


@define(eq=False)
class HeldInput:
    """Count the received bytes of one connection until their requests have ended.

    :ivar gave_way: whether requests were dropped in favour of other connections.
    :ivar given_up: the request whose body was dropped, if its head was known.
    """

    _stream: TcpStream
    _parser: RequestParser
    _clock: Callable[[], float]
    _on_give_up: Callable[[], None]
    gave_way: bool = False
    given_up: CallerRequest | None = None
    _current: tuple[CallerRequest, AnswerWriter] | None = None
    _counts_current: bool = False
    _held_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        self._stream.held.holder = self

    def begin(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Count the body of a request that is being handled."""
        self._current = request, writer
        self._counts_current = True
        self.update()

    def end(self) -> None:
        """Record that the request was answered."""
        self._current = None
        self._stream.held.account = None
        self.update()

    def update(self) -> None:
        """Count what was parsed, or received, since the last call."""
        size = self._parser.buffered_bytes
        if self._current is not None and self._counts_current:
            size += len(self._current[0].body)
        grown_bytes = size - self._held_bytes
        self._held_bytes = size
        if grown_bytes > 0:
            self._stream.held.add(grown_bytes)
        else:
            self._stream.held.release(-grown_bytes)

    def discard(self) -> None:
        """Drop all input that belongs to no whole request, and all that follows."""
        self._parser.discard()
        self._stream.discard_input()
        self.update()

    def close(self) -> None:
        """Drop everything at the end of the connection.

        What is left refers to nothing else, so that it is released at once.
        """
        self._current = None
        self._on_give_up = _do_nothing
        self.discard()

    @property
    def releasable_bytes(self) -> int:
        """Return the size of what belongs to requests that have not run."""
        size = self._parser.buffered_bytes + self._stream.unread_bytes
        if self._current is not None:
            request, writer = self._current
            if writer.withdraw is not None:
                size += len(request.body)
        return size

    def give_up(self) -> None:
        """Drop all that belongs to requests that have not run."""
        self.gave_way = True
        if self._current is None:
            self.drop_request()
        else:
            self._withdraw_current(self._current[1])
            self.discard()
        self._on_give_up()

    def drop_request(self) -> None:
        """Drop the request that is being received."""
        self.given_up = self._parser.request_head(self._clock())
        self.discard()

    def _withdraw_current(self, writer: AnswerWriter) -> None:
        if writer.withdraw is not None:
            writer.withdraw()
            writer.withdraw = None
            # The body itself is released as soon as the request's task ends.
            self._counts_current = False
