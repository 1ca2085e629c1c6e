"""Adapter for plain services that are called over HTTP."""

from __future__ import annotations

from typing import Any, AsyncIterator

import httpcore

from endivegw.http_responses import require_valid_head
from endivegw.results import Reason
from endivegw.targets.http_common import (
    HOP_BY_HOP,
    default_pool,
    error_reason,
    request_was_not_sent,
)
from endivegw.targets.ports import EngineFailed, ServiceAnswerHead, ServiceRequest
from endivegw.types import Usage

__all__ = ["ATTEMPT_HEADER", "HttpService"]

#: Header that lets a service and its logs distinguish the attempts of one call.
ATTEMPT_HEADER = "x-request-id"

_CONNECT_TIMEOUT_S = 1.0

#: Time without data after which a connection counts as dead. The sidecar itself ends a
#: call at its deadline; this limit applies if the deadline is later.
_IDLE_TIMEOUT_S = 300.0

HeaderFields = tuple[tuple[str, str], ...]


class HttpService:
    """Client of one plain service.

    :param base_url: scheme, host and port; the path of a call is appended to it.
    :param pool: connections to the service; a new pool if none is given.
    """

    def __init__(
        self, base_url: str, pool: httpcore.AsyncConnectionPool | None = None
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = pool or default_pool()

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self._pool.aclose()

    async def call(
        self, request: ServiceRequest, body: AsyncIterator[bytes]
    ) -> AsyncIterator[ServiceAnswerHead | bytes | EngineFailed]:
        """Yield the head and the body; a failure replaces the missing part."""
        try:
            async with self._pool.stream(
                request.method,
                self._base_url + request.path,
                headers=_request_headers(request),
                content=await _content(body),
                extensions=_TIMEOUTS,
            ) as response:
                require_valid_head(response)
                yield ServiceAnswerHead(response.status, _answer_fields(response))
                async for data in response.aiter_stream():
                    yield data
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            yield _failure(error)


_TIMEOUTS: dict[str, Any] = {
    "timeout": {
        "connect": _CONNECT_TIMEOUT_S,
        "pool": _CONNECT_TIMEOUT_S,
        "read": _IDLE_TIMEOUT_S,
        "write": _IDLE_TIMEOUT_S,
    }
}


def end_to_end(fields: HeaderFields) -> HeaderFields:
    """Return the fields that are forwarded: all but the hop-by-hop ones."""
    connection_tokens = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_tokens
    )


def _request_headers(request: ServiceRequest) -> list[tuple[str, str]]:
    forwarded = [
        (name, value)
        for name, value in end_to_end(request.fields)
        if name.lower() != ATTEMPT_HEADER
    ]
    return [*forwarded, (ATTEMPT_HEADER, request.attempt_id)]


def _answer_fields(response: httpcore.Response) -> HeaderFields:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
    return end_to_end(fields)


async def _content(body: AsyncIterator[bytes]) -> AsyncIterator[bytes] | None:
    """Return the body, None if it is empty.

    A call without a body must not be sent with chunked encoding, which some services
    reject for GET.
    """
    async for first in body:
        if first:
            return _chain(first, body)
    return None


async def _chain(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for data in rest:
        if data:
            yield data


def _failure(error: Exception) -> EngineFailed:
    started = not request_was_not_sent(error)
    reason = error_reason(error)
    if started and reason is Reason.UNREACHABLE:
        reason = Reason.TARGET_FAILED
    return EngineFailed(reason, repr(error), started, Usage(), True)
