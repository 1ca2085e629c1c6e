"""Adapter for engines that implement the OpenAI completions protocol over HTTP.

In addition to the completions calls it uses a few small JSON endpoints, which the
constants below name. Engines without these endpoints answer 404, which is returned as
a refusal with ``NOT_FOUND``.
"""

from __future__ import annotations

import json
from contextlib import aclosing
from typing import Any, AsyncGenerator, AsyncIterator

import anyio
import httpcore
from attrs import define, evolve

from endivegw.http_responses import require_valid_head
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.targets.engine_body import (
    EngineBody,
    parse_chunk,
    parse_usage,
    prepare_body,
)
from endivegw.targets.http_common import (
    AnswerTooLarge,
    default_pool,
    error_reason,
    read_body,
    request_was_not_sent,
)
from endivegw.targets.ports import (
    CacheChange,
    EngineEnded,
    EngineEvent,
    EngineFailed,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineText,
)
from endivegw.types import AttemptId, Usage

__all__ = ["OpenAiEngine"]

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
REQUESTS_PATH = "/v1/requests"
LOAD_PATH = "/v1/load"
STATE_PATH = "/v1/state"
ORDERS_PATH = "/v1/orders"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-deadline-s"

#: Limit for opening a connection to a target on the same machine.
_CONNECT_TIMEOUT_S = 1.0

#: Time-out of a small JSON call.
_CALL_TIMEOUT_S = 2.0

#: Time-out of an order; loading a large model takes minutes.
_ORDER_TIMEOUT_S = 600.0

#: Time-out for cancelling an abandoned answer.
_CANCEL_TIMEOUT_S = 1.0

#: Maximum size of the body of a failure, and of one line of a stream.
_MAX_FAILURE_BYTES = 65536
_MAX_LINE_BYTES = 1024 * 1024

#: Maximum size of the answer to a JSON call; a report of load lists cache changes.
_MAX_REPORT_BYTES = 4 * 1024 * 1024

#: Statuses by which an engine reports that it did not start the request.
_NOT_STARTED_REASONS = {
    400: Reason.BAD_REQUEST,
    401: Reason.BAD_REQUEST,
    404: Reason.UNKNOWN_MODEL,
    413: Reason.BODY_TOO_LARGE,
    422: Reason.BAD_REQUEST,
    429: Reason.OVERLOADED,
    503: Reason.OVERLOADED,
}

_DONE_MARK = b"[DONE]"
_DATA_PREFIX = b"data:"


@define
class _Progress:
    """Track one answer, so that its consumption is known if it is interrupted."""

    tokens: int = 0
    finish_reason: str = ""
    usage: Usage | None = None
    done: bool = False

    def min_usage(self) -> Usage:
        return self.usage or Usage(0, self.tokens)


