"""Adapter for plain services that are called over HTTP."""

from __future__ import annotations

from typing import Any, AsyncIterator

import httpcore

from endivegw.results import Reason
from endivegw.targets.http_common import (
    HOP_BY_HOP,
    default_pool,
    nothing_was_sent,
    reason_of,
)
from endivegw.targets.ports import EngineFailed, ServiceAnswerHead, ServiceRequest
from endivegw.types import Usage

__all__ = ["ATTEMPT_HEADER", "HttpService"]

#: Lets a service, and whoever reads its log, tell tries of one call apart.
ATTEMPT_HEADER = "x-request-id"

_CONNECT_TIMEOUT_S = 1.0

#: The sidecar cuts a call off at its deadline. This bound is for a service
#: that went silent while no deadline was near: beyond it a connection is dead.
_SILENCE_TIMEOUT_S = 300.0

HeaderFields = tuple[tuple[str, str], ...]


class HttpService:
    """Speak to one plain service.

    :param base_url: scheme, host and port; calls are appended to it.
    :param pool: connections to the service, an own pool where none is given.
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
        """Yield the head, then the body, or one failure in place of the rest."""
        try:
            async with self._pool.stream(
                request.method,
                self._base_url + request.path,
                headers=_request_headers(request),
                content=await _content(body),
                extensions=_TIMEOUTS,
            ) as response:
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
        "read": _SILENCE_TIMEOUT_S,
        "write": _SILENCE_TIMEOUT_S,
    }
}


def end_to_end(fields: HeaderFields) -> HeaderFields:
    """Return the fields that are passed on: all but those of one connection."""
    listed = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP and name.lower() not in listed
    )


def _request_headers(request: ServiceRequest) -> list[tuple[str, str]]:
    kept = [
        (name, value)
        for name, value in end_to_end(request.fields)
        if name.lower() != ATTEMPT_HEADER
    ]
    return [*kept, (ATTEMPT_HEADER, request.attempt_id)]


def _answer_fields(response: httpcore.Response) -> HeaderFields:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
    return end_to_end(fields)


async def _content(body: AsyncIterator[bytes]) -> AsyncIterator[bytes] | None:
    """Return the body, None where it is empty.

    A call without a body must not be sent with chunked framing: some services
    refuse that for GET.
    """
    async for first in body:
        if first:
            return _chained(first, body)
    return None


async def _chained(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for data in rest:
        if data:
            yield data


def _failure(error: Exception) -> EngineFailed:
    started = not nothing_was_sent(error)
    reason = reason_of(error)
    if started and reason is Reason.UNREACHABLE:
        reason = Reason.TARGET_FAILED
    return EngineFailed(reason, repr(error), started, Usage(), True)
