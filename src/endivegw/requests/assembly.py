"""A router's view of one answer, put together from frames of its attempts."""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.types import AttemptId

__all__ = ["Assembler", "Cut", "Piece", "Whole"]

#: How many bytes may wait for a gap before them to be filled. Frames of one
#: stream come in order; gaps arise only where an attempt is followed through
#: two connections at once, and are short.
MAX_WAITING_BYTES = 4 * 2**20


@frozen
class Piece:
    """Hold the next bytes of the answer, in order."""

    data: bytes


@frozen
class Whole:
    """Say that every byte of the answer has been given out."""

    length_bytes: int


@frozen
class Cut:
    """Say that frames contradict each other; the answer must end in an error."""

    detail: str


@define
class Assembler:
    """Put the frames of one attempt in order, each byte once.

    Frames can be late, doubled, reordered, or of an attempt that was given up;
    a caller would see text twice, missing, or from another answer. Each frame
    says its attempt and offset. The answer is bound to one attempt with the
    first byte that is given out; before that it may change to another.

    :ivar offset_bytes: how many bytes were given out.
    """

    attempt_id: AttemptId
    offset_bytes: int = 0
    _waiting: dict[int, bytes] = field(factory=dict)
    _length_bytes: int | None = None

    @property
    def whole(self) -> bool:
        """Return whether the end was heard and every byte before it given out."""
        return self._length_bytes == self.offset_bytes

    def move_to(self, attempt_id: AttemptId) -> None:
        """Take the answer of another attempt from its first byte.

        :raises InvariantError: where bytes of the earlier one were given out.
        """
        if attempt_id == self.attempt_id:
            return
        if self.offset_bytes:
            raise InvariantError("an answer would be mixed from two attempts")
        self.attempt_id = attempt_id
        self._waiting.clear()
        self._length_bytes = None

    def data(
        self, attempt_id: AttemptId, offset_bytes: int, data: bytes
    ) -> tuple[Piece, ...] | Cut:
        """Take a frame of bytes; return what became deliverable."""
        if attempt_id != self.attempt_id or not data:
            return ()
        length = self._length_bytes
        if length is not None and offset_bytes + len(data) > length:
            return Cut("bytes beyond the announced end")
        if offset_bytes + len(data) <= self.offset_bytes:
            return ()
        held = self._waiting.get(offset_bytes, b"")
        if len(data) > len(held):
            self._waiting[offset_bytes] = data
        if sum(map(len, self._waiting.values())) > MAX_WAITING_BYTES:
            return Cut("too many bytes wait for a gap to be filled")
        return self._deliver()

    def end(self, attempt_id: AttemptId, length_bytes: int) -> Whole | Cut | None:
        """Take the end frame; whole only where its length was given out."""
        if attempt_id != self.attempt_id:
            return None
        if self._length_bytes not in (None, length_bytes):
            return Cut("two ends of different length")
        if length_bytes < self.offset_bytes:
            return Cut("the end lies before bytes that were given out")
        self._length_bytes = length_bytes
        return Whole(length_bytes) if self.whole else None

    def _deliver(self) -> tuple[Piece, ...]:
        pieces: list[Piece] = []
        for start in sorted(self._waiting):
            if start > self.offset_bytes:
                break
            fresh = self._waiting.pop(start)[self.offset_bytes - start :]
            if fresh:
                pieces.append(Piece(fresh))
                self.offset_bytes += len(fresh)
        return tuple(pieces)
