"""Bound what a router holds of answers that it reads whole before it relays them."""

from __future__ import annotations

import contextlib
from typing import Iterator

from attrs import define, field

from endivegw.capacity import HeldMemory, HeldShare
from endivegw.relay.answer_parser import AnswerBroken

__all__ = ["MEGABYTE", "HeldAnswer", "HeldAnswers"]

MEGABYTE = 1024 * 1024


@define(eq=False)
class HeldAnswer:
    """Collect the body of one answer.

    :ivar held_bytes: size of what was received.
    """

    answers: HeldAnswers
    _share: HeldShare
    held_bytes: int = 0
    _parts: list[bytes] = field(factory=list)
    _given_up: bool = False

    def add(self, part: bytes) -> None:
        """Add a part.

        :raises AnswerBroken: if the answer is too large, alone or beside the others.
        """
        self._raise_if_given_up()
        self._parts.append(part)
        self.held_bytes += len(part)
        self._share.add(len(part))
        self.answers.add(len(part), self)
        self._raise_if_given_up()

    def body(self) -> bytes:
        """Return what was received.

        :raises AnswerBroken: if the answer was given up after its last part.
        """
        self._raise_if_given_up()
        return b"".join(self._parts)

    def give_up(self) -> None:
        """Release what was received; the answer is broken."""
        self._given_up = True
        self.release()

    def release(self) -> None:
        """Release what was received."""
        self.answers.total_bytes -= self.held_bytes
        self.held_bytes = 0
        self._share.close()
        self._parts.clear()

    def _raise_if_given_up(self) -> None:
        if self._given_up:
            raise AnswerBroken("the bodies of all answers together are too large")


@define
class HeldAnswers:
    """Bound the bodies of all answers that are being read.

    :ivar max_answer_bytes: largest body of one answer.
    :ivar max_total_bytes: largest size of all of them; beyond it, the largest one is
        given up, because the others are more likely to end.
    :ivar total_bytes: size of what is held now.
    :ivar memory: sum of what the process holds, to which the answers count.
    """

    max_answer_bytes: int = 16 * MEGABYTE
    max_total_bytes: int = 64 * MEGABYTE
    total_bytes: int = 0
    memory: HeldMemory = field(factory=HeldMemory)
    _open: set[HeldAnswer] = field(factory=set)

    @contextlib.contextmanager
    def open(self) -> Iterator[HeldAnswer]:
        """Collect one answer, and release it at the end."""
        held = HeldAnswer(self, share=HeldShare(self.memory))
        self._open.add(held)
        try:
            yield held
        finally:
            self._open.discard(held)
            held.release()

    def add(self, size: int, held: HeldAnswer) -> None:
        """Count what an answer has received.

        :raises AnswerBroken: if it is too large by itself.
        """
        self.total_bytes += size
        if held.held_bytes > self.max_answer_bytes:
            raise AnswerBroken(
                f"got {held.held_bytes} bytes of an answer's body, the limit is "
                f"{self.max_answer_bytes}"
            )
        if self.total_bytes > self.max_total_bytes:
            max(self._open, key=lambda other: other.held_bytes).give_up()
