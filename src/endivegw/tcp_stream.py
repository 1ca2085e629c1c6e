"""TCP connections for traffic of many small messages.

The streams of anyio stop reading after each receive and yield to the event loop on each
send. A relay of event streams would spend most of its processor time on that.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from typing import Any, Callable, Coroutine, Mapping, cast

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from attrs import define, field

from endivegw.capacity import HeldMemory, HeldShare

__all__ = ["TcpStream", "TrafficMeter", "connect_tcp", "serve_tcp"]

#: Received bytes of one connection that are buffered until reading from it stops.
_MAX_UNREAD_BYTES = 65536

#: Maximum bytes of one connection that are received at once.
_RECEIVE_BYTES = 65536

#: Connections that are accepted before the event loop runs anything else.
_ACCEPTED_AT_ONCE = 8

#: Errors of ``accept`` that last until something else is closed, and the time until the
#: next attempt.
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT_AGAIN_S = 0.05


@define
class TrafficMeter:
    """Count a set of connections and what is held for them.

    :ivar open_connections: number of connections that are open now.
    :ivar held_bytes: bytes that were received and not yet read by their task, and bytes
        that the kernel has not yet taken from a sender.
    :ivar blocked: connections whose peer does not read, or not yet all; as of the last
        :meth:`update`, those whose peer has read nothing for the longest time first.
    :ivar memory: sum of what is held for these connections and others.
    :ivar receive_buffer: receives the bytes of one connection after the other.
    """

    open_connections: int = 0
    held_bytes: int = 0
    memory: HeldMemory = field(factory=HeldMemory)
    blocked: dict[TcpStream, None] = field(factory=dict)
    receive_buffer: bytearray = field(factory=lambda: bytearray(_RECEIVE_BYTES))

    def update(self) -> None:
        """Count what peers have read since the last call of what was held for them."""
        for stream in list(self.blocked):
            if stream.update_unsent():
                del self.blocked[stream]
                self.blocked[stream] = None


class _ClosedSocket:
    """Stand in for the socket of a closed connection."""

    def fileno(self) -> int:
        return -1


class TcpStream(asyncio.BufferedProtocol, ByteStream):
    """One TCP connection, which one task reads and one task writes.

    :param meter: counts the connection and what is held for it.
    :ivar idle_timeout_s: time without data after which :meth:`receive` fails with
        :exc:`TimeoutError`; None to wait for ever.
    """

    def __init__(self, meter: TrafficMeter | None = None) -> None:
        self._meter = meter if meter is not None else TrafficMeter()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._received: deque[bytes] = deque()
        self._unread_bytes = 0
        self._unsent_bytes = 0
        self._reading_paused = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._writing_paused = False
        self._at_eof = False
        self._closed = False
        self._error: Exception | None = None
        self._discarding = False
        self.idle_timeout_s: float | None = None
        #: What is held for this connection, by whoever uses it.
        self.held = HeldShare(self._meter.memory)

    # Interface for the tasks that use the connection.

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes that :meth:`extra` provides."""
        return {SocketAttribute.raw_socket: self._raw_socket}

    @property
    def has_input(self) -> bool:
        """Return whether received data or an end of the stream is pending."""
        return bool(self._received) or self._at_eof or self._is_closing()

    @property
    def unread_bytes(self) -> int:
        """Return the size of what was received and not read yet."""
        return self._unread_bytes

    def discard_input(self) -> None:
        """Drop what was received and is not read yet, and all that follows."""
        self._discarding = True
        self._discard_unread()
        self._resume_reading()

    async def receive(self, max_bytes: int = _MAX_UNREAD_BYTES) -> bytes:
        """Return the next received bytes, waiting for some if there are none.

        :raises anyio.EndOfStream: if the peer has sent everything.
        :raises anyio.BrokenResourceError: if the connection broke.
        :raises TimeoutError: if no data came for :attr:`idle_timeout_s`.
        """
        if not self._received:
            await self._wait_input()
        if not self._received:
            self._raise_if_unusable()
            raise anyio.EndOfStream
        data = self._received.popleft()
        if len(data) > max_bytes:
            self._received.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._count_unread(-len(data))
        if self._unread_bytes < _MAX_UNREAD_BYTES:
            self._resume_reading()
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; return when the kernel has taken all of them.

        :raises anyio.BrokenResourceError: if the connection broke.
        """
        if self._writing_paused:
            await self._wait_writable()
        self._raise_if_unusable()
        if self._is_closing():
            raise anyio.BrokenResourceError
        assert self._transport is not None
        self._transport.write(item)
        if self._writing_paused:
            await self._wait_writable()
            self._raise_if_unusable()

    async def send_eof(self) -> None:
        """Tell the peer that nothing more will be sent."""
        if self._transport is not None and not self._is_closing():
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection at once; data that the kernel holds is still sent."""
        self.abort()
        await anyio.lowlevel.checkpoint()

    def abort(self) -> None:
        """Close the connection like :meth:`aclose`, without waiting."""
        self._closed = True
        self._discard_unread()
        self._release_unsent()
        self.held.close()
        if self._transport is not None:
            self._transport.abort()

    def update_unsent(self) -> bool:
        """Count what is still unsent; return whether the peer has read some of it."""
        if self._writer is None or self._transport is None:
            return False
        read_bytes = self._unsent_bytes - self._transport.get_write_buffer_size()
        self._count_unsent(-read_bytes)
        return read_bytes > 0

    # Interface for the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the transport; writes that the kernel does not take pause senders."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)
        self._meter.open_connections += 1
        self._meter.memory.enter(self.held)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the next bytes are received."""
        return self._meter.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes, and stop reading once too many are not read."""
        if self._discarding:
            return
        with memoryview(self._meter.receive_buffer) as received:
            self._received.append(bytes(received[:nbytes]))
        self._count_unread(nbytes)
        if self._unread_bytes >= _MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            if self._transport is not None and not self._is_closing():
                self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Record that the peer sends nothing more; the connection stays writable."""
        self._at_eof = True
        _wake(self._reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record why the connection ended, and wake its tasks."""
        self._meter.open_connections -= 1
        if self._closed:
            # Nobody reads what was received.
            self._discard_unread()
        self._at_eof = True
        self._error = exc
        self._writing_paused = False
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Let senders wait for the kernel."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let senders continue."""
        self._writing_paused = False
        _wake(self._writer)

    # Implementation.

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _raw_socket(self) -> Any:
        """Return the socket, or a stand-in without descriptor once it is closed.

        The descriptor of a closed connection may belong to another one.
        """
        if self._transport is None or self._is_closing():
            return _ClosedSocket()
        return self._transport.get_extra_info("socket")

    def _raise_if_unusable(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error

    async def _wait_input(self) -> None:
        if self._at_eof or self._closed:
            return
        self._reader = self._loop.create_future()
        timer: asyncio.TimerHandle | None = None
        if self.idle_timeout_s is not None:
            timer = self._loop.call_later(
                self.idle_timeout_s, _fail, self._reader, self.idle_timeout_s
            )
        try:
            await self._reader
        finally:
            self._reader = None
            if timer is not None:
                timer.cancel()

    async def _wait_writable(self) -> None:
        assert self._transport is not None
        self._meter.blocked[self] = None
        self._count_unsent(self._transport.get_write_buffer_size())
        self._writer = self._loop.create_future()
        try:
            await self._writer
        finally:
            self._writer = None
            self._release_unsent()

    def _release_unsent(self) -> None:
        self._meter.blocked.pop(self, None)
        self._count_unsent(-self._unsent_bytes)

    def _discard_unread(self) -> None:
        self._received.clear()
        self._count_unread(-self._unread_bytes)

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            if self._transport is not None and not self._is_closing():
                self._transport.resume_reading()

    def _count_unread(self, size_bytes: int) -> None:
        self._unread_bytes += size_bytes
        self._count_held(size_bytes)

    def _count_unsent(self, size_bytes: int) -> None:
        self._unsent_bytes += size_bytes
        self._count_held(size_bytes)

    def _count_held(self, size_bytes: int) -> None:
        self._meter.held_bytes += size_bytes
        if size_bytes > 0:
            self.held.add(size_bytes)
        else:
            self.held.release(-size_bytes)


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _fail(waiter: asyncio.Future[None], timeout_s: float) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError(f"no data for {timeout_s:g} s"))


