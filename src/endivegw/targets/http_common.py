"""Names and small steps of HTTP that the adapters of targets share."""

from __future__ import annotations

import httpcore

from endivegw.results import Reason

__all__ = [
    "HOP_BY_HOP",
    "MAX_CONNECTIONS",
    "default_pool",
    "nothing_was_sent",
    "reason_of",
]

#: Header fields that belong to one connection and are not passed on.
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

#: A sidecar fronts one target. Twice the largest batch that engines run today
#: leaves room for orders and load reports beside the streams.
MAX_CONNECTIONS = 512

_KEEP_ALIVE_S = 30.0


def default_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool for one target that does not retry on its own."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
        keepalive_expiry=_KEEP_ALIVE_S,
        retries=0,
    )


def nothing_was_sent(error: Exception) -> bool:
    """Return whether the target cannot have seen the request.

    Only errors before the connection stood prove that. A write that failed
    half-way, or a connection closed before the answer, proves nothing: the
    target may have read the whole request. Taken for "not run", it would let
    a request run twice.
    """
    before_connection = (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
        httpcore.UnsupportedProtocol,
    )
    return isinstance(error, before_connection)


def reason_of(error: Exception) -> Reason:
    """Return the stable reason for an error of the HTTP library."""
    if isinstance(error, (httpcore.ConnectTimeout, httpcore.ConnectError)):
        return Reason.UNREACHABLE
    if isinstance(error, httpcore.PoolTimeout):
        return Reason.OVERLOADED
    if isinstance(error, httpcore.TimeoutException):
        return Reason.TIMEOUT
    return Reason.TARGET_FAILED