class OpenAiEngine:
    """Client of one engine.

    :param base_url: scheme, host and port.
    :param pool: connections to the engine; a new pool if none is given.
    """

    def __init__(
        self, base_url: str, pool: httpcore.AsyncConnectionPool | None = None
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = pool or default_pool()
        self._last_cache_sequence = 0

    async def aclose(self) -> None:
        """Close the connections to the engine."""
        await self._pool.aclose()

    def generate(self, request: EngineRequest) -> AsyncGenerator[EngineEvent, None]:
        """Yield text, then one end or failure; closing the iterator cancels."""
        body = prepare_body(request)
        path = CHAT_PATH if request.chat else TEXT_PATH
        return self._stream(request, path, body, resumed=False)

    def resume(
        self, request: EngineRequest, pieces: int
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yield the events after the first ``pieces`` chunks of a running answer."""
        body = prepare_body(request)
        if isinstance(body, EngineBody):
            body = evolve(body, data=json.dumps({"after": pieces}).encode())
        path = f"{REQUESTS_PATH}/{request.attempt_id}/resume"
        return self._stream(request, path, body, resumed=True)

    async def cancel(self, attempt_id: AttemptId) -> Result[Usage]:
        """Cancel an answer and return its token usage."""
        path = f"{REQUESTS_PATH}/{attempt_id}/cancel"
        result = await self._call("POST", path, {}, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        usage = parse_usage(result.value.get("usage"))
        if usage is None:
            return Unknown(
                Reason.TARGET_FAILED, "the answer to the cancellation reports no usage"
            )
        return Done(usage)

    async def load(self) -> Result[EngineLoad]:
        """Return the load report, with the cache events since the previous one."""
        path = f"{LOAD_PATH}?after={self._last_cache_sequence}"
        result = await self._call("GET", path, None, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        try:
            load = _parse_load(result.value)
        except (KeyError, TypeError, ValueError) as error:
            return Unknown(Reason.TARGET_FAILED, f"malformed load report: {error!r}")
        if load.cache_changes:
            self._last_cache_sequence = load.cache_changes[-1].sequence
        return Done(load)

    async def order(self, order: EngineOrder) -> Result[None]:
        """Execute an order.

        An engine that checks fencing numbers refuses an outdated one with
        ``STALE_FENCE``.
        """
        fields = {
            "kind": order.kind,
            "name": order.name,
            "version": order.version,
            "fence": order.fence,
        }
        result = await self._call("POST", ORDERS_PATH, fields, _ORDER_TIMEOUT_S)
        return Done(None) if isinstance(result, Done) else result

    async def state(self) -> Result[tuple[str, ...]]:
        """Return the loaded models, and the role as ``role:NAME``."""
        result = await self._call("GET", STATE_PATH, None, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        models = result.value.get("models")
        if not isinstance(models, list):
            return Unknown(Reason.TARGET_FAILED, "the state report lists no models")
        return Done(tuple(str(model) for model in models))

    async def _stream(
        self,
        request: EngineRequest,
        path: str,
        body: EngineBody | Refused,
        *,
        resumed: bool,
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yield the events of one streamed answer."""
        if isinstance(body, Refused):
            yield EngineFailed(body.reason, body.detail, resumed, Usage(), not resumed)
            return
        finished = False
        try:
            async with aclosing(self._events(request, path, body)) as events:
                async for event in events:
                    finished = not isinstance(event, EngineText)
                    if resumed and isinstance(event, EngineFailed):
                        # A refused resumption does not undo the started answer.
                        event = evolve(event, started=True, usage_final=False)
                    yield event
        finally:
            # A consumer that stops reading early no longer needs the answer. An engine
            # that continued would consume tokens that nobody receives.
            if not finished:
                with anyio.move_on_after(_CANCEL_TIMEOUT_S, shield=True):
                    await self.cancel(request.attempt_id)

    async def _events(
        self, request: EngineRequest, path: str, body: EngineBody
    ) -> AsyncGenerator[EngineEvent, None]:
        progress = _Progress()
        deadline_s = anyio.current_time() + request.deadline_s
        try:
            async with self._pool.stream(
                "POST",
                self._base_url + path,
                headers=_headers(request),
                content=body.data,
                extensions=_timeouts(request.deadline_s),
            ) as response:
                require_valid_head(response)
                if response.status != 200:
                    yield await _status_failure(response)
                    return
                async for data in _server_sent_data(response):
                    for event in _parse_data(data, progress, body):
                        yield event
                        if not isinstance(event, EngineText):
                            return
                    if anyio.current_time() > deadline_s:
                        yield _incomplete(progress, Reason.DEADLINE, "deadline passed")
                        return
        except AnswerTooLarge as error:
            yield _incomplete(progress, Reason.TARGET_FAILED, str(error))
            return
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            yield _transport_failure(progress, error)
            return
        yield _incomplete(
            progress, Reason.TARGET_FAILED, "the answer ended without its end marker"
        )

    async def _call(
        self, method: str, path: str, fields: dict[str, Any] | None, timeout_s: float
    ) -> Result[dict[str, Any]]:
        """Make one JSON call."""
        content = None if fields is None else json.dumps(fields).encode()
        try:
            async with self._pool.stream(
                method,
                self._base_url + path,
                headers={"content-type": "application/json"},
                content=content,
                extensions=_timeouts(timeout_s),
            ) as response:
                require_valid_head(response)
                body = await read_body(response, _MAX_REPORT_BYTES)
        except AnswerTooLarge as error:
            return Unknown(Reason.TARGET_FAILED, str(error))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            if request_was_not_sent(error):
                return Refused(error_reason(error), repr(error))
            return Unknown(error_reason(error), repr(error))
        return _json_result(response.status, body)


def _headers(request: EngineRequest) -> dict[bytes | str, bytes | str]:
    return {
        "content-type": "application/json",
        REQUEST_ID_HEADER: request.attempt_id,
        DEADLINE_HEADER: f"{request.deadline_s:.3f}",
    }


def _timeouts(read_s: float) -> dict[str, Any]:
    return {
        "timeout": {
            "connect": _CONNECT_TIMEOUT_S,
            "pool": _CONNECT_TIMEOUT_S,
            "read": max(read_s, 0.001),
            "write": _CALL_TIMEOUT_S,
        }
    }


async def _server_sent_data(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event.

    :raises AnswerTooLarge: if a line is too long.
    """
    rest = bytearray()
    async for received in response.aiter_stream():
        if b"\n" not in received:
            lines = []
            rest += received
        else:
            *lines, last = bytes(rest + received).split(b"\n")
            rest = bytearray(last)
        if len(rest) > _MAX_LINE_BYTES:
            raise AnswerTooLarge(
                f"got {len(rest)} bytes of a line, the limit is {_MAX_LINE_BYTES}"
            )
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                yield line[len(_DATA_PREFIX) :].strip()


def _parse_data(
    data: bytes, progress: _Progress, body: EngineBody
) -> list[EngineEvent]:
    """Return the events that result from the data of one server-sent event."""
    if data == _DONE_MARK:
        return [_completed(progress)]
    chunk = parse_chunk(data)
    if chunk is None:
        return [_incomplete(progress, Reason.TARGET_FAILED, "malformed chunk")]
    if chunk.error:
        return [_incomplete(progress, Reason.TARGET_FAILED, chunk.error)]
    progress.tokens += chunk.tokens
    progress.usage = chunk.usage or progress.usage
    progress.finish_reason = chunk.finish_reason or progress.finish_reason
    if chunk.usage_only and not body.caller_wants_usage:
        return []
    return [EngineText(data, chunk.tokens)]


def _completed(progress: _Progress) -> EngineEvent:
    # An end without a finish reason or usage means that the answer is truncated: the
    # caller would take a partial answer for a complete one, and the consumption to bill
    # would be unknown.
    if progress.usage is None or not progress.finish_reason:
        return _incomplete(
            progress,
            Reason.TARGET_FAILED,
            "the end of the answer lacks usage or finish reason",
        )
    return EngineEnded(progress.usage, progress.finish_reason)


def _incomplete(progress: _Progress, reason: Reason, detail: str) -> EngineFailed:
    return EngineFailed(reason, detail, True, progress.min_usage(), False)


def _transport_failure(progress: _Progress, error: Exception) -> EngineFailed:
    not_sent = request_was_not_sent(error)
    usage = Usage() if not_sent else progress.min_usage()
    return EngineFailed(error_reason(error), repr(error), not not_sent, usage, not_sent)


async def _status_failure(response: httpcore.Response) -> EngineFailed:
    """Return the failure for an answer whose status is not 200."""
    body = await read_body(response, _MAX_FAILURE_BYTES)
    detail = body[:500].decode(errors="replace")
    reason = _NOT_STARTED_REASONS.get(response.status)
    if reason is None:
        # A 500 may occur after the engine started, so it proves nothing.
        return EngineFailed(Reason.TARGET_FAILED, detail, True, Usage(), False)
    return EngineFailed(reason, detail, False, Usage(), True)


def _json_result(status: int, content: bytes) -> Result[dict[str, Any]]:
    detail = content[:500].decode(errors="replace")
    if status == 404:
        return Refused(Reason.NOT_FOUND, detail)
    if status == 409:
        return Refused(Reason.STALE_FENCE, detail)
    if status == 400:
        return Refused(Reason.BAD_REQUEST, detail)
    if status in (429, 503):
        return Refused(Reason.OVERLOADED, detail)
    if status != 200:
        return Unknown(Reason.TARGET_FAILED, f"status {status}: {detail}")
    try:
        value = json.loads(content)
    except ValueError:
        return Unknown(Reason.TARGET_FAILED, "the answer is not valid JSON")
    if not isinstance(value, dict):
        return Unknown(Reason.TARGET_FAILED, "the answer is not a JSON object")
    return Done(value)


def _parse_load(value: dict[str, Any]) -> EngineLoad:
    changes = tuple(
        CacheChange(
            int(change["sequence"]),
            bytes.fromhex(change["prefix"]),
            bool(change["evicted"]),
        )
        for change in value.get("cache_changes", ())
    )
    return EngineLoad(
        running=int(value["running"]),
        waiting=int(value["waiting"]),
        slots=int(value["slots"]),
        tokens_per_s=float(value["tokens_per_s"]),
        models=tuple(str(model) for model in value["models"]),
        age_s=float(value["age_s"]),
        cache_changes=changes,
    )
