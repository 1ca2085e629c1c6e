"""Decode the body of a caller's request from received bytes."""

from __future__ import annotations

import httptools
from attrs import define, field

__all__ = ["ChunkedBody", "LengthBody", "MalformedBody", "RequestBody"]

#: Size of the parts in which a body is held. One growing buffer would be moved again
#: and again, which leaves gaps in the process's memory.
_PART_BYTES = 65536

#: Where the last chunk, or the trailers after it, end. Nothing behind the end of a body
#: may be given to the decoder, as it belongs to the next request.
_END = b"\r\n\r\n"

#: Makes the decoder expect chunks.
_CHUNKED_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"

#: Most bytes of framing for each byte of data. Chunks of one byte have six.
_MAX_FRAMING_PER_BYTE = 16


class MalformedBody(Exception):
    """Raised if received bytes are not the rest of a body."""


@define
class _Parts:
    """Hold received bytes.

    :ivar size: number of bytes.
    """

    size: int = 0
    _complete: list[bytes] = field(factory=list)
    _last: bytearray = field(factory=bytearray)

    def add(self, data: bytes | bytearray) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        self._last += data
        if len(self._last) >= _PART_BYTES:
            self._complete.append(bytes(self._last))
            self._last.clear()

    def take_all(self) -> bytes:
        """Return all bytes, and hold none any more."""
        data = b"".join([*self._complete, self._last])
        self.clear()
        return data

    def clear(self) -> None:
        """Hold nothing any more."""
        self.size = 0
        self._complete.clear()
        self._last = bytearray()


@define
class LengthBody:
    """Collect a body whose length is stated."""

    length: int
    _parts: _Parts = field(factory=_Parts)

    @property
    def size(self) -> int:
        """Return how many bytes of the body were received."""
        return self._parts.size

    @property
    def complete(self) -> bool:
        """Return whether the body was received completely."""
        return self._parts.size >= self.length

    def take(self, received: bytearray) -> None:
        """Take the bytes that belong to this body."""
        missing_bytes = self.length - self._parts.size
        self._parts.add(received[:missing_bytes])
        del received[:missing_bytes]

    def take_data(self) -> bytes:
        """Return what was received of the body, and hold nothing any more."""
        return self._parts.take_all()

    def clear(self) -> None:
        """Hold nothing any more."""
        self._parts.clear()


class ChunkedBody:
    """Decode a body that is sent in chunks; trailers are ignored.

    :param max_framing_bytes: most bytes of chunk sizes, extensions and trailers without
        data between them.
    :ivar complete: whether the end of the body was received.
    """

    def __init__(self, max_framing_bytes: int) -> None:
        self.complete = False
        self._parts = _Parts()
        #: Data in the bytes that are being decoded; there may be a part for each byte.
        self._found = bytearray()
        self._max_framing_bytes = max_framing_bytes
        self._taken_bytes = 0
        self._idle_bytes = 0
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self._parser.feed_data(_CHUNKED_HEAD)

    @property
    def size(self) -> int:
        """Return the size of the data that was received."""
        return self._parts.size + len(self._found)

    def take(self, received: bytearray) -> None:
        """Take the bytes that belong to this body.

        :raises MalformedBody: if they are not valid chunks.
        """
        taken_bytes = 0
        last_bytes = len(received) - _incomplete_end(received)
        while taken_bytes < last_bytes and not self.complete:
            found = received.find(_END, taken_bytes)
            part_end = last_bytes if found < 0 else found + len(_END)
            self._decode(bytes(received[taken_bytes:part_end]))
            taken_bytes = part_end
        del received[:taken_bytes]
        self._parts.add(self._found)
        self._found.clear()

    def take_data(self) -> bytes:
        """Return the data that was received, and hold nothing any more."""
        data = self._parts.take_all()
        self.clear()
        return data

    def clear(self) -> None:
        """Hold nothing any more; what follows cannot be decoded."""
        self._parts.clear()
        self._found.clear()
        # The parser refers back to this object, which would be released late.
        self._parser = None

    def _decode(self, part: bytes) -> None:
        assert self._parser is not None
        size_before = self.size
        try:
            self._parser.feed_data(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedBody(f"invalid chunk: {error}") from error
        self._taken_bytes += len(part)
        progressed = self.size > size_before
        self._idle_bytes = 0 if progressed else self._idle_bytes + len(part)
        framing_bytes = self._taken_bytes - self.size
        most_bytes = self.size * _MAX_FRAMING_PER_BYTE + self._max_framing_bytes
        if framing_bytes > most_bytes or self._idle_bytes > self._max_framing_bytes:
            raise MalformedBody(
                f"{framing_bytes} bytes of chunk framing for a body of {self.size} "
                "bytes"
            )

    # Called by the parser.

    def on_body(self, data: bytes) -> None:
        """Record a part of the body."""
        self._found += data

    def on_message_complete(self) -> None:
        """Record the end of the body."""
        self.complete = True


RequestBody = LengthBody | ChunkedBody


def _incomplete_end(received: bytearray) -> int:
    """Return how many of the last bytes may be the start of an end of the body."""
    for size in range(len(_END) - 1, 0, -1):
        if received.endswith(_END[:size]):
            return size
    return 0
