"""A bounded buffer that serves one answer to all its readers."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import Usage

__all__ = ["AnswerBuffer", "BufferEnd", "BufferFailure", "BufferHead", "DataLost"]


@frozen
class BufferHead:
    """Status and header fields of a plain service's answer."""

    status: int
    fields: tuple[tuple[str, str], ...]


@frozen
class BufferEnd:
    """The answer is complete."""

    length_bytes: int
    usage: Usage
    finish_reason: str


@frozen
class BufferFailure:
    """The answer failed and will not be completed.

    :param usage_final: False if the target may still be consuming tokens.
    :param target_end: identifies the start of the target that terminated during
        the answer; empty if none did.
    """

    reason: Reason
    detail: str
    usage: Usage
    usage_final: bool
    target_end: str = ""


@frozen
class DataLost:
    """The bytes at the offset were discarded to stay within the size limit."""


@define
class AnswerBuffer:
    """Buffer the bytes of an answer for concurrent readers and for replay.

    The start of the answer is discarded only when the answer exceeds
    ``limit_bytes`` and every reader is past that part. An answer within the limit
    is retained in full, so that a caller's retry can read it from its first byte.

    :param limit_bytes: maximum number of buffered bytes. An engine's answer of
        1,024 tokens takes about 200 KB as JSON; larger bodies of plain services
        pass through a window of this size.
    """

    limit_bytes: int
    head: BufferHead | None = None
    outcome: BufferEnd | BufferFailure | Refused | None = None
    _data: bytearray = field(factory=bytearray)
    _first_offset: int = 0

    @property
    def length_bytes(self) -> int:
        """Return the number of bytes received so far, discarded ones included."""
        return self._first_offset + len(self._data)

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held in memory."""
        return len(self._data)

    @property
    def full(self) -> bool:
        """Return whether the producer must wait for readers to advance."""
        return len(self._data) >= self.limit_bytes

    @property
    def replayable(self) -> bool:
        """Return whether a new reader can read the answer from its first byte."""
        return self._first_offset == 0

    def append(self, data: bytes) -> None:
        """Add bytes that the target produced.

        :raises InvariantError: if the answer has ended. A second run under the
            same identity would mix two answers.
        """
        if self.outcome is not None:
            raise InvariantError(
                f"{len(data)} bytes appended to an answer that has ended"
            )
        self._data += data

    def finish(self, usage: Usage, finish_reason: str) -> None:
        """Mark the answer as complete.

        :raises InvariantError: if the answer has already ended.
        """
        self._end(BufferEnd(self.length_bytes, usage, finish_reason))

    def fail(self, failure: BufferFailure | Refused) -> None:
        """Mark the answer as failed.

        :param failure: a refusal if the target reported that it did not start the
            work.
        :raises InvariantError: if the answer has already ended.
        """
        self._end(failure)

    def read(self, offset_bytes: int, limit_bytes: int) -> bytes | DataLost:
        """Return up to ``limit_bytes`` from an offset, or b"" if none are available."""
        start = offset_bytes - self._first_offset
        if start < 0:
            return DataLost()
        return bytes(self._data[start : start + limit_bytes])

    def release(self, offset_bytes: int) -> None:
        """Discard the bytes before an offset if the buffer is full.

        :param offset_bytes: offset of the slowest reader, or the length if there
            is no reader.
        """
        if not self.full:
            return
        surplus = min(offset_bytes, self.length_bytes) - self._first_offset
        if surplus > 0:
            del self._data[:surplus]
            self._first_offset += surplus

    def discard(self) -> None:
        """Discard all bytes, to free memory for other answers."""
        self._first_offset = self.length_bytes
        self._data.clear()

    def _end(self, outcome: BufferEnd | BufferFailure | Refused) -> None:
        if self.outcome is not None:
            raise InvariantError("answer has already ended")
        self.outcome = outcome
