"""Split a byte stream into server-sent events and enforce their order."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["EventSplitter", "EventOrder", "StreamEvent"]

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


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

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this data."""
        self._buffer += data
        found: list[StreamEvent] = []
        while True:
            end = self._find_event_end()
            if end < 0:
                return found
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            found.append(StreamEvent(event, _event_id(event)))

    def _find_event_end(self) -> int:
        ends = [
            at + len(mark)
            for mark in _EVENT_TERMINATORS
            if (at := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=-1)


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
