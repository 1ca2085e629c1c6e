"""Answer and report requests that fail with an unexpected error."""

from __future__ import annotations

from typing import Any, Awaitable, Callable, Mapping

from endivegw.daemons.http_answers import Send, TruncatedAnswer, send_error
from endivegw.daemons.http_body import Receive
from endivegw.daemons.http_messages import http_error
from endivegw.results import Reason, Unknown
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.daemons import UNEXPECTED_ERROR

__all__ = ["AnswerGuard"]

Application = Callable[[Mapping[str, Any], Receive, Send], Awaitable[None]]


class AnswerGuard:
    """ASGI application that answers where the one behind it fails.

    The HTTP server's own error page does not state that the request may have run, and
    the server logs nothing.
    """

    def __init__(self, application: Application, log: EventLog) -> None:
        self._application = application
        self._log = log

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        started = False

        async def send_recorded(message: dict[str, Any]) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self._application(scope, receive, send_recorded)
        except Exception as error:
            if _is_truncation(error):
                raise
            self._log.emit(UNEXPECTED_ERROR, detail=repr(error))
            if started:
                # The server closes the connection, so that the caller recognises the
                # answer as truncated.
                raise
            problem = Unknown(Reason.TARGET_FAILED, "an internal error occurred")
            await send_error(send, http_error(problem))


def _is_truncation(error: Exception) -> bool:
    if isinstance(error, ExceptionGroup):
        return error.split(TruncatedAnswer)[1] is None
    return isinstance(error, TruncatedAnswer)
