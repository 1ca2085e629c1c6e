"""One connection to a target: send a request, and read the answer to it."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import SocketAttribute
from attrs import frozen

from endivegw.relay.answer_parser import AnswerBroken, AnswerParser
from endivegw.relay.messages import TargetHead
from endivegw.relay.wire import HeaderFields
from endivegw.sockets import (
    has_no_pending_input,
    has_unacknowledged_output,
    reset_on_close,
)
from endivegw.tcp_stream import TcpStream

__all__ = ["AnswerBroken", "OutgoingRequest", "TargetConnection"]

#: Bodies up to this many bytes fit into the socket buffers and are sent before the
#: answer is read.
_SMALL_BODY_BYTES = 16384

#: Maximum number of answers to other requests, or to none, that are skipped before the
#: request fails.
_MAX_SKIPPED_ANSWERS = 2

#: Maximum size of the body of such an answer.
_MAX_SKIPPED_BODY_BYTES = 1024 * 1024

#: Methods whose requests state a length even if they have no body.
_METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")

#: Errors of a connection that broke or was closed meanwhile.
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

#: Errors while the head of an answer is read.
_READ_ERRORS = (AnswerBroken, *_CONNECTION_ERRORS)


@frozen
class OutgoingRequest:
    """Hold a request as it is sent to a target."""

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes


def _ignore_silence() -> None:
    """Do nothing about a silent target."""


class TargetConnection:
    """Speak HTTP/1.1 with one target, one request at a time.

    :param opened_s: time at which the connection was opened; its first idle period
        starts then.
    :param number: tells the connections of a process apart.
    :ivar request_count: number of requests that were sent.
    """

    def __init__(
        self, stream: TcpStream, address: str, opened_s: float, number: int = 0
    ) -> None:
        self._stream = stream
        self.address = address
        self.number = number
        self.request_count = 0
        self.idle_since_s = opened_s
        #: Idle time-out that the target announced, None if it announced none.
        self.keep_alive_s: float | None = None
        self._parser = AnswerParser()
        self._sent = True
        self._has_skipped = False
        self._on_silent = _ignore_silence

    def watch_silence(
        self,
        silence_s: float | None,
        on_silent: Callable[[], None] = _ignore_silence,
    ) -> None:
        """Report silences of the target while an answer is awaited or read.

        A target that still reads the request is not silent.

        :param silence_s: time without data after which ``on_silent`` is called, and
            again after each further such time; None to disable.
        """
        self._stream.idle_timeout_s = silence_s
        self._on_silent = on_silent

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange left the connection ready for another.

        A target that has sent an answer to no request may send another one.
        """
        return self._sent and not self._has_skipped and self._parser.keeps_connection

    def has_no_input(self) -> bool:
        """Return whether nothing is received that was not read yet.

        On an idle connection, received bytes cannot belong to a future answer. An end
        of stream means that the target has closed the connection, and a request sent
        now would be lost.
        """
        return not self._stream.has_input and has_no_pending_input(
            self._stream.extra(SocketAttribute.raw_socket)
        )

    async def send_request(
        self,
        outgoing: OutgoingRequest,
        matches_request: Callable[[int, HeaderFields], bool],
    ) -> TargetHead:
        """Send a request and return the head of its answer.

        :param matches_request: whether an answer with this status and these fields is
            the answer to this request.
        :raises AnswerBroken: if no answer was received; the request may have run.
        """
        self.request_count += 1
        self._sent = False
        self._parser = AnswerParser(head_only=outgoing.method == b"HEAD")
        head = _encode_head(outgoing)
        try:
            if len(outgoing.body) <= _SMALL_BODY_BYTES:
                await self._stream.send(head + outgoing.body)
                self._sent = True
                return await self._read_matching_head(matches_request)
            return await self._send_large_request(head, outgoing.body, matches_request)
        except _CONNECTION_ERRORS as error:
            raise AnswerBroken(f"{type(error).__name__} before an answer") from error

    async def body(self) -> bytes | None:
        """Return what has arrived of the answer's body, None at its end.

        :raises AnswerBroken: if the body is incomplete.
        """
        try:
            while True:
                data = self._parser.take_body()
                if data:
                    return data
                if self._parser.complete:
                    return None
                await self._receive()
        except _CONNECTION_ERRORS as error:
            raise AnswerBroken(f"{type(error).__name__} within an answer") from error

    async def close(self) -> None:
        """Close at once, which makes the target stop work on the request.

        A request that is still on its way is discarded, if it can be. An orderly close
        would deliver it later, for example at the end of a network partition. A target
        that has acknowledged all data gets an orderly close, because a reset that is
        lost is not repeated.
        """
        raw_socket = self._stream.extra(SocketAttribute.raw_socket)
        if has_unacknowledged_output(raw_socket):
            reset_on_close(raw_socket)
        await anyio.aclose_forcefully(self._stream)

    async def _send_large_request(
        self,
        head: bytes,
        body: bytes,
        matches_request: Callable[[int, HeaderFields], bool],
    ) -> TargetHead:
        """Send a large body and wait for the answer concurrently.

        A target may answer before it has read the body. Waiting for the send first
        could deadlock both sides. A send that is stopped midway leaves the connection
        unusable, which :attr:`reusable` then reports.

        The first bytes are sent before this method yields to the event loop, so that
        what the sender of the request has just checked still holds.
        """
        answer: TargetHead | None = None
        read_error: Exception | None = None
        send_error: Exception | None = None

        async def read_head() -> None:
            nonlocal answer, read_error
            try:
                answer = await self._read_matching_head(matches_request)
            except _READ_ERRORS as error:
                read_error = error
            # The rest of the body is not sent once the answer is known.
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_head)
            try:
                # A copy of the body with its head would be held until it is sent.
                await self._stream.send(head)
                await self._stream.send(body)
                self._sent = True
            except _CONNECTION_ERRORS as error:
                # An answer may have been received nevertheless. If not, reading it
                # fails as well and reports the error.
                send_error = error
        if answer is None:
            raise AnswerBroken(
                f"no answer: {read_error!r} {send_error!r}"
            ) from read_error
        return answer

    async def _read_matching_head(
        self, matches_request: Callable[[int, HeaderFields], bool]
    ) -> TargetHead:
        """Return the head of this request's answer, skipping answers to others."""
        for _ in range(_MAX_SKIPPED_ANSWERS + 1):
            head = await self._read_head()
            if matches_request(head.status, head.fields):
                self._record_keep_alive(head)
                return head
            self._has_skipped = True
            await self.discard_body()
            self._parser.skip_answer()
        raise AnswerBroken("received only answers to other requests")

    async def discard_body(self) -> None:
        """Read the body of an answer that is not used."""
        size = 0
        while (part := await self.body()) is not None:
            size += len(part)
            if size > _MAX_SKIPPED_BODY_BYTES:
                raise AnswerBroken(
                    f"got {size} bytes of an answer that is not used, the limit is "
                    f"{_MAX_SKIPPED_BODY_BYTES}"
                )

    async def _read_head(self) -> TargetHead:
        while True:
            head = self._parser.head()
            if head is not None:
                return head
            await self._receive()

    async def _receive(self) -> None:
        """Parse the next received bytes."""
        while True:
            try:
                self._parser.feed(await self._stream.receive())
            except TimeoutError:
                # After a pause of this process, timers may expire before data is read
                # that arrived meanwhile.
                if self._sent and self.has_no_input():
                    self._on_silent()
                continue
            except anyio.EndOfStream:
                self._parser.feed_eof()
            return

    def _record_keep_alive(self, head: TargetHead) -> None:
        for name, value in head.fields:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    self.keep_alive_s = float(number)


def _encode_head(outgoing: OutgoingRequest) -> bytes:
    """Return the head of a request.

    :raises AnswerBroken: if a field would end its line and begin another one.
    """
    lines = [b"%b %b HTTP/1.1" % (outgoing.method, outgoing.target)]
    lines += [b"%b: %b" % field for field in outgoing.fields]
    if outgoing.body or outgoing.method in _METHODS_WITH_BODY:
        lines.append(b"content-length: %d" % len(outgoing.body))
    if any(b"\r" in line or b"\n" in line for line in lines):
        raise AnswerBroken("a header field contains a line break")
    return b"\r\n".join(lines) + b"\r\n\r\n"
