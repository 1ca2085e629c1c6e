"""One attempt at the target, and the streams that read its answer."""

from __future__ import annotations

from typing import AsyncGenerator

import anyio

from endivegw.daemons.sidecar_frames import head_frame, outcome_frame
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.buffer import AnswerBuffer, BufferFailure, DataLost
from endivegw.requests.starts import StartOrder
from endivegw.results import Reason, Refused
from endivegw.types import Usage

__all__ = ["READ_BYTES", "AttemptRun"]

#: Maximum bytes of one data frame. Frames hold a few tokens while the answer is
#: generated, and more when a reader catches up.
READ_BYTES = 32 * 2**10

#: How long an attempt runs on without a reader once a stop was requested. A reader
#: whose connection broke returns within this time.
_UNREAD_GRACE_S = 0.4

#: Minimum time between two data frames of one engine's answer, except for its
#: first and its last frame. A frame costs the router and the sidecar about 0.3 ms
#: CPU each, whatever its size, so that tokens generated faster than this share a
#: frame. Nobody reads faster, and the answer ends no later.
_MIN_FRAME_INTERVAL_S = 0.02


class AttemptRun:
    """Hold an attempt's answer while it grows, for any number of readers.

    The work runs in a task of its own. The death of a router breaks only that
    router's stream: the answer continues to grow, and the caller's retry through
    another router reads it from any offset.

    :param order: the order that the attempt carries out.
    :param buffer: holds the bytes and the outcome of the answer.
    :param deadline_s: time on the sidecar's clock by which the answer must be
        complete.
    :ivar ended_s: time at which the attempt ended, None while it runs.
    """

    def __init__(
        self, order: StartOrder, buffer: AnswerBuffer, deadline_s: float
    ) -> None:
        self.order = order
        self.buffer = buffer
        self.deadline_s = deadline_s
        self.ended_s: float | None = None
        #: Whether tokens of a grant are reserved for the attempt.
        self.reserved = False
        #: Tokens that were charged; valid once the attempt has ended.
        self.usage = Usage()
        #: Cancelled by the router if the caller disconnects.
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self._changed = anyio.Event()
        self._readers: dict[int, int] = {}
        self._next_reader = 0
        #: Deadline of the scope if the attempt is read; None if no stop was requested.
        self._read_deadline: float | None = None

    @property
    def attempt_id(self) -> str:
        """Return the attempt's id."""
        return self.order.attempt_id

    @property
    def readers(self) -> int:
        """Return the number of streams that read the answer now."""
        return len(self._readers)

    def stop_when_unread(self) -> None:
        """Stop the attempt once nothing reads its answer any more."""
        if self._read_deadline is None:
            self._read_deadline = self.scope.deadline
        self._update_deadline()

    def _update_deadline(self) -> None:
        if self._read_deadline is None:
            return
        self.scope.deadline = self._read_deadline
        if not self._readers:
            unread_deadline = anyio.current_time() + _UNREAD_GRACE_S
            self.scope.deadline = min(self._read_deadline, unread_deadline)

    def notify_changed(self) -> None:
        """Wake the readers, and the producer if it waits for buffer space."""
        self._changed.set()
        self._changed = anyio.Event()

    async def append(self, data: bytes) -> None:
        """Append bytes; wait for the slowest reader while the buffer is full."""
        while self.buffer.full:
            slowest = min(self._readers.values(), default=self.buffer.length_bytes)
            self.buffer.release(slowest)
            if self.buffer.full:
                await self._changed.wait()
        self.buffer.append(data)
        self.notify_changed()

    async def follow(
        self, header: pb.Header, offset_bytes: int, joined: bool
    ) -> AsyncGenerator[pb.Frame, None]:
        """Yield the answer's frames from an offset to the last one.

        The head is sent only once the target has started to answer, so that a
        definite refusal by the target is the only frame of its stream.

        :param header: header of this process, sent with the first frame.
        :param offset_bytes: offset from which the answer is read.
        :param joined: whether another order started the attempt.
        """
        reader = self._next_reader
        self._next_reader += 1
        self._readers[reader] = offset_bytes
        self._update_deadline()
        head_sent = False
        try:
            while True:
                change = self._changed
                data = self.buffer.read(offset_bytes, READ_BYTES)
                if isinstance(data, DataLost):
                    yield self._answer_lost(offset_bytes)
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
                        self.notify_changed()
                    await self._coalesce(offset_bytes)
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
            self._update_deadline()
            self.notify_changed()

    async def wait_changed(self) -> None:
        """Wait for the next change of the answer or its readers."""
        await self._changed.wait()

    async def _coalesce(self, offset_bytes: int) -> None:
        """Wait so that several tokens share a frame while the engine generates."""
        buffer = self.buffer
        # A plain service's bytes arrive in large pieces already.
        if buffer.head is not None or buffer.outcome is not None or buffer.full:
            return
        if buffer.length_bytes - offset_bytes >= READ_BYTES:
            return
        with anyio.move_on_after(_MIN_FRAME_INTERVAL_S):
            await self.ended.wait()

    def _answer_lost(self, offset_bytes: int) -> pb.Frame:
        failure = BufferFailure(
            Reason.ANSWER_LOST,
            f"the answer is no longer retained from offset {offset_bytes}",
            Usage(),
            True,
        )
        return outcome_frame(pb.Header(), self.attempt_id, offset_bytes, failure)
