"""Adapter for engines that speak the common completions protocol over HTTP.

Beside the completions calls it uses a few small JSON endpoints, named in the
constants below. Engines without them answer 404, which comes back as a
refusal with ``NOT_FOUND``.
"""

from __future__ import annotations

import json
from contextlib import aclosing
from typing import Any, AsyncGenerator, AsyncIterator

import anyio
import httpcore
from attrs import define, evolve

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.targets.engine_body import (
    EngineBody,
    parse_chunk,
    parse_usage,
    prepare_body,
)
from endivegw.targets.http_common import default_pool, nothing_was_sent, reason_of
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

#: How long a connection to a target on the same machine may take.
_CONNECT_TIMEOUT_S = 1.0

#: How long a small JSON call may take.
_CALL_TIMEOUT_S = 2.0

#: How long an order may take: loading a large model takes minutes.
_ORDER_TIMEOUT_S = 600.0

#: How long the cancellation of an abandoned answer is tried.
_CANCEL_TIMEOUT_S = 1.0

#: Statuses by which an engine says that it did not begin.
_NOT_BEGUN = {
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
    """Follow one answer, to know what it has consumed when it breaks."""

    tokens: int = 0
    finish_reason: str = ""
    usage: Usage | None = None
    done: bool = False

    def lower_bound(self) -> Usage:
        return self.usage or Usage(0, self.tokens)


class OpenAiEngine:
    """Speak to one engine.

    :param base_url: scheme, host and port.
    :param pool: connections to the engine, an own pool where none is given.
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
        """Yield text, then one end or failure; closing it cancels."""
        body = prepare_body(request)
        path = CHAT_PATH if request.chat else TEXT_PATH
        return self._stream(request, path, body, resumed=False)

    def resume(
        self, request: EngineRequest, pieces: int
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yield what follows the first ``pieces`` texts of a running answer."""
        body = prepare_body(request)
        if isinstance(body, EngineBody):
            body = evolve(body, data=json.dumps({"after": pieces}).encode())
        path = f"{REQUESTS_PATH}/{request.attempt_id}/resume"
        return self._stream(request, path, body, resumed=True)

    async def cancel(self, attempt_id: AttemptId) -> Result[Usage]:
        """Stop an answer; done with what it consumed."""
        path = f"{REQUESTS_PATH}/{attempt_id}/cancel"
        result = await self._call("POST", path, {}, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        usage = parse_usage(result.value.get("usage"))
        if usage is None:
            return Unknown(Reason.TARGET_FAILED, "the cancellation names no usage")
        return Done(usage)

    async def load(self) -> Result[EngineLoad]:
        """Return the engine's own figures, with the cache events since the last."""
        path = f"{LOAD_PATH}?after={self._last_cache_sequence}"
        result = await self._call("GET", path, None, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        try:
            load = _parse_load(result.value)
        except (KeyError, TypeError, ValueError) as error:
            return Unknown(Reason.TARGET_FAILED, f"unreadable load report: {error!r}")
        if load.cache_changes:
            self._last_cache_sequence = load.cache_changes[-1].sequence
        return Done(load)

    async def order(self, order: EngineOrder) -> Result[None]:
        """Carry out an order; refused with ``STALE_FENCE`` by those that check."""
        fields = {
            "kind": order.kind,
            "name": order.name,
            "version": order.version,
            "fence": order.fence,
        }
        result = await self._call("POST", ORDERS_PATH, fields, _ORDER_TIMEOUT_S)
        return Done(None) if isinstance(result, Done) else result

    async def state(self) -> Result[tuple[str, ...]]:
        """Read back what is loaded, and the role as ``role:NAME``."""
        result = await self._call("GET", STATE_PATH, None, _CALL_TIMEOUT_S)
        if not isinstance(result, Done):
            return result
        models = result.value.get("models")
        if not isinstance(models, list):
            return Unknown(Reason.TARGET_FAILED, "the state names no models")
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
        settled = False
        try:
            async with aclosing(self._events(request, path, body)) as events:
                async for event in events:
                    settled = not isinstance(event, EngineText)
                    if resumed and isinstance(event, EngineFailed):
                        # A refused resumption does not undo what was begun.
                        event = evolve(event, started=True, usage_final=False)
                    yield event
        finally:
            # Whoever stops reading early no longer wants the answer. An engine
            # that ran on would consume tokens that nobody gets.
            if not settled:
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
                if response.status != 200:
                    yield await _refusal(response)
                    return
                async for data in _server_sent_data(response):
                    for event in _take(data, progress, body):
                        yield event
                        if not isinstance(event, EngineText):
                            return
                    if anyio.current_time() > deadline_s:
                        yield _broken(progress, Reason.DEADLINE, "deadline passed")
                        return
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            yield _failed(progress, error)
            return
        except httpcore.TimeoutException as error:
            yield _failed(progress, error)
            return
        yield _broken(progress, Reason.TARGET_FAILED, "the answer broke off")

    async def _call(
        self, method: str, path: str, fields: dict[str, Any] | None, timeout_s: float
    ) -> Result[dict[str, Any]]:
        """Make one small JSON call."""
        content = None if fields is None else json.dumps(fields).encode()
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                headers={"content-type": "application/json"},
                content=content,
                extensions=_timeouts(timeout_s),
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            if nothing_was_sent(error):
                return Refused(reason_of(error), repr(error))
            return Unknown(reason_of(error), repr(error))
        return _json_result(response.status, response.content)


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
    """Yield the data of each server-sent event."""
    rest = b""
    async for received in response.aiter_stream():
        *lines, rest = (rest + received).split(b"\n")
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                yield line[len(_DATA_PREFIX) :].strip()


def _take(data: bytes, progress: _Progress, body: EngineBody) -> list[EngineEvent]:
    """Return the events that one piece of data gives rise to."""
    if data == _DONE_MARK:
        return [_ended(progress)]
    chunk = parse_chunk(data)
    if chunk is None:
        return [_broken(progress, Reason.TARGET_FAILED, "unreadable chunk")]
    if chunk.error:
        return [_broken(progress, Reason.TARGET_FAILED, chunk.error)]
    progress.tokens += chunk.tokens
    progress.usage = chunk.usage or progress.usage
    progress.finish_reason = chunk.finish_reason or progress.finish_reason
    if chunk.only_usage and not body.caller_wants_usage:
        return []
    return [EngineText(data, chunk.tokens)]


def _ended(progress: _Progress) -> EngineEvent:
    # An end without a finish reason or a usage is a cut answer that only looks
    # whole: the caller would take half a note for the note, and the bill would
    # be a guess.
    if progress.usage is None or not progress.finish_reason:
        return _broken(progress, Reason.TARGET_FAILED, "the end names no usage")
    return EngineEnded(progress.usage, progress.finish_reason)


def _broken(progress: _Progress, reason: Reason, detail: str) -> EngineFailed:
    return EngineFailed(reason, detail, True, progress.lower_bound(), False)


def _failed(progress: _Progress, error: Exception) -> EngineFailed:
    unsent = nothing_was_sent(error)
    usage = Usage() if unsent else progress.lower_bound()
    return EngineFailed(reason_of(error), repr(error), not unsent, usage, unsent)


async def _refusal(response: httpcore.Response) -> EngineFailed:
    """Return the failure for an answer whose status is not 200."""
    detail = (await response.aread())[:500].decode(errors="replace")
    reason = _NOT_BEGUN.get(response.status)
    if reason is None:
        # A 500 may come after the engine began, so that it proves nothing.
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
        return Unknown(Reason.TARGET_FAILED, "the answer is no JSON")
    if not isinstance(value, dict):
        return Unknown(Reason.TARGET_FAILED, "the answer is no JSON object")
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
