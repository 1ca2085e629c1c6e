"""One attempt at the target: a task of its own, and those who read its answer."""

from __future__ import annotations

from typing import AsyncGenerator

import anyio

from endivegw.daemons.sidecar_frames import head_frame, outcome_frame
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.buffer import AnswerBuffer, BufferFailure, DataLost
from endivegw.requests.starts import StartOrder
from endivegw.results import Reason, Refused
from endivegw.types import Usage

__all__ = ["READ_BYTES", "Run"]

#: Bytes of one data frame: a few tokens while they are made, larger pieces
#: where a reader catches up.
READ_BYTES = 32 * 2**10

#: The least time between two data frames of one engine's answer, but for its
#: first and its last. A frame costs the router and the sidecar some 0.3 ms CPU
#: each, whatever it holds: tokens that an engine makes faster than this go
#: together. A person reads no faster, and the answer ends no later.
_FRAME_GAP_S = 0.02


class Run:
    """Hold an attempt's answer while it grows, and let any number read it.

    The work runs in a task of its own. A router that dies takes its stream with
    it and nothing else: the answer grows on, and the caller's retry through
    another router reads it from where it likes.

    :param deadline_s: by which the answer must be whole, on the sidecar's clock.
    """

    def __init__(
        self, order: StartOrder, buffer: AnswerBuffer, deadline_s: float
    ) -> None:
        self.order = order
        self.buffer = buffer
        self.deadline_s = deadline_s
        self.ended_s: float | None = None
        #: Whether tokens of a grant are held for it.
        self.reserved = False
        #: What was charged; known once it ended.
        self.usage = Usage()
        #: Cancelled by the router, for a caller that went away.
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self._changed = anyio.Event()
        self._readers: dict[int, int] = {}
        self._next_reader = 0

    @property
    def attempt_id(self) -> str:
        """Return the attempt's id."""
        return self.order.attempt_id

    @property
    def readers(self) -> int:
        """Return how many streams follow the answer now."""
        return len(self._readers)

    def changed(self) -> None:
        """Wake the readers, and the producer where it waits for room."""
        self._changed.set()
        self._changed = anyio.Event()

    async def append(self, data: bytes) -> None:
        """Add bytes, waiting for the slowest reader where the buffer is full."""
        while self.buffer.full:
            slowest = min(self._readers.values(), default=self.buffer.length_bytes)
            self.buffer.release(slowest)
            if self.buffer.full:
                await self._changed.wait()
        self.buffer.append(data)
        self.changed()

    async def follow(
        self, header: pb.Header, offset_bytes: int, joined: bool
    ) -> AsyncGenerator[pb.Frame, None]:
        """Yield the answer's frames from an offset to its last one.

        The head comes only once the target has begun to answer: a target that
        refuses for certain still ends in a refusal and nothing else.
        """
        reader = self._next_reader
        self._next_reader += 1
        self._readers[reader] = offset_bytes
        head_sent = False
        try:
            while True:
                change = self._changed
                data = self.buffer.read(offset_bytes, READ_BYTES)
                if isinstance(data, DataLost):
                    yield self._lost(offset_bytes)
                    return
                if not head_sent and (data or self.buffer.head is not None):
                    head_sent = True
                    head = self.buffer.head
                    yield head_frame(header, self.attempt_id, head, joined)
                if data:
                    yield pb.Frame(
                        attempt_id=self.attempt_id, offset=offset_bytes, data=data
                    )
                    offset_bytes += len(data)
                    self._readers[reader] = offset_bytes
                    if self.buffer.full:
                        self.changed()
                    await self._gather(offset_bytes)
                    continue
                outcome = self.buffer.outcome
                if outcome is not None:
                    if not head_sent and not isinstance(outcome, Refused):
                        yield head_frame(header, self.attempt_id, None, joined)
                    length = self.buffer.length_bytes
                    yield outcome_frame(header, self.attempt_id, length, outcome)
                    return
                await change.wait()
        finally:
            del self._readers[reader]
            self.changed()

    async def idle(self) -> None:
        """Wait for the next change, where one is to come."""
        await self._changed.wait()

    async def _gather(self, offset_bytes: int) -> None:
        """Let some tokens come together, while more of them are being made."""
        buffer = self.buffer
        # A plain service's bytes come in pieces that are large already.
        if buffer.head is not None or buffer.outcome is not None or buffer.full:
            return
        if buffer.length_bytes - offset_bytes >= READ_BYTES:
            return
        with anyio.move_on_after(_FRAME_GAP_S):
            await self.ended.wait()

    def _lost(self, offset_bytes: int) -> pb.Frame:
        failure = BufferFailure(
            Reason.ANSWER_LOST, "the answer is no longer held", Usage(), True
        )
        return outcome_frame(pb.Header(), self.attempt_id, offset_bytes, failure)
