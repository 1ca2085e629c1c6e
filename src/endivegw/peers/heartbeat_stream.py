"""Exchange heartbeats over one call that stays open.

A call of its own for each heartbeat costs 1.9 ms of processor time a side,
most of it for the headers of the call. Heartbeats are most of what a daemon
spends on control, of which it may spend 10 ms a second; docs/CAPACITY.md has
both figures.
"""

from __future__ import annotations

import asyncio
from typing import Any

from endivegw.peers.call import (
    LOST,
    cancelling,
    connect,
    forget_cancellation,
    lost_error,
)
from endivegw.peers.errors import Broken

__all__ = ["HeartbeatStream"]


class HeartbeatStream:
    """Ask one peer, one heartbeat at a time.

    :param method: the stub's method, from many requests to as many replies.
    :param connect_timeout_s: how long making the connection may take.
    """

    def __init__(self, method: Any, connect_timeout_s: float) -> None:
        self._method = method
        self._connect_timeout_s = connect_timeout_s
        self._stream: Any = None
        self._opened = False
        self._lock = asyncio.Lock()

    async def exchange(self, request: Any, timeout_s: float) -> Any:
        """Return the reply to a heartbeat.

        :raises NotDelivered: where the peer cannot have seen it.
        :raises Broken: where it may have.
        """
        async with self._lock:
            before = cancelling()
            try:
                async with asyncio.timeout(timeout_s):
                    reply = await self._exchange(request)
            except LOST as error:
                written = self._opened
                cause = await self._drop(error)
                forget_cancellation(before)
                raise lost_error(written, cause) from error
            except BaseException as ending:
                # A reply that nobody waited for would be taken for the reply
                # to the next heartbeat, and each view after it be one too old.
                await self._drop(ending)
                raise
            if reply is None:
                ended = Broken("the peer ended the heartbeats")
                await self._drop(ended)
                raise ended
            return reply

    async def _exchange(self, request: Any) -> Any:
        if self._stream is None:
            self._stream = await self._method.open().__aenter__()
            await connect(self._stream, self._connect_timeout_s)
            self._opened = True
        await self._stream.send_message(request)
        return await self._stream.recv_message()

    async def _drop(self, error: BaseException) -> BaseException:
        """Give the call up, so that the next heartbeat opens a new one.

        :returns: the error, or what the peer said where it ended the call.
        """
        stream, self._stream = self._stream, None
        self._opened = False
        if stream is None:
            return error
        try:
            await stream.__aexit__(type(error), error, None)
        except LOST as said:
            return said
        return error
