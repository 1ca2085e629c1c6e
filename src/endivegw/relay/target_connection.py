"""One connection to a target: send a request, read the answer that is its own."""

from __future__ import annotations

from typing import Callable

import anyio
import h11
from anyio.abc import SocketStream
from attrs import frozen

from endivegw.relay.messages import TargetHead
from endivegw.relay.sockets import is_quiet
from endivegw.relay.wire import HeaderFields

__all__ = ["AnswerBroken", "Outgoing", "TargetConnection"]

#: Bodies up to this many bytes fit the socket's buffers and are sent before the
#: answer is read.
_SMALL_BODY_BYTES = 16384

#: How many answers to earlier requests are skipped before an answer is given up.
_MOST_STALE = 2

_RECEIVE_BYTES = 65536


class AnswerBroken(Exception):
    """Say that an answer ended before its end, or is none."""


@frozen
class Outgoing:
    """Hold a request as it goes to a target."""

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes


class TargetConnection:
    """Speak HTTP/1.1 with one target, one request at a time.

    :param opened_s: when it was opened; the start of its first idle time.
    """

    def __init__(self, stream: SocketStream, address: str, opened_s: float) -> None:
        self._stream = stream
        self.address = address
        self.idle_since_s = opened_s
        #: How long the target keeps an idle connection, None where unsaid.
        self.keep_alive_s: float | None = None
        self.used = False
        self._parser = h11.Connection(h11.CLIENT)
        self._sent = True
        self._whole = False

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange left the connection clean."""
        return (
            self._whole
            and self._sent
            and self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and not self._parser.trailing_data[0]
        )

    def quiet(self) -> bool:
        """Return whether nothing came while it was idle.

        Bytes that came are part of no answer to come; an end means that the
        target has closed it, and what is sent now would be lost.
        """
        return is_quiet(self._stream)

    async def ask(
        self, outgoing: Outgoing, is_own: Callable[[int, HeaderFields], bool]
    ) -> TargetHead:
        """Send a request and return the head of its answer.

        :param is_own: whether an answer with this status and these fields is
            the answer to this request.
        :raises AnswerBroken: where none came; the request may have run.
        """
        self.used = True
        self._whole = False
        self._sent = False
        self._parser = h11.Connection(h11.CLIENT)
        data = self._encode(outgoing)
        try:
            if len(outgoing.body) <= _SMALL_BODY_BYTES:
                await self._stream.send(data)
                self._sent = True
                return await self._own_head(outgoing, is_own)
            return await self._ask_at_length(outgoing, data, is_own)
        except (anyio.BrokenResourceError, anyio.EndOfStream, OSError) as error:
            raise AnswerBroken(f"{type(error).__name__} before an answer") from error
        except h11.ProtocolError as error:
            raise AnswerBroken(f"no answer in the protocol: {error}") from error

    async def body(self) -> bytes | None:
        """Return the next piece of the answer's body, None at its end.

        :raises AnswerBroken: where it ended before its end.
        """
        try:
            while True:
                event = self._parser.next_event()
                match event:
                    case h11.Data():
                        return bytes(event.data)
                    case h11.EndOfMessage():
                        self._whole = True
                        return None
                    case h11.ConnectionClosed():
                        raise AnswerBroken("the connection ended")
                await self._receive()
        except (anyio.BrokenResourceError, OSError) as error:
            raise AnswerBroken(f"{type(error).__name__} within an answer") from error
        except h11.ProtocolError as error:
            raise AnswerBroken(f"an answer broke off: {error}") from error

    async def close(self) -> None:
        """Close at once; a target stops work whose connection is gone."""
        await anyio.aclose_forcefully(self._stream)

    def _encode(self, outgoing: Outgoing) -> bytes:
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

    async def _ask_at_length(
        self,
        outgoing: Outgoing,
        data: bytes,
        is_own: Callable[[int, HeaderFields], bool],
    ) -> TargetHead:
        """Send a long body while the answer is awaited.

        A target may answer before it has read the body. Waiting for the send
        first would leave both sides waiting; ending it midway leaves the
        connection unusable, which :attr:`reusable` then says.
        """
        broken: list[Exception] = []

        async def send() -> None:
            try:
                await self._stream.send(data)
                self._sent = True
            except (anyio.BrokenResourceError, OSError) as error:
                # The answer may be there all the same; without one, reading
                # fails as well and says so.
                broken.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            try:
                head = await self._own_head(outgoing, is_own)
            except (h11.ProtocolError, OSError, anyio.EndOfStream) as error:
                failure: Exception | None = error
            except anyio.BrokenResourceError as error:
                failure = error
            else:
                failure = None
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise AnswerBroken(f"no answer: {failure!r} {broken!r}") from failure
        return head

    async def _own_head(
        self, outgoing: Outgoing, is_own: Callable[[int, HeaderFields], bool]
    ) -> TargetHead:
        """Return the first head that is this request's, skipping stale answers."""
        for _ in range(_MOST_STALE):
            head = await self._head()
            if is_own(head.status, head.fields):
                self._note_keep_alive(head)
                return head
            await self._skip(outgoing)
        raise AnswerBroken("only answers to other requests came")

    async def _head(self) -> TargetHead:
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    return TargetHead(event.status_code, list(event.headers))
                case h11.InformationalResponse():
                    continue
                case h11.ConnectionClosed() | h11.EndOfMessage():
                    raise AnswerBroken("the connection ended before an answer")
            await self._receive()

    async def _skip(self, outgoing: Outgoing) -> None:
        """Read a stale answer to its end, and expect the next one."""
        while await self.body() is not None:
            pass
        rest, closed = self._parser.trailing_data
        self._whole = False
        self._parser = h11.Connection(h11.CLIENT)
        self._encode(outgoing)
        if rest:
            self._parser.receive_data(rest)
        if closed:
            raise AnswerBroken("the connection ended after a stale answer")

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            data = b""
        self._parser.receive_data(data)

    def _note_keep_alive(self, head: TargetHead) -> None:
        for name, value in head.fields:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    self.keep_alive_s = float(number)