async def connect_tcp(
    host: str, port: int, meter: TrafficMeter | None = None
) -> TcpStream:
    """Open a connection.

    :raises OSError: if it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(lambda: TcpStream(meter), host, port)
    return stream


async def serve_tcp(
    handler: Callable[[TcpStream], Coroutine[Any, Any, None]],
    host: str,
    port: int,
    *,
    backlog: int,
    tasks: TaskGroup,
    meter: TrafficMeter | None = None,
    make_room: Callable[[], bool] = lambda: True,
) -> None:
    """Accept connections until cancelled, and handle each in a task of its own.

    :param tasks: runs the handlers, which outlive the listener.
    :param backlog: maximum number of connections that wait to be accepted.
    :param make_room: called for each accepted connection, which is closed at once if it
        returns False.
    """
    loop = asyncio.get_running_loop()

    async def serve(client: socket.socket) -> None:
        try:
            _, stream = await loop.connect_accepted_socket(
                lambda: TcpStream(meter), client
            )
        except OSError:
            client.close()
            return
        await handler(stream)

    def accept_some() -> None:
        for _ in range(_ACCEPTED_AT_ONCE):
            try:
                client, _ = listener.accept()
            except OSError as error:
                if error.errno in _OUT_OF_DESCRIPTORS:
                    # The listener stays readable, which would keep the loop busy.
                    loop.remove_reader(listener)
                    loop.call_later(_ACCEPT_AGAIN_S, resume)
                return
            if not make_room():
                client.close()
                continue
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.start_soon(serve, client)

    def resume() -> None:
        if listener.fileno() >= 0:
            loop.add_reader(listener, accept_some)

    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(backlog)
        loop.add_reader(listener, accept_some)
        try:
            await anyio.sleep_forever()
        finally:
            loop.remove_reader(listener)
