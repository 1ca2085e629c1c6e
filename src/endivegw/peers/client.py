"""Calls from one process of the fleet to a sidecar."""

from __future__ import annotations

import asyncio
from typing import Any, AsyncGenerator, AsyncIterator

from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import SidecarStub
from endivegw.peers.errors import Broken, NotDelivered
from endivegw.peers.limits import BODY_CHUNK_BYTES
from endivegw.peers.security import PeerSecurity, PlainPeers, open_channel

__all__ = ["DEFAULT_CONNECT_TIMEOUT_S", "SidecarClient"]

#: How long a connection may take to be made. Two regions are some 100 ms apart;
#: a second covers one lost packet and leaves time to place the request elsewhere.
DEFAULT_CONNECT_TIMEOUT_S = 1.0

_LOST = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)


class SidecarClient:
    """Call one sidecar over one connection, which is made anew when it breaks.

    :param security: how calls prove that they come from the fleet.
    :param sender: the instance id of this process.
    :param connect_timeout_s: how long making the connection may take.
    """

    def __init__(
        self,
        host: str,
        port: int,
        security: PeerSecurity = PlainPeers(),
        *,
        sender: str = "",
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        self._channel = open_channel(host, port, security, sender=sender)
        self._stub = SidecarStub(self._channel)
        self._connect_timeout_s = connect_timeout_s

    def close(self) -> None:
        """Close the connection; running calls end as :exc:`Broken`."""
        self._channel.close()

    async def execute(
        self, start: pb.ExecuteStart, body: AsyncIterator[bytes] | None = None
    ) -> AsyncGenerator[pb.Frame, None]:
        """Hand over an attempt and yield the frames of its answer.

        Closing the iterator leaves the attempt running; :meth:`cancel` ends it.

        :param body: chunks of a plain service's request body.
        :raises NotDelivered: where the sidecar cannot have seen the start.
        :raises Broken: where it may have.
        """
        written = False
        cancelling = _cancelling()
        try:
            async with self._stub.Execute.open() as stream:
                await self._connect(stream)
                written = True
                message = pb.ExecuteMessage(start=start)
                await stream.send_message(message, end=body is None)
                # The body goes out beside the answer: a service may answer,
                # or the sidecar refuse, before it has read the whole body.
                sender = asyncio.ensure_future(_send_body(stream, body))
                try:
                    async for frame in stream:
                        yield frame
                finally:
                    await _stop(sender)
        except _LOST as error:
            _forget_cancellation(cancelling)
            raise _lost(written, error) from error

    async def cancel(self, request: pb.CancelRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.CancelReply`."""
        return await self._call(self._stub.Cancel, request, timeout_s)

    async def seal(self, request: pb.SealRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.SealReply`."""
        return await self._call(self._stub.Seal, request, timeout_s)

    async def heartbeat(self, request: pb.HeartbeatRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.HeartbeatReply`."""
        return await self._call(self._stub.Heartbeat, request, timeout_s)

    async def claim(self, request: pb.ClaimRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.ClaimReply`."""
        return await self._call(self._stub.Claim, request, timeout_s)

    async def configuration(self, request: pb.ConfigRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.ConfigReply`."""
        return await self._call(self._stub.Configuration, request, timeout_s)

    async def _call(self, method: Any, request: Any, timeout_s: float) -> Any:
        written = False
        cancelling = _cancelling()
        try:
            async with method.open(timeout=timeout_s) as stream:
                await self._connect(stream)
                written = True
                await stream.send_message(request, end=True)
                reply = await stream.recv_message()
        except _LOST as error:
            _forget_cancellation(cancelling)
            raise _lost(written, error) from error
        if reply is None:
            raise Broken("the call ended without a reply")
        return reply

    async def _connect(self, stream: Any) -> None:
        await asyncio.wait_for(stream.send_request(), self._connect_timeout_s)


def _lost(written: bool, error: BaseException) -> PeerError:
    if written and not _unauthenticated(error):
        return Broken(_describe(error))
    return NotDelivered(_describe(error))


def _cancelling() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task else 0


def _forget_cancellation(before: int) -> None:
    """Take back the cancellation by which the library woke this task.

    Where a connection breaks, grpclib cancels the tasks that wait on it and
    turns the cancellation into an error, but leaves it counted. The next scope
    of the task that times out would then let a cancellation escape, which ends
    a caller's request without an answer.

    :param before: how many were counted when the call began.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling() > before:
        task.uncancel()


def _unauthenticated(error: BaseException) -> bool:
    # Said before any handler runs, so that the call had no effect.
    return isinstance(error, GRPCError) and error.status is Status.UNAUTHENTICATED


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__


async def _send_body(stream: Any, body: AsyncIterator[bytes] | None) -> None:
    if body is None:
        return
    async for data in body:
        for start in range(0, len(data), BODY_CHUNK_BYTES):
            piece = data[start : start + BODY_CHUNK_BYTES]
            chunk = pb.BodyChunk(data=piece)
            await stream.send_message(pb.ExecuteMessage(chunk=chunk))
    last = pb.ExecuteMessage(chunk=pb.BodyChunk(last=True))
    await stream.send_message(last, end=True)


async def _stop(sender: asyncio.Future[None]) -> None:
    sender.cancel()
    # What went wrong with the body shows on the answer's side: the sidecar sees
    # the body end without its last chunk and fails the attempt.
    await asyncio.gather(sender, return_exceptions=True)
