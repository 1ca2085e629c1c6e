"""What callers of a router's HTTP interface share, from its settings."""

from __future__ import annotations

import resource

from endivegw.capacity import ConnectionLimit, HeldMemory, RouterCapacity
from endivegw.daemons.http_messages import http_error
from endivegw.http_connections import BODY_COPIES, ClientLimits
from endivegw.http_protocol import closing_response
from endivegw.results import Reason, Refused
from endivegw.settings import HttpLimits

__all__ = ["client_limits"]

_BYTES_PER_MB = 1_000_000

#: Time without a byte after which a new connection is closed. Load balancers open some
#: in advance.
_UNUSED_TIMEOUT_S = 30.0

_RETRY_S = 1.0


def client_limits(limits: HttpLimits) -> ClientLimits:
    """Return the limits that all connections of callers share."""
    return ClientLimits(
        memory=HeldMemory(
            max_bytes=limits.held_mb * _BYTES_PER_MB,
            largest_bytes=limits.max_body_bytes * BODY_COPIES,
        ),
        connections=ConnectionLimit(_max_connections(limits)),
        unused_timeout_s=_UNUSED_TIMEOUT_S,
        head_timeout_s=limits.head_timeout_s,
        full_response=_response("too much is held for requests"),
        late_response=_response("the request's head was not received in time"),
    )


def _max_connections(limits: HttpLimits) -> float:
    if limits.max_connections is not None:
        return limits.max_connections
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return RouterCapacity(descriptors=soft_limit).max_connections


def _response(detail: str) -> bytes:
    """Return the response to a request that has not run and may be sent again."""
    error = http_error(Refused(Reason.ROUTER_FULL, detail, _RETRY_S))
    return closing_response(error.status, error.fields, error.body)
