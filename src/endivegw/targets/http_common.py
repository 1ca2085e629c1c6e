"""HTTP helpers that the target adapters share."""

from __future__ import annotations

import httpcore

from endivegw.results import Reason

__all__ = [
    "HOP_BY_HOP",
    "MAX_CONNECTIONS",
    "AnswerTooLarge",
    "default_pool",
    "request_was_not_sent",
    "error_reason",
    "read_body",
]


class AnswerTooLarge(Exception):
    """Raised when an answer exceeds the limit on its size."""


#: Header fields that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Maximum connections to the one target of a sidecar. Twice the largest batch size of
#: current engines leaves connections for orders and load reports beside the streams.
MAX_CONNECTIONS = 512


def default_pool() -> httpcore.AsyncConnectionPool:
    """Return a connection pool for one target, without automatic retries.

    A connection carries one request: answers need not carry an id, so that an
    additional one would be taken for the answer to the next request.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=0, retries=0
    )


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body of an answer.

    :raises AnswerTooLarge: if it has more than ``max_bytes``.
    """
    received = bytearray()
    async for part in response.aiter_stream():
        received += part
        if len(received) > max_bytes:
            raise AnswerTooLarge(
                f"got {len(received)} bytes of an answer's body, the limit is "
                f"{max_bytes}"
            )
    return bytes(received)


def request_was_not_sent(error: Exception) -> bool:
    """Return whether the target cannot have received the request.

    Only an error before the connection was established proves that. After a write that
    failed midway, or a connection that closed before the answer, the target may have
    read the complete request. Treating that as "not run" could run a request twice.
    """
    before_connection = (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
        httpcore.UnsupportedProtocol,
    )
    return isinstance(error, before_connection)


def error_reason(error: Exception) -> Reason:
    """Return the reason code for an error of the HTTP library."""
    if isinstance(error, (httpcore.ConnectTimeout, httpcore.ConnectError)):
        return Reason.UNREACHABLE
    if isinstance(error, httpcore.PoolTimeout):
        return Reason.OVERLOADED
    if isinstance(error, httpcore.TimeoutException):
        return Reason.TIMEOUT
    return Reason.TARGET_FAILED
