"""Split a byte stream into server-sent events and enforce their order."""

from __future__ import annotations

import re

from attrs import define, field, frozen

from endivegw.relay.answer_parser import AnswerBroken

__all__ = ["EventSplitter", "EventOrder", "StreamEvent"]

_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")

#: Bytes of an unfinished end of an event.
_PARTIAL_END_BYTES = 3

#: Maximum size of one event, which is held until it is complete.
_MAX_EVENT_BYTES = 1024 * 1024


@frozen
class StreamEvent:
    """Hold one complete event; the id is None if the event has none."""

    data: bytes
    event_id: int | None


@define
class EventSplitter:
    """Split received bytes into complete events.

    A target may stop in the middle of an event. Had the partial event been relayed,
    the data of a second target would be appended to it. Only complete events are
    therefore relayed.
    """

    _buffer: bytearray = field(factory=bytearray)
    #: Number of buffered bytes that contain no end of an event.
    _scanned: int = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this data.

        :raises AnswerBroken: if an event is too large.
        """
        buffer = self._buffer
        buffer += data
        found: list[StreamEvent] = []
        begin = 0
        for match in _EVENT_END.finditer(buffer, self._scanned):
            event = bytes(buffer[begin : match.end()])
            begin = match.end()
            found.append(StreamEvent(event, _event_id(event)))
        del buffer[:begin]
        if len(buffer) > _MAX_EVENT_BYTES:
            raise AnswerBroken(
                f"got {len(buffer)} bytes of an event, the limit is {_MAX_EVENT_BYTES}"
            )
        self._scanned = max(0, len(buffer) - _PARTIAL_END_BYTES)
        return found


@define
class EventOrder:
    """Accept each event once and in order.

    :ivar last_id: id of the last accepted event; None before the first.
    """

    last_id: int | None = None

    def accept(self, event: StreamEvent) -> bool | None:
        """Return whether to relay an event; None if an earlier one is missing.

        A second target resumes after the last event id that it was sent. If it starts
        over, its repeated events are dropped; if it skips events, its stream cannot
        be used.
        """
        if event.event_id is None:
            return True
        if self.last_id is not None:
            if event.event_id <= self.last_id:
                return False
            if event.event_id != self.last_id + 1:
                return None
        self.last_id = event.event_id
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
