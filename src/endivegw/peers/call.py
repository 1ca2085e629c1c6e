"""What each call to another process of the fleet goes through."""

from __future__ import annotations

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from endivegw.exceptions import PeerError
from endivegw.peers.errors import Broken, NotDelivered

__all__ = [
    "DEFAULT_CONNECT_TIMEOUT_S",
    "LOST",
    "call_once",
    "cancelling",
    "connect",
    "forget_cancellation",
    "lost_error",
]

#: How long a connection may take to be made. Two regions are some 100 ms apart;
#: a second covers one lost packet and leaves time to place the request elsewhere.
DEFAULT_CONNECT_TIMEOUT_S = 1.0

#: What the library raises where a call's outcome is lost.
LOST = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)


async def call_once(
    method: Any, request: Any, timeout_s: float, connect_timeout_s: float
) -> Any:
    """Make a call of one request and one reply; return the reply.

    :raises NotDelivered: where the other process cannot have seen the request.
    :raises Broken: where it may have.
    """
    written = False
    before = cancelling()
    try:
        async with method.open(timeout=timeout_s) as stream:
            await connect(stream, connect_timeout_s)
            written = True
            await stream.send_message(request, end=True)
            reply = await stream.recv_message()
    except LOST as error:
        forget_cancellation(before)
        raise lost_error(written, error) from error
    if reply is None:
        raise Broken("the call ended without a reply")
    return reply


async def connect(stream: Any, timeout_s: float) -> None:
    """Make the connection where there is none, and open the call."""
    # In this task: a task for the wait would cost each call more than the call's
    # own headers, as the connection is there but for the first one.
    async with asyncio.timeout(timeout_s):
        await stream.send_request()


def lost_error(written: bool, error: BaseException) -> PeerError:
    """Return what a lost call raises, by how far it got."""
    if written and not _unauthenticated(error):
        return Broken(_describe(error))
    return NotDelivered(_describe(error))


def cancelling() -> int:
    """Return how many cancellations of this task are counted."""
    task = asyncio.current_task()
    return task.cancelling() if task else 0


def forget_cancellation(before: int) -> None:
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
