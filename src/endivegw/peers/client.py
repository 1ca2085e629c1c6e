"""Client for the calls to a sidecar."""

from __future__ import annotations

import asyncio
from typing import Any, AsyncGenerator, AsyncIterator, Awaitable, Callable

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import SidecarStub
from endivegw.peers.call import (
    TRANSPORT_ERRORS,
    call_error,
    cancellation_count,
    connect,
    discard_cancellation,
)
from endivegw.peers.limits import BODY_CHUNK_BYTES
from endivegw.peers.peer_client import PeerClient

__all__ = ["SidecarClient"]


class SidecarClient(PeerClient):
    """Call one sidecar; takes the parameters of :class:`PeerClient` except the stub."""

    def __init__(self, *address: Any, **options: Any) -> None:
        super().__init__(SidecarStub, *address, **options)

    async def execute(
        self,
        start: pb.ExecuteStart,
        body: AsyncIterator[bytes] | None = None,
        before_send: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncGenerator[pb.Frame, None]:
        """Start an attempt and yield the frames of its response.

        Closing the iterator does not end the attempt; :meth:`cancel` does.

        :param body: chunks of the request body for a plain service.
        :param before_send: awaited right before the start message is sent, once the
            connection is open; an exception that it raises prevents the send.
        :raises NotDelivered: if the sidecar cannot have received the start message.
        :raises OutcomeUnknown: if the sidecar may have received it.
        """
        written = False
        before = cancellation_count()
        try:
            async with self._stub.Execute.open() as stream:
                await connect(stream, self._connect_timeout_s)
                if before_send is not None:
                    await before_send()
                written = True
                message = pb.ExecuteMessage(start=start)
                await stream.send_message(message, end=body is None)
                # The body is sent concurrently with the response, because a service
                # may respond, or the sidecar refuse, before reading all of it.
                sender = _start_sender(stream, body)
                try:
                    async for frame in stream:
                        yield frame
                finally:
                    if sender is not None:
                        await _stop(sender)
        except TRANSPORT_ERRORS as error:
            discard_cancellation(before)
            raise call_error(written, error) from error

    async def cancel(self, request: pb.CancelRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.CancelReply`."""
        return await self._call(self._stub.Cancel, request, timeout_s)

    async def seal(self, request: pb.SealRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.SealReply`."""
        return await self._call(self._stub.Seal, request, timeout_s)

    async def claim(self, request: pb.ClaimRequest, timeout_s: float) -> Any:
        """Return the :class:`pb.ClaimReply`."""
        return await self._call(self._stub.Claim, request, timeout_s)


def _start_sender(
    stream: Any, body: AsyncIterator[bytes] | None
) -> asyncio.Future[None] | None:
    return None if body is None else asyncio.ensure_future(_send_body(stream, body))


async def _send_body(stream: Any, body: AsyncIterator[bytes]) -> None:
    async for data in body:
        for start in range(0, len(data), BODY_CHUNK_BYTES):
            chunk_data = data[start : start + BODY_CHUNK_BYTES]
            chunk = pb.BodyChunk(data=chunk_data)
            await stream.send_message(pb.ExecuteMessage(chunk=chunk))
    last = pb.ExecuteMessage(chunk=pb.BodyChunk(last=True))
    await stream.send_message(last, end=True)


async def _stop(sender: asyncio.Future[None]) -> None:
    sender.cancel()
    # An error while sending the body is visible in the response: the sidecar
    # receives the body without its last chunk and fails the attempt.
    await asyncio.gather(sender, return_exceptions=True)
