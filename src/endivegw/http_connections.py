"""Share memory, processor time and descriptors between the connections of clients.

uvicorn parses all that was received of a connection at once, buffers it for the
application, and waits for the rest of a request without a time limit.
"""

from __future__ import annotations

import asyncio
from typing import Any, Callable, Mapping, cast

from attrs import define
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl

from endivegw.capacity import (
    ConnectionLimit,
    ConnectionState,
    HeldMemory,
    HeldShare,
)
from endivegw.http_protocol import BoundedHttpProtocol

__all__ = [
    "BODY_COPIES",
    "ClientLimits",
    "RequestInput",
    "SharedHttpProtocol",
    "request_input",
]

_INPUT = "endivegw.input"

#: Bytes that are parsed before other connections get their turn. Heads are small and
#: expensive, so that fewer of their bytes are parsed at once.
_HEAD_PIECE_BYTES = 2048
_BODY_PIECE_BYTES = 16384

#: Requests of one connection that are parsed before the first of them is answered.
_MAX_PIPELINED = 16

#: Copies of a body while its request is in progress: as received, as parsed, and as
#: sent on.
BODY_COPIES = 4

#: Time for the rest of a body whose request was answered without it.
_DROP_TIMEOUT_S = 5.0

#: Time until a timer is checked again that passed while the process was paused.
_PENDING_INPUT_S = 0.1


@define
class ClientLimits:
    """Hold what the connections of one server share.

    :ivar memory: bounds what is held for them.
    :ivar connections: bounds their number.
    :ivar unused_timeout_s: time without a byte after which a new connection is closed.
    :ivar head_timeout_s: longest time for the head of a request.
    :ivar full_response: response to a request that gives way to others.
    :ivar late_response: response to a request whose head was late.
    """

    memory: HeldMemory
    connections: ConnectionLimit[SharedHttpProtocol]
    unused_timeout_s: float
    head_timeout_s: float
    full_response: bytes
    late_response: bytes


@define
class RequestInput:
    """Tell the application about the body of one request.

    :ivar gave_way: whether the body was dropped in favour of other requests.
    :ivar passed_on: whether a part of it was sent to a target.
    """

    share: HeldShare
    gave_way: bool = False
    passed_on: bool = False
    held_bytes: int = 0

    def add(self, size_bytes: int) -> None:
        """Count a received part of the body."""
        held_bytes = size_bytes * BODY_COPIES
        self.held_bytes += held_bytes
        self.share.add(held_bytes)

    def take(self, size_bytes: int) -> None:
        """Count a part of the body that was sent on and is not held any more."""
        held_bytes = min(self.held_bytes, size_bytes * BODY_COPIES)
        self.held_bytes -= held_bytes
        self.share.release(held_bytes)

    def release(self) -> None:
        """Count nothing of the body any more."""
        self.share.release(self.held_bytes)
        self.held_bytes = 0


def request_input(scope: Mapping[str, Any]) -> RequestInput | None:
    """Return the input of a request; None if its server does not share memory.

    :param scope: the ASGI scope of the request.
    """
    found: RequestInput | None = scope.get("extensions", {}).get(_INPUT)
    return found


class _InputFlow(FlowControl):
    """Keep reading paused while received bytes wait to be parsed.

    :ivar held: whether reading stays paused.
    """

    def __init__(
        self, transport: asyncio.Transport, on_wanted: Callable[[], None]
    ) -> None:
        super().__init__(transport)
        self.held = False
        self._on_wanted = on_wanted

    def resume_reading(self) -> None:
        """Read on, unless bytes wait to be parsed."""
        if self.held:
            self._on_wanted()
        else:
            super().resume_reading()


