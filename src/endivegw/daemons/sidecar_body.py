"""The body of a plain service's request, on its way through the sidecar."""

from __future__ import annotations

from typing import Any, AsyncIterator

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb

__all__ = ["BodyChannel", "single_body"]

#: Chunks that may wait for the service; the rest waits at the router.
_WAITING_CHUNKS = 4


async def single_body(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body that came whole."""
    if data:
        yield data


class BodyChannel:
    """Carry chunks from the router's stream to the task that calls the service.

    A router that dies in the middle of an upload must not make a short body
    look whole: a stand would be booked from half an order. Only the chunk that
    says it is the last ends the body.
    """

    def __init__(self) -> None:
        self._sender: MemoryObjectSendStream[pb.BodyChunk]
        self._receiver: MemoryObjectReceiveStream[pb.BodyChunk]
        self._sender, self._receiver = anyio.create_memory_object_stream(
            _WAITING_CHUNKS
        )

    async def pump(self, stream: Any) -> None:
        """Read chunks from a call until the last one, or until it breaks."""
        async with self._sender:
            async for message in stream:
                try:
                    await self._sender.send(message.chunk)
                except anyio.BrokenResourceError:
                    # The service answered without reading the rest.
                    return
                if message.chunk.last:
                    return

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises PeerError: where it ends without its last chunk.
        """
        async with self._receiver:
            async for chunk in self._receiver:
                if chunk.data:
                    yield chunk.data
                if chunk.last:
                    return
        raise PeerError("the body ended without its last chunk")
