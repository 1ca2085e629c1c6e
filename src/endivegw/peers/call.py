"""Connection setup and error handling of calls to other processes of the fleet."""

from __future__ import annotations

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from endivegw.exceptions import PeerError
from endivegw.peers.errors import NotDelivered, OutcomeUnknown

__all__ = [
    "DEFAULT_CONNECT_TIMEOUT_S",
    "TRANSPORT_ERRORS",
    "call_error",
    "call_unary",
    "cancellation_count",
    "connect",
    "discard_cancellation",
]

#: Timeout for opening a connection. The latency between two regions is about 100 ms;
#: one second covers one lost packet and leaves time to place the request elsewhere.
DEFAULT_CONNECT_TIMEOUT_S = 1.0

#: Exceptions raised by grpclib when the outcome of a call is lost.
TRANSPORT_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)


async def call_unary(
    method: Any, request: Any, timeout_s: float, connect_timeout_s: float
) -> Any:
    """Make a unary call and return its reply.

    :raises NotDelivered: if the other process cannot have received the request.
    :raises OutcomeUnknown: if the other process may have received it.
    """
    written = False
    before = cancellation_count()
    try:
        async with method.open(timeout=timeout_s) as stream:
            await connect(stream, connect_timeout_s)
            written = True
            await stream.send_message(request, end=True)
            reply = await stream.recv_message()
    except TRANSPORT_ERRORS as error:
        discard_cancellation(before)
        raise call_error(written, error) from error
    if reply is None:
        raise OutcomeUnknown("call ended without a reply")
    return reply


async def connect(stream: Any, timeout_s: float) -> None:
    """Open the call, and the connection if there is none."""
    # The wait runs in this task. A task of its own would cost each call more than
    # the call's headers, although only the first call has to wait.
    async with asyncio.timeout(timeout_s):
        await stream.send_request()


def call_error(written: bool, error: BaseException) -> PeerError:
    """Return the exception for a failed call.

    :param written: whether the request was written to the connection.
    """
    if written and not _unauthenticated(error):
        return OutcomeUnknown(_describe(error))
    return NotDelivered(_describe(error))


def cancellation_count() -> int:
    """Return the number of pending cancellation requests of the current task."""
    task = asyncio.current_task()
    return task.cancelling() if task else 0


def discard_cancellation(before: int) -> None:
    """Discard the cancellation request that grpclib made for this task.

    When a connection breaks, grpclib cancels the tasks that wait on it and converts
    the cancellation into an error, but does not reset the task's count of
    cancellation requests. The next cancel scope of the task that times out would
    then let a cancellation escape, which would end a caller's request without a
    response.

    :param before: number of cancellation requests when the call started.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling() > before:
        task.uncancel()


def _unauthenticated(error: BaseException) -> bool:
    # This status is sent before any handler runs, so that the call had no effect.
    return isinstance(error, GRPCError) and error.status is Status.UNAUTHENTICATED


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
