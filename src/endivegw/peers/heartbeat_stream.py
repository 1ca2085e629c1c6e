"""Exchange heartbeats over one long-lived streaming call.

A separate call for each heartbeat costs 1.9 ms of CPU time on each side, mostly for
the headers of the call. Heartbeats are the largest part of a daemon's control
traffic, which is limited to 10 ms of CPU time per second; docs/CAPACITY.md has both
figures.
"""

from __future__ import annotations

import asyncio
from typing import Any

from endivegw.peers.call import (
    TRANSPORT_ERRORS,
    call_error,
    cancellation_count,
    connect,
    discard_cancellation,
)
from endivegw.peers.errors import OutcomeUnknown

__all__ = ["HeartbeatStream"]


class HeartbeatStream:
    """Send heartbeats to one peer, one at a time.

    :param method: bidirectional streaming method of the stub, with one reply per
        request.
    :param connect_timeout_s: timeout for opening the connection.
    """

    def __init__(self, method: Any, connect_timeout_s: float) -> None:
        self._method = method
        self._connect_timeout_s = connect_timeout_s
        self._stream: Any = None
        self._opened = False
        self._lock = asyncio.Lock()

    async def exchange(self, request: Any, timeout_s: float) -> Any:
        """Send a heartbeat and return its reply.

        :raises NotDelivered: if the peer cannot have received the heartbeat.
        :raises OutcomeUnknown: if the peer may have received it.
        """
        async with self._lock:
            before = cancellation_count()
            try:
                async with asyncio.timeout(timeout_s):
                    reply = await self._exchange(request)
            except TRANSPORT_ERRORS as error:
                written = self._opened
                cause = await self._close_stream(error)
                discard_cancellation(before)
                raise call_error(written, cause) from error
            except BaseException as interruption:
                # The reply to an abandoned heartbeat would be taken for the reply
                # to the next one, and every later reply would be one heartbeat old.
                await self._close_stream(interruption)
                raise
            if reply is None:
                ended = OutcomeUnknown("peer closed the heartbeat stream")
                await self._close_stream(ended)
                raise ended
            return reply

    async def _exchange(self, request: Any) -> Any:
        if self._stream is None:
            self._stream = await self._method.open().__aenter__()
            await connect(self._stream, self._connect_timeout_s)
            self._opened = True
        await self._stream.send_message(request)
        return await self._stream.recv_message()

    async def _close_stream(self, error: BaseException) -> BaseException:
        """Close the call, so that the next heartbeat opens a new one.

        :returns: the error that the peer reported when it ended the call, otherwise
            ``error``.
        """
        stream, self._stream = self._stream, None
        self._opened = False
        if stream is None:
            return error
        try:
            await stream.__aexit__(type(error), error, None)
        except TRANSPORT_ERRORS as reported:
            return reported
        return error
