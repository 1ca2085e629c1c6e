"""Reassemble one answer at the router from the frames of an attempt."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.types import AttemptId

__all__ = ["Assembler", "Chunk", "Complete", "Inconsistent"]

#: Limit on out-of-order bytes that are buffered until the gap before them is
#: filled. Frames of one stream arrive in order; gaps occur only when an attempt
#: is read over two connections at once, and are short.
MAX_BUFFERED_BYTES = 4 * 2**20


@frozen
class Chunk:
    """The next in-order bytes of the answer."""

    data: bytes


@frozen
class Complete:
    """Every byte of the answer has been delivered."""

    length_bytes: int


@frozen
class Inconsistent:
    """The frames contradict each other, so the answer must end in an error."""

    detail: str


@define
class Assembler:
    """Deliver the frames of one attempt in order, each byte exactly once.

    Frames can be late, duplicated, reordered, or belong to an abandoned attempt.
    Without reassembly the caller would see text repeated, missing, or taken from
    another answer. Each frame carries its attempt id and offset. The first
    delivered byte binds the answer to its attempt; until then the assembler can
    switch to another attempt.

    :ivar offset_bytes: number of bytes delivered so far.
    """

    attempt_id: AttemptId
    offset_bytes: int = 0
    _buffered: dict[int, bytes] = field(factory=dict)
    _length_bytes: int | None = None

    @property
    def complete(self) -> bool:
        """Return whether the end frame was received and all bytes were delivered."""
        return self._length_bytes == self.offset_bytes

    def move_to(self, attempt_id: AttemptId) -> None:
        """Switch to another attempt, starting at its first byte.

        :raises InvariantError: if bytes of the current attempt were delivered.
        """
        if attempt_id == self.attempt_id:
            return
        if self.offset_bytes:
            raise InvariantError(
                "cannot switch attempts after bytes of the answer were delivered"
            )
        self.attempt_id = attempt_id
        self._buffered.clear()
        self._length_bytes = None

    def data(
        self, attempt_id: AttemptId, offset_bytes: int, data: bytes
    ) -> tuple[Chunk, ...] | Inconsistent:
        """Add a data frame and return the chunks that became deliverable."""
        if attempt_id != self.attempt_id or not data:
            return ()
        length = self._length_bytes
        if length is not None and offset_bytes + len(data) > length:
            return Inconsistent("answer has bytes beyond its announced length")
        if offset_bytes + len(data) <= self.offset_bytes:
            return ()
        buffered = self._buffered.get(offset_bytes, b"")
        if len(data) > len(buffered):
            self._buffered[offset_bytes] = data
        if sum(map(len, self._buffered.values())) > MAX_BUFFERED_BYTES:
            return Inconsistent(
                f"out-of-order bytes exceed the limit of {MAX_BUFFERED_BYTES}"
            )
        return self._deliver()

    def end(
        self, attempt_id: AttemptId, length_bytes: int
    ) -> Complete | Inconsistent | None:
        """Record the end frame; complete only if all its bytes were delivered."""
        if attempt_id != self.attempt_id:
            return None
        if self._length_bytes not in (None, length_bytes):
            return Inconsistent(
                f"end frames disagree: {self._length_bytes} and {length_bytes} bytes"
            )
        if length_bytes < self.offset_bytes:
            return Inconsistent(
                f"announced length of {length_bytes} bytes is below the "
                f"{self.offset_bytes} bytes already delivered"
            )
        self._length_bytes = length_bytes
        return Complete(length_bytes) if self.complete else None

    def _deliver(self) -> tuple[Chunk, ...]:
        chunks: list[Chunk] = []
        for start in sorted(self._buffered):
            if start > self.offset_bytes:
                break
            undelivered = self._buffered.pop(start)[self.offset_bytes - start :]
            if undelivered:
                chunks.append(Chunk(undelivered))
                self.offset_bytes += len(undelivered)
        return tuple(chunks)
