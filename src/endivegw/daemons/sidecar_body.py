"""Streams the body of a plain service's request through the sidecar."""

from __future__ import annotations

from typing import Any, AsyncIterator

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb

__all__ = ["BodyChannel", "single_body"]

#: Maximum chunks that are buffered for the service; the rest waits at the router.
_MAX_BUFFERED_CHUNKS = 4


async def single_body(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body that arrived in a single message."""
    if data:
        yield data


class BodyChannel:
    """Carry chunks from the router's stream to the task that calls the service.

    If a router dies during an upload, the truncated body must not look complete:
    the service would carry out half a request. Only a chunk that is marked as
    the last one ends the body.
    """

    def __init__(self) -> None:
        self._sender: MemoryObjectSendStream[pb.BodyChunk]
        self._receiver: MemoryObjectReceiveStream[pb.BodyChunk]
        self._sender, self._receiver = anyio.create_memory_object_stream(
            _MAX_BUFFERED_CHUNKS
        )

    async def pump(self, stream: Any) -> None:
        """Forward chunks from a call until the last one, or until the call breaks."""
        async with self._sender:
            async for message in stream:
                try:
                    await self._sender.send(message.chunk)
                except anyio.BrokenResourceError:
                    # The service answered without reading the rest of the body.
                    return
                if message.chunk.last:
                    return

    async def chunks(self, first: bytes) -> AsyncIterator[bytes]:
        """Yield the body.

        :param first: the start of the body, which arrived in the start message.
        :raises PeerError: if the stream ends before the last chunk.
        """
        async with self._receiver:
            if first:
                yield first
            async for chunk in self._receiver:
                if chunk.data:
                    yield chunk.data
                if chunk.last:
                    return
        raise PeerError(
            "request body truncated: the stream ended before its last chunk"
        )
