"""Cut a stream of events into whole ones, and keep their order."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["EventCutter", "EventOrder", "StreamEvent"]

_ENDS = (b"\n\n", b"\r\n\r\n")


@frozen
class StreamEvent:
    """Hold one whole event; its id is None where it has none."""

    data: bytes
    event_id: int | None


@define
class EventCutter:
    """Take bytes in, give whole events out.

    A target may stop in the middle of an event. Bytes that were passed on by
    then could not be taken back, and what a second target sends would be glued
    to them; so only whole events are passed on.
    """

    _buffer: bytearray = field(factory=bytearray)

    @property
    def has_rest(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now whole."""
        self._buffer += data
        found: list[StreamEvent] = []
        while True:
            end = self._end()
            if end < 0:
                return found
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            found.append(StreamEvent(event, _event_id(event)))

    def _end(self) -> int:
        ends = [
            at + len(mark) for mark in _ENDS if (at := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=-1)


@define
class EventOrder:
    """Let each event through once and in order.

    :ivar last_id: the last event that was passed on; None before the first.
    """

    last_id: int | None = None

    def accept(self, event: StreamEvent) -> bool | None:
        """Return whether to pass an event on; None where one before it is missing.

        A second target goes on after the last event it was told. One that
        starts over repeats events, which are dropped; one that skips some
        cannot be used.
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
