"""HTTP calls with bounded time and size, whose errors state how far the call got."""

from __future__ import annotations

from typing import Any, Mapping
from urllib.parse import urlsplit

import anyio
import httpcore
from attrs import frozen

from endivegw.http_responses import require_valid_head
from endivegw.results import Reason, Refused, Unknown

__all__ = [
    "CallError",
    "HttpCaller",
    "HttpResponse",
    "NotSent",
    "ResponseLost",
    "read_failure",
    "write_failure",
]

#: Maximum number of connections from one daemon to one service. A daemon has only
#: a few calls in flight, and 1,020 daemons must not exhaust the service's sockets.
MAX_CONNECTIONS = 8
#: How long an idle connection stays open.
KEEPALIVE_S = 30.0

#: Maximum size of a response body; one page of a listing stays below 1 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@frozen
class HttpResponse:
    """Hold a complete response; names of header fields are in lower case."""

    status: int
    fields: Mapping[str, str]
    body: bytes

    def retry_after_s(self) -> float | None:
        """Return the delay that the service requests, or None if it requests none."""
        try:
            return float(self.fields["retry-after"])
        except (KeyError, ValueError):
            return None


@frozen
class NotSent:
    """Report that no byte of the request was sent, so it cannot have had an effect."""

    reason: Reason
    detail: str


@frozen
class ResponseLost:
    """Report that the request was sent and no complete response was received."""

    reason: Reason
    detail: str


CallError = NotSent | ResponseLost


def read_failure(failure: CallError) -> Refused:
    """Convert the failure of a call that modifies no data to a result."""
    return Refused(failure.reason, failure.detail)


def write_failure(failure: CallError) -> Refused | Unknown:
    """Convert the failure of a call that may modify data to a result.

    A write that was sent may have taken effect even though the caller saw a
    timeout. If it were reported as refused, the caller would retry it, and a
    budget's top-up would be added twice.
    """
    match failure:
        case NotSent(reason, detail):
            return Refused(reason, detail)
        case ResponseLost(reason, detail):
            return Unknown(reason, detail)


class _Progress:
    """Record how far a call got, and extend its deadline while the response arrives.

    :ivar sent: whether sending of the request has started.
    :ivar response_started: whether a chunk of the response body was received.
    """

    def __init__(self) -> None:
        self.sent = False
        self.response_started = False
        self._scope: anyio.CancelScope | None = None
        self._max_gap_s = 0.0
        self._final_deadline_s = 0.0

    def extend_deadline(
        self, scope: anyio.CancelScope, max_gap_s: float, max_total_s: float
    ) -> None:
        """Let each chunk extend the scope's deadline, up to ``max_total_s`` in all."""
        self._scope = scope
        self._max_gap_s = max_gap_s
        self._final_deadline_s = anyio.current_time() + max_total_s

    def record_chunk(self) -> None:
        """Record a chunk of the response body and extend the deadline."""
        self.response_started = True
        if self._scope is not None:
            next_s = anyio.current_time() + self._max_gap_s
            self._scope.deadline = min(next_s, self._final_deadline_s)

    async def trace(self, event: str, info: Mapping[str, Any]) -> None:
        """Handle a trace event of httpcore; detects the start of sending."""
        if event.endswith("send_request_headers.started"):
            self.sent = True


class HttpCaller:
    """Call one service through a pool of persistent connections.

    :param base_url: scheme, host, port and path prefix of the service.
    :param client_name: sent as the user agent, so that the service's operators can
        distinguish the callers.
    """

    def __init__(self, base_url: str, *, client_name: str = "endivegw") -> None:
        self._base_url = base_url.rstrip("/")
        self._client_name = client_name
        self._host = urlsplit(base_url).netloc
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_S
        )

    @property
    def base_url(self) -> str:
        """Return the base URL without a trailing slash."""
        return self._base_url

    async def call(
        self,
        method: str,
        path: str,
        *,
        fields: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float,
        max_total_s: float | None = None,
    ) -> HttpResponse | NotSent | ResponseLost:
        """Make one call and read the complete response.

        :param timeout_s: maximum time until the response body starts, and between
            two chunks of it.
        :param max_total_s: maximum duration of the call while chunks keep arriving;
            None if ``timeout_s`` limits the entire call. A large response over a slow
            link takes longer than the time after which an idle connection must be
            detected, and would never complete if each attempt were aborted then and
            restarted from the beginning.
        """
        progress = _Progress()
        sent_fields = {"host": self._host, "user-agent": self._client_name}
        sent_fields.update(fields or {})
        try:
            # A chunk may extend the deadline after the scope was cancelled, so that
            # the time at its end does not show whether it was.
            with anyio.move_on_after(timeout_s) as scope:
                if max_total_s is not None:
                    progress.extend_deadline(scope, timeout_s, max_total_s)
                return await self._exchange(method, path, sent_fields, body, progress)
        except httpcore.TimeoutException:
            pass
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
            OSError,
        ) as error:
            detail = f"{type(error).__name__}: {error}"
            return _failure(progress, Reason.UNREACHABLE, detail)
        detail = f"no answer in {timeout_s:g} s"
        if max_total_s is not None and progress.response_started:
            detail = f"response stalled for {timeout_s:g} s"
        return _failure(progress, Reason.TIMEOUT, detail)

    async def _exchange(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        progress: _Progress,
    ) -> HttpResponse | ResponseLost:
        if body or method in ("POST", "PUT"):
            fields["content-length"] = str(len(body))
        async with self._pool.stream(
            method,
            self._base_url + path,
            headers=list(fields.items()),
            content=body or None,
            extensions={"trace": progress.trace},
        ) as response:
            require_valid_head(response)
            received = bytearray()
            async for chunk in response.aiter_stream():
                received += chunk
                progress.record_chunk()
                if len(received) > MAX_RESPONSE_BYTES:
                    return ResponseLost(
                        Reason.BODY_TOO_LARGE,
                        f"response exceeds the limit of {MAX_RESPONSE_BYTES} bytes",
                    )
            names = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            return HttpResponse(response.status, names, bytes(received))

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._pool.aclose()


def _failure(
    progress: _Progress, reason: Reason, detail: str
) -> NotSent | ResponseLost:
    return ResponseLost(reason, detail) if progress.sent else NotSent(reason, detail)
