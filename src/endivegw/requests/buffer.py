"""The bounded buffer that keeps one answer for all who read it."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import Usage

__all__ = ["AnswerBuffer", "BufferEnd", "BufferFailure", "BufferHead", "DataLost"]


@frozen
class BufferHead:
    """Hold a plain service's status and header fields."""

    status: int
    fields: tuple[tuple[str, str], ...]


@frozen
class BufferEnd:
    """Say that the answer is whole."""

    length_bytes: int
    usage: Usage
    finish_reason: str


@frozen
class BufferFailure:
    """Say that the answer will not become whole.

    :param usage_final: False where the target may still be consuming.
    :param target_end: names the start of the target that ended with the answer; empty
        where none did.
    """

    reason: Reason
    detail: str
    usage: Usage
    usage_final: bool
    target_end: str = ""


@frozen
class DataLost:
    """Say that the bytes at an offset were given up to stay within bounds."""


@define
class AnswerBuffer:
    """Keep the bytes of an answer while readers are at it, and for replay.

    The front is given up only when the answer outgrows ``limit_bytes`` and
    every reader is past it; an answer within the limit stays whole, so that a
    caller's retry can read it from its first byte.

    :param limit_bytes: what one answer may hold. An engine's answer of 1,024
        tokens takes some 200 KB as JSON; large bodies of plain services run
        through a window of this size.
    """

    limit_bytes: int
    head: BufferHead | None = None
    outcome: BufferEnd | BufferFailure | Refused | None = None
    _data: bytearray = field(factory=bytearray)
    _first_offset: int = 0

    @property
    def length_bytes(self) -> int:
        """Return how many bytes of the answer have come so far."""
        return self._first_offset + len(self._data)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes the buffer holds in memory."""
        return len(self._data)

    @property
    def full(self) -> bool:
        """Return whether the producer must wait for readers."""
        return len(self._data) >= self.limit_bytes

    @property
    def whole(self) -> bool:
        """Return whether a new reader can get every byte."""
        return self._first_offset == 0

    def append(self, data: bytes) -> None:
        """Add what the target made.

        :raises InvariantError: after the end: a second run under the same
            identity would mix two answers.
        """
        if self.outcome is not None:
            raise InvariantError("an answer grew after its end")
        self._data += data

    def finish(self, usage: Usage, finish_reason: str) -> None:
        """Mark the answer whole.

        :raises InvariantError: where it has ended already.
        """
        self._end(BufferEnd(self.length_bytes, usage, finish_reason))

    def fail(self, failure: BufferFailure | Refused) -> None:
        """Mark the answer as one that will not become whole.

        :param failure: refused where the target said for certain that it did
            not begin.
        :raises InvariantError: where it has ended already.
        """
        self._end(failure)

    def read(self, offset_bytes: int, limit_bytes: int) -> bytes | DataLost:
        """Return up to ``limit_bytes`` from an offset, b"" where none has come."""
        start = offset_bytes - self._first_offset
        if start < 0:
            return DataLost()
        return bytes(self._data[start : start + limit_bytes])

    def release(self, offset_bytes: int) -> None:
        """Give up what lies before an offset, where the buffer is full.

        :param offset_bytes: what the slowest reader has read; the length where
            there is no reader.
        """
        if not self.full:
            return
        surplus = min(offset_bytes, self.length_bytes) - self._first_offset
        if surplus > 0:
            del self._data[:surplus]
            self._first_offset += surplus

    def discard(self) -> None:
        """Give up all bytes, to make room for other answers."""
        self._first_offset = self.length_bytes
        self._data.clear()

    def _end(self, outcome: BufferEnd | BufferFailure | Refused) -> None:
        if self.outcome is not None:
            raise InvariantError("an answer ended twice")
        self.outcome = outcome