class SharedHttpProtocol(BoundedHttpProtocol):
    """Parse one connection in turns with others, within limits that all share."""

    def __init__(self, *args: Any, limits: ClientLimits, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._held = HeldShare(limits.memory, holder=self)
        self._unparsed = bytearray()
        #: Parts of a body that the parser has found in the present piece.
        self._found_body = bytearray()
        self._is_scheduled = False
        self._gave_way = False
        self._timer: asyncio.TimerHandle | None = None
        #: The input of the latest request.
        self._input: RequestInput | None = None

    # Called by the event loop.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Make room for the connection, or close it."""
        super().connection_made(transport)
        self.flow = _InputFlow(transport, self._schedule)
        connections = self._limits.connections
        if connections.is_full:
            waiting = connections.pop_waiting()
            if waiting is None:
                transport.abort()
                return
            waiting.transport.abort()
        connections.set_state(self, ConnectionState.UNUSED)
        self._limits.memory.enter(self._held)
        self._start_timer(self._limits.unused_timeout_s, self._close_unused)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self._stop_timer()
        self._unparsed.clear()
        self._limits.connections.remove(self)
        self._held.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, some at a time."""
        if self._gave_way:
            return
        self._unparsed += data
        self._held.add(len(data))
        if not self._in_message and self._timer is None:
            self._start_timer(self._limits.head_timeout_s, self._end_late)
        if not self._is_scheduled:
            self._parse_some()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start the time limit of the head, and count for the new request."""
        super().on_message_begin()
        self._input = RequestInput(self._held)
        extensions = cast(dict[str, Any], self.scope["extensions"])
        extensions[_INPUT] = self._input
        self._start_timer(self._limits.head_timeout_s, self._end_late)
        if not self._is_answering:
            self._limits.connections.set_state(self, ConnectionState.RECEIVING)

    def on_headers_complete(self) -> None:
        """Stop the time limit of the head."""
        super().on_headers_complete()
        if self._in_body:
            self._stop_timer()

    def on_body(self, body: bytes) -> None:
        """Collect the parts of one piece: there may be one for each byte."""
        self._record_progress()
        self._found_body += body

    def on_message_complete(self) -> None:
        """Record that the request is whole."""
        self._pass_body()
        self._stop_timer()
        super().on_message_complete()
        self._limits.connections.set_state(self, ConnectionState.BUSY)

    # Called by uvicorn.

    def on_response_complete(self) -> None:
        """Parse on, and bound the time for the rest of a body."""
        answered = self._answering
        if answered is not None:
            answered_input = request_input(answered.scope)
            if answered_input is not None:
                answered_input.release()
        super().on_response_complete()
        if self._in_body and answered is self.cycle:
            self._start_timer(_DROP_TIMEOUT_S, self.transport.close)
        elif not self._is_answering and not self._in_message:
            self._limits.connections.set_state(self, ConnectionState.IDLE)
        self._schedule()

    # Interface for the memory that connections share.

    @property
    def releasable_bytes(self) -> int:
        """Return the size of what belongs to requests that have not run."""
        if not self._in_body:
            return len(self._unparsed)
        if not self._is_body_releasable or self._input is None:
            # A target may have got a part of the body.
            return 0
        return len(self._unparsed) + self._input.held_bytes

    def give_up(self) -> None:
        """Drop what belongs to requests that have not run, and refuse them."""
        is_body_releasable = self._is_body_releasable
        self._gave_way = True
        self._drop_unparsed()
        if is_body_releasable and self._input is not None:
            self._input.gave_way = True
            self._input.release()
            self.cycle.body = bytearray()
            self.cycle.keep_alive = False
            self.cycle.message_event.set()
        else:
            self._end_with(self._limits.full_response)

    # Implementation.

    @property
    def _is_answering(self) -> bool:
        """Return whether a request is being answered."""
        return self._answering is not None and not self._answering.response_complete

    @property
    def _is_body_releasable(self) -> bool:
        """Return whether the application waits for the rest of a body."""
        request = self._input
        return (
            self._in_body
            and self._answering is self.cycle
            and not self.cycle.response_started
            and request is not None
            and not request.passed_on
        )

    def _schedule(self) -> None:
        """Parse more in a later turn of the event loop."""
        if self._unparsed and not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._parse_some)

    def _parse_some(self) -> None:
        self._is_scheduled = False
        if self.parser is None or self.transport.is_closing():
            self._drop_unparsed()
            return
        if self._unparsed and not self._is_application_behind():
            size = _BODY_PIECE_BYTES if self._in_body else _HEAD_PIECE_BYTES
            piece = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            self._held.release(len(piece))
            super().data_received(piece)
            self._pass_body()
            if self.transport.is_closing():
                self._drop_unparsed()
                return
            if not self._is_application_behind():
                self._schedule()
        self._hold_reading(bool(self._unparsed))

    def _is_application_behind(self) -> bool:
        """Return whether enough is parsed that the application has not taken yet."""
        if len(self.pipeline) >= _MAX_PIPELINED:
            return True
        if not self._in_body or self.cycle.response_complete:
            return False
        return len(self.cycle.body) > HIGH_WATER_LIMIT

    def _hold_reading(self, held: bool) -> None:
        flow = self.flow
        assert isinstance(flow, _InputFlow)
        flow.held = held
        if held:
            flow.pause_reading()
        elif not self.pipeline and not self._is_application_behind():
            flow.resume_reading()

    def _pass_body(self) -> None:
        """Give the application the parts of the body that were found."""
        if not self._found_body:
            return
        body = bytes(self._found_body)
        self._found_body.clear()
        if not self.cycle.response_complete and self._input is not None:
            self._input.add(len(body))
        if not self._gave_way:
            super().on_body(body)

    def _drop_unparsed(self) -> None:
        self._held.release(len(self._unparsed))
        self._unparsed.clear()

    def _has_no_pending_input(self) -> bool:
        return not self._unparsed and super()._has_no_pending_input()

    def _start_timer(self, timeout_s: float, expire: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(timeout_s, expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_unused(self) -> None:
        if self._has_no_pending_input():
            self.transport.close()

    def _end_late(self) -> None:
        """End a request whose head is late, unless its rest was not read yet."""
        if not self._has_no_pending_input():
            self._start_timer(_PENDING_INPUT_S, self._end_late)
            return
        self._end_with(self._limits.late_response)
