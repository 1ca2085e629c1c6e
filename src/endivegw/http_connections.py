"""Share the event loop between the connections of clients.

uvicorn parses all that was received of a connection at once.
"""

from __future__ import annotations

import asyncio
from typing import Any, Callable

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl

from endivegw.http_protocol import BoundedHttpProtocol

__all__ = ["SharedHttpProtocol"]

#: Bytes that are parsed before other connections get their turn. Heads are small and
#: expensive, so that fewer of their bytes are parsed at once.
_HEAD_PIECE_BYTES = 2048
_BODY_PIECE_BYTES = 16384

#: Requests of one connection that are parsed before the first of them is answered.
_MAX_PIPELINED = 16


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
    """Parse one connection in turns with others."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._unparsed = bytearray()
        #: Parts of a body that the parser has found in the present piece.
        self._found_body = bytearray()
        self._is_scheduled = False

    # Called by the event loop.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Keep reading paused while received bytes wait to be parsed."""
        super().connection_made(transport)
        self.flow = _InputFlow(transport, self._schedule)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was not parsed."""
        self._unparsed.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, some at a time."""
        self._unparsed += data
        if not self._is_scheduled:
            self._parse_some()

    # Called by the parser.

    def on_body(self, body: bytes) -> None:
        """Collect the parts of one piece: there may be one for each byte."""
        self._record_progress()
        self._found_body += body

    def on_message_complete(self) -> None:
        """Record that the request is whole."""
        self._pass_body()
        super().on_message_complete()

    # Called by uvicorn.

    def on_response_complete(self) -> None:
        """Parse on."""
        super().on_response_complete()
        self._schedule()

    # Implementation.

    def _schedule(self) -> None:
        """Parse more in a later turn of the event loop."""
        if self._unparsed and not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._parse_some)

    def _parse_some(self) -> None:
        self._is_scheduled = False
        if self.parser is None or self.transport.is_closing():
            self._unparsed.clear()
            return
        if self._unparsed and not self._is_application_behind():
            size = _BODY_PIECE_BYTES if self._in_body else _HEAD_PIECE_BYTES
            piece = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            super().data_received(piece)
            self._pass_body()
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
        super().on_body(body)

    def _has_no_pending_input(self) -> bool:
        return not self._unparsed and super()._has_no_pending_input()
