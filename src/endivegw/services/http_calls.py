"""One bounded HTTP call, told apart by how far it got."""

from __future__ import annotations

from typing import Any, Mapping
from urllib.parse import urlsplit

import anyio
import httpcore
from attrs import frozen

from endivegw.results import Reason, Refused, Unknown

__all__ = [
    "Answer",
    "CallFailure",
    "HttpCaller",
    "Lost",
    "NotSent",
    "failed_read",
    "failed_write",
]

#: Connections kept by one daemon to one service: a daemon has a handful of
#: calls in flight at most, and 1,020 daemons must not exhaust the service's
#: sockets.
MAX_CONNECTIONS = 8
KEEPALIVE_S = 30.0

#: The largest answer that is read; one page of a listing stays below 1 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@frozen
class Answer:
    """Hold a whole answer; names of header fields are in lower case."""

    status: int
    fields: Mapping[str, str]
    body: bytes

    def retry_after_s(self) -> float | None:
        """Return what the service asks to wait, None where it does not say."""
        try:
            return float(self.fields["retry-after"])
        except (KeyError, ValueError):
            return None


@frozen
class NotSent:
    """Say that not one byte of the request left: nothing can have happened."""

    reason: Reason
    detail: str


@frozen
class Lost:
    """Say that the request left and no whole answer came back."""

    reason: Reason
    detail: str


CallFailure = NotSent | Lost


def failed_read(failure: CallFailure) -> Refused:
    """Turn a failure of a call that changes nothing."""
    return Refused(failure.reason, failure.detail)


def failed_write(failure: CallFailure) -> Refused | Unknown:
    """Turn a failure of a call that changes something.

    A write whose request left may have taken effect although the caller saw
    a timeout. Calling that "refused" would let the caller repeat it, and a
    top-up would be added twice.
    """
    match failure:
        case NotSent(reason, detail):
            return Refused(reason, detail)
        case Lost(reason, detail):
            return Unknown(reason, detail)


class _Progress:
    """Record how far a call got, and put its end off while its answer comes.

    :ivar sent: whether the request began to leave this process.
    :ivar answer_begun: whether a piece of the answer's body came.
    """

    def __init__(self) -> None:
        self.sent = False
        self.answer_begun = False
        self._scope: anyio.CancelScope | None = None
        self._silence_s = 0.0
        self._ends_s = 0.0

    def extend_deadline(
        self, scope: anyio.CancelScope, silence_s: float, longest_s: float
    ) -> None:
        """Let each piece put the scope's deadline off, up to a bound."""
        self._scope = scope
        self._silence_s = silence_s
        self._ends_s = anyio.current_time() + longest_s

    def note_piece(self) -> None:
        """Take in that a piece of the answer came."""
        self.answer_begun = True
        if self._scope is not None:
            next_s = anyio.current_time() + self._silence_s
            self._scope.deadline = min(next_s, self._ends_s)

    async def note(self, event: str, info: Mapping[str, Any]) -> None:
        if event.endswith("send_request_headers.started"):
            self.sent = True


class HttpCaller:
    """Call one service through a pool of kept connections.

    :param base_url: scheme, host, port and the path below which names lie.
    :param client_name: sent as user agent, so that the service's operators
        can tell the callers apart.
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
        """Return the URL without a slash at its end."""
        return self._base_url

    async def call(
        self,
        method: str,
        path: str,
        *,
        fields: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float,
        longest_s: float | None = None,
    ) -> Answer | NotSent | Lost:
        """Make one call and read its whole answer.

        :param timeout_s: how long the service may be silent: until the answer begins,
            and between two pieces of it.
        :param longest_s: how long the whole call may take while pieces keep coming;
            None where ``timeout_s`` bounds the whole. A large answer over a slow link
            takes longer than a silent connection may go unnoticed. Given up and made
            again from its start, it would never be there.
        """
        progress = _Progress()
        sent_fields = {"host": self._host, "user-agent": self._client_name}
        sent_fields.update(fields or {})
        try:
            with anyio.fail_after(timeout_s) as scope:
                if longest_s is not None:
                    progress.extend_deadline(scope, timeout_s, longest_s)
                return await self._exchange(method, path, sent_fields, body, progress)
        except (TimeoutError, httpcore.TimeoutException):
            detail = f"no answer in {timeout_s:g} s"
            if longest_s is not None and progress.answer_begun:
                detail = f"the answer did not go on for {timeout_s:g} s"
            return _failure(progress, Reason.TIMEOUT, detail)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
            OSError,
        ) as error:
            detail = f"{type(error).__name__}: {error}"
            return _failure(progress, Reason.UNREACHABLE, detail)

    async def _exchange(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        progress: _Progress,
    ) -> Answer | Lost:
        if body or method in ("POST", "PUT"):
            fields["content-length"] = str(len(body))
        async with self._pool.stream(
            method,
            self._base_url + path,
            headers=list(fields.items()),
            content=body or None,
            extensions={"trace": progress.note},
        ) as response:
            received = bytearray()
            async for chunk in response.aiter_stream():
                received += chunk
                progress.note_piece()
                if len(received) > MAX_ANSWER_BYTES:
                    return Lost(Reason.BODY_TOO_LARGE, "the answer is too large")
            names = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            return Answer(response.status, names, bytes(received))

    async def close(self) -> None:
        """Close all kept connections."""
        await self._pool.aclose()


def _failure(progress: _Progress, reason: Reason, detail: str) -> NotSent | Lost:
    return Lost(reason, detail) if progress.sent else NotSent(reason, detail)
