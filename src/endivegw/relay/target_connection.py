"""One connection to a target: send a request, and read the answer to it."""

from __future__ import annotations

from typing import Callable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream
from attrs import frozen

from endivegw.relay.messages import TargetHead
from endivegw.relay.wire import HeaderFields
from endivegw.sockets import (
    has_no_pending_input,
    has_unacknowledged_output,
    reset_on_close,
)

__all__ = ["AnswerBroken", "OutgoingRequest", "TargetConnection"]

#: Bodies up to this many bytes fit into the socket buffers and are sent before the
#: answer is read.
_SMALL_BODY_BYTES = 16384

#: Maximum number of answers to earlier requests that are skipped before the request
#: fails.
_MAX_STALE_ANSWERS = 2

_RECEIVE_BYTES = 65536


class AnswerBroken(Exception):
    """Raised when an answer is missing, incomplete or not valid HTTP."""


#: Errors while the head of an answer is read.
_READ_ERRORS = (
    AnswerBroken,
    anyio.BrokenResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
    OSError,
)


@frozen
class OutgoingRequest:
    """Hold a request as it is sent to a target."""

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes


class TargetConnection:
    """Speak HTTP/1.1 with one target, one request at a time.

    :param opened_s: time at which the connection was opened; its first idle period
        starts then.
    """

    def __init__(self, stream: SocketStream, address: str, opened_s: float) -> None:
        self._stream = stream
        self.address = address
        self.idle_since_s = opened_s
        #: Idle time-out that the target announced, None if it announced none.
        self.keep_alive_s: float | None = None
        self.used = False
        self._parser = h11.Connection(h11.CLIENT)
        self._sent = True
        self._complete = False

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange left the connection ready for another."""
        return (
            self._complete
            and self._sent
            and self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and not self._parser.trailing_data[0]
        )

    def has_no_input(self) -> bool:
        """Return whether nothing was received while the connection was idle.

        Received bytes cannot belong to a future answer. An end of stream means that
        the target has closed the connection, and a request sent now would be lost.
        """
        return has_no_pending_input(self._stream.extra(SocketAttribute.raw_socket))

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
        self.used = True
        self._complete = False
        self._sent = False
        self._parser = h11.Connection(h11.CLIENT)
        data = self._encode(outgoing)
        try:
            if len(outgoing.body) <= _SMALL_BODY_BYTES:
                await self._stream.send(data)
                self._sent = True
                return await self._read_matching_head(outgoing, matches_request)
            return await self._send_large_request(outgoing, data, matches_request)
        except (anyio.BrokenResourceError, anyio.EndOfStream, OSError) as error:
            raise AnswerBroken(f"{type(error).__name__} before an answer") from error
        except h11.ProtocolError as error:
            raise AnswerBroken(f"invalid HTTP answer: {error}") from error

    async def body(self) -> bytes | None:
        """Return the next chunk of the answer's body, None at its end.

        :raises AnswerBroken: if the body is incomplete.
        """
        try:
            while True:
                event = self._parser.next_event()
                match event:
                    case h11.Data():
                        return bytes(event.data)
                    case h11.EndOfMessage():
                        self._complete = True
                        return None
                    case h11.ConnectionClosed():
                        raise AnswerBroken("the connection closed within the answer")
                await self._receive()
        except (anyio.BrokenResourceError, OSError) as error:
            raise AnswerBroken(f"{type(error).__name__} within an answer") from error
        except h11.ProtocolError as error:
            raise AnswerBroken(f"incomplete answer: {error}") from error

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

    def _encode(self, outgoing: OutgoingRequest) -> bytes:
        fields = list(outgoing.fields)
        if outgoing.body or outgoing.method in (b"POST", b"PUT", b"PATCH"):
            fields.append((b"content-length", str(len(outgoing.body)).encode()))
        request = h11.Request(
            method=outgoing.method, target=outgoing.target, headers=fields
        )
        parts = [self._parser.send(request)]
        if outgoing.body:
            parts.append(self._parser.send(h11.Data(data=outgoing.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _send_large_request(
        self,
        outgoing: OutgoingRequest,
        data: bytes,
        matches_request: Callable[[int, HeaderFields], bool],
    ) -> TargetHead:
        """Send a large body and wait for the answer concurrently.

        A target may answer before it has read the body. Waiting for the send first
        could deadlock both sides. A send that is stopped midway leaves the connection
        unusable, which :attr:`reusable` then reports.

        The first bytes are sent before this method yields to the event loop, so that
        what the sender of the request has just checked still holds.
        """
        head: TargetHead | None = None
        read_error: Exception | None = None
        send_error: Exception | None = None

        async def read_head() -> None:
            nonlocal head, read_error
            try:
                head = await self._read_matching_head(outgoing, matches_request)
            except _READ_ERRORS as error:
                read_error = error
            # The rest of the body is not sent once the answer is known.
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_head)
            try:
                await self._stream.send(data)
                self._sent = True
            except (anyio.BrokenResourceError, OSError) as error:
                # An answer may have been received nevertheless. If not, reading it
                # fails as well and reports the error.
                send_error = error
        if head is None:
            raise AnswerBroken(
                f"no answer: {read_error!r} {send_error!r}"
            ) from read_error
        return head

    async def _read_matching_head(
        self,
        outgoing: OutgoingRequest,
        matches_request: Callable[[int, HeaderFields], bool],
    ) -> TargetHead:
        """Return the head of this request's answer, skipping stale answers."""
        for _ in range(_MAX_STALE_ANSWERS):
            head = await self._read_head()
            if matches_request(head.status, head.fields):
                self._record_keep_alive(head)
                return head
            await self._skip_stale_answer(outgoing)
        raise AnswerBroken("received only answers to other requests")

    async def _read_head(self) -> TargetHead:
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    return TargetHead(event.status_code, list(event.headers))
                case h11.InformationalResponse():
                    continue
                case h11.ConnectionClosed() | h11.EndOfMessage():
                    raise AnswerBroken("the connection closed before the answer")
            await self._receive()

    async def _skip_stale_answer(self, outgoing: OutgoingRequest) -> None:
        """Read a stale answer to its end and prepare to read the next one."""
        while await self.body() is not None:
            pass
        rest, closed = self._parser.trailing_data
        self._complete = False
        self._parser = h11.Connection(h11.CLIENT)
        self._encode(outgoing)
        if rest:
            self._parser.receive_data(rest)
        if closed:
            raise AnswerBroken("the connection closed after a stale answer")

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            data = b""
        self._parser.receive_data(data)

    def _record_keep_alive(self, head: TargetHead) -> None:
        for name, value in head.fields:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    self.keep_alive_s = float(number)
