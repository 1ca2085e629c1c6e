"""The HTTP interface for callers: routes, authentication and limits."""

from __future__ import annotations

from typing import Any, Callable, Mapping, Protocol

import anyio
from attrs import evolve

from endivegw.configuration import Snapshot
from endivegw.daemons.callers import Caller, identify, is_plain_path, is_repeatable
from endivegw.daemons.completion_request import CompletionRequest, parse_completion
from endivegw.daemons.http_answers import (
    EventStreamSink,
    ObjectAnswerSink,
    PassthroughAnswerSink,
    Send,
    TruncatedAnswer,
    send_error,
    send_json,
)
from endivegw.daemons.http_body import (
    CallerDisconnected,
    Receive,
    read_body,
    read_leading,
)
from endivegw.daemons.http_messages import (
    BUDGET_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    REPEATABLE_HEADER,
    http_error,
)
from endivegw.daemons.routed import (
    AnswerSink,
    EngineCall,
    RefusedTry,
    RequestEnd,
    RoutedRequest,
    ServiceCall,
)
from endivegw.exceptions import EndivegwError
from endivegw.http_connections import request_input
from endivegw.http_protocol import (
    client_has_disconnected,
    seconds_since_arrival,
    wait_reading_stopped,
)
from endivegw.results import Reason, Refused, Unknown
from endivegw.settings import HttpLimits
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.daemons import INVARIANT_BROKEN, UNEXPECTED_ERROR

__all__ = ["HttpFrontend", "RunRequest"]

_MAX_BUFFERED_BODY_BYTES = 256 * 1024

#: Interval of the checks whether a caller has disconnected while the HTTP server cannot
#: report it.
_CLOSE_CHECK_INTERVAL_S = 0.2

_CHAT_PATH = "/v1/chat/completions"
_COMPLETION_PATH = "/v1/completions"
_MODELS_PATH = "/v1/models"
_MODEL_PREFIX = "/v1/models/"
_SERVICE_PREFIX = "/services/"

#: Header fields that concern one connection or the fleet; they are not forwarded.
_STRIPPED_FIELDS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        DEADLINE_HEADER,
        BUDGET_HEADER,
        REPEATABLE_HEADER,
    }
)


class RunRequest(Protocol):
    """Execute accepted requests."""

    async def run(self, request: RoutedRequest, sink: AnswerSink) -> RequestEnd:
        """Write the answer to the sink and return how the request ended."""


class _CallerSink(AnswerSink, Protocol):
    async def end(self, end: RequestEnd) -> None:
        """Complete the answer, or send the error."""


class HttpFrontend:
    """ASGI application that answers callers' HTTP requests.

    :param snapshot: returns the configuration in force in this process.
    :param accepts_work: returns whether this router accepts new requests.
    :param healthy: returns whether the load balancer should send callers to this
        router. A router that seems isolated from its targets still accepts the
        requests that it receives.
    :param clock: returns seconds on a monotonic clock.
    """

    def __init__(
        self,
        runner: RunRequest,
        snapshot: Callable[[], Snapshot],
        accepts_work: Callable[[], bool],
        healthy: Callable[[], bool],
        limits: HttpLimits,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._runner = runner
        self._snapshot = snapshot
        self._accepts_work = accepts_work
        self._healthy = healthy
        self._limits = limits
        self._clock = clock
        self._log = log
        #: Number of requests whose answer has not ended; a graceful shutdown waits
        #: for them.
        self.in_progress = 0

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        self.in_progress += 1
        try:
            await self._route(scope, receive, send)
        except CallerDisconnected:
            # There is no caller left to answer.
            pass
        finally:
            self.in_progress -= 1

    async def _route(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        path: str = scope["path"]
        if path == "/healthz":
            await send_json(send, 200, {"status": "live"})
            return
        if path == "/readyz":
            ready = self._accepts_work() and self._healthy()
            status = "ready" if ready else "not ready"
            await send_json(send, 200 if ready else 503, {"status": status})
            return
        headers = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]
        }
        keyed = IDEMPOTENCY_HEADER in headers
        if not self._accepts_work():
            refused = Refused(
                Reason.NOT_READY, "this router accepts no new requests", 1.0
            )
            await _refuse(send, refused, keyed)
            return
        # A deadline starts when the request arrives, not when it is read.
        arrived_s = self._clock() - seconds_since_arrival(scope)
        caller = identify(headers, self._snapshot(), self._limits, arrived_s)
        if isinstance(caller, Refused):
            await _refuse(send, caller, keyed)
            return
        source = request_input(scope)
        if source is not None:
            source.share.account = caller.account.client_account
        if path == _MODELS_PATH or path.startswith(_MODEL_PREFIX):
            await self._models(scope["method"], path, caller, send)
        elif path in (_CHAT_PATH, _COMPLETION_PATH):
            await self._completion(scope, path == _CHAT_PATH, caller, receive, send)
        elif path.startswith(_SERVICE_PREFIX):
            await self._service(scope, headers, caller, receive, send)
        else:
            refused = Refused(Reason.NOT_FOUND, f"path {path} not found")
            await _refuse(send, refused, keyed)

    async def _models(self, method: str, path: str, caller: Caller, send: Send) -> None:
        if method != "GET":
            refused = Refused(
                Reason.BAD_REQUEST, "listing models requires the method GET"
            )
            await _refuse(send, refused)
            return
        models = [
            {"id": model_id, "object": "model", "created": 0, "owned_by": "endivegw"}
            for model_id in caller.account.models
        ]
        if path == _MODELS_PATH:
            await send_json(send, 200, {"object": "list", "data": models})
            return
        name = path.removeprefix(_MODEL_PREFIX)
        for model in models:
            if model["id"] == name:
                await send_json(send, 200, model)
                return
        refused = Refused(Reason.UNKNOWN_MODEL, f"model {name!r} not found")
        await _refuse(send, refused)

    async def _completion(
        self,
        scope: Mapping[str, Any],
        chat: bool,
        caller: Caller,
        receive: Receive,
        send: Send,
    ) -> None:
        body = await read_body(
            receive,
            self._limits.max_body_bytes,
            request_input(scope),
            caller.deadline_s - self._clock(),
        )
        if isinstance(body, Refused):
            await _refuse(send, body, caller.keyed)
            return
        completion = parse_completion(body, chat=chat)
        if scope["method"] != "POST":
            completion = Refused(
                Reason.BAD_REQUEST, "completions require the method POST"
            )
        if isinstance(completion, Refused):
            await _refuse(send, completion, caller.keyed)
            return
        if completion.model not in caller.account.models:
            refused = Refused(
                Reason.UNKNOWN_MODEL, f"model {completion.model!r} not found"
            )
            await _refuse(send, refused, caller.keyed)
            return
        sink: _CallerSink
        if completion.stream:
            sink = EventStreamSink(
                send, completion.include_usage, caller.fields, caller.keyed
            )
        else:
            sink = ObjectAnswerSink(send, chat, caller.fields, caller.keyed)
        repeatable = caller.account.repeatable_generations
        request = self._build_request(
            caller, _engine_call(completion), repeatable, completion.stream
        )
        await self._run(request, sink, scope, receive)

    async def _service(
        self,
        scope: Mapping[str, Any],
        headers: Mapping[str, str],
        caller: Caller,
        receive: Receive,
        send: Send,
    ) -> None:
        name, _, rest = scope["path"].removeprefix(_SERVICE_PREFIX).partition("/")
        if name not in caller.account.services:
            refused = Refused(Reason.UNKNOWN_SERVICE, f"service {name!r} not found")
            await _refuse(send, refused, caller.keyed)
            return
        if not is_plain_path(rest):
            refused = Refused(Reason.BAD_REQUEST, "the path has a segment '.' or '..'")
            await _refuse(send, refused, caller.keyed)
            return
        # The raw path preserves percent-encoding for the service.
        raw = scope.get("raw_path") or scope["path"].encode()
        raw_rest = raw.decode("latin-1").removeprefix(_SERVICE_PREFIX).partition("/")[2]
        query = scope.get("query_string", b"").decode("latin-1")
        path = f"/{raw_rest}" + (f"?{query}" if query else "")
        leading = await read_leading(
            receive,
            _MAX_BUFFERED_BODY_BYTES,
            request_input(scope),
            caller.deadline_s - self._clock(),
        )
        if isinstance(leading, Refused):
            await _refuse(send, leading, caller.keyed)
            return
        body, more = leading
        if more is not None and caller.idempotency_key is not None:
            # Only the digest of the complete body can distinguish a retry from
            # another request under the same key.
            refused = Refused(
                Reason.BODY_TOO_LARGE,
                f"a body sent with {IDEMPOTENCY_HEADER} must not exceed "
                f"{_MAX_BUFFERED_BODY_BYTES} bytes",
            )
            await _refuse(send, refused, caller.keyed)
            return
        fields = tuple((k, v) for k, v in headers.items() if k not in _STRIPPED_FIELDS)
        call = ServiceCall(name, scope["method"], path, fields, body, more)
        repeatable = is_repeatable(caller.account, f"{name}/{rest}")
        request = self._build_request(caller, call, repeatable)
        sink = PassthroughAnswerSink(send, caller.fields, caller.keyed)
        await self._run(request, sink, scope, receive)

    def _build_request(
        self,
        caller: Caller,
        call: EngineCall | ServiceCall,
        repeatable: bool,
        streams: bool = True,
    ) -> RoutedRequest:
        # A caller may only be stricter than its account's parameters.
        if caller.declared_repeatable is False:
            repeatable = False
        return RoutedRequest(
            request_id=caller.request_id,
            account=caller.account,
            call=call,
            budget=caller.budget,
            idempotency_key=caller.idempotency_key,
            repeatable=repeatable,
            priority=caller.account.priority,
            arrived_s=caller.arrived_s,
            deadline_s=caller.deadline_s,
            streams=streams,
        )

    async def _run(
        self,
        request: RoutedRequest,
        sink: _CallerSink,
        scope: Mapping[str, Any],
        receive: Receive,
    ) -> None:
        if not request.repeatable and request.idempotency_key is None:
            refused = Refused(
                Reason.KEY_REQUIRED,
                f"a request that may not be repeated requires {IDEMPOTENCY_HEADER}",
            )
            await sink.end(refused)
            return
        async with anyio.create_task_group() as tasks:

            def cancel_if_caller_left() -> None:
                if client_has_disconnected(scope):
                    tasks.cancel_scope.cancel()

            async def check_when_unread() -> None:
                await wait_reading_stopped(scope)
                await _check_periodically(cancel_if_caller_left)

            if isinstance(request.call, ServiceCall) and request.call.rest:
                # Only the task that forwards the body may receive messages.
                tasks.start_soon(_check_periodically, cancel_if_caller_left)
            else:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                tasks.start_soon(check_when_unread)
            request = evolve(request, cancel_if_caller_left=cancel_if_caller_left)
            end = await self._run_checked(request, sink)
            try:
                await sink.end(end)
            except TruncatedAnswer as error:
                tasks.cancel_scope.cancel()
                raise error
            tasks.cancel_scope.cancel()

    async def _run_checked(
        self, request: RoutedRequest, sink: AnswerSink
    ) -> RequestEnd:
        try:
            return await self._runner.run(request, sink)
        except EndivegwError as error:
            # An invariant check failed or an answer was malformed. The HTTP server's
            # default error page would not state that the request may have run.
            self._log.emit(INVARIANT_BROKEN, detail=error.message)
            return Unknown(Reason.TARGET_FAILED, "an internal check failed")
        except Exception as error:
            self._log.emit(UNEXPECTED_ERROR, detail=repr(error))
            return Unknown(Reason.TARGET_FAILED, "an internal error occurred")


async def _refuse(send: Send, refused: Refused, keyed: bool = False) -> None:
    """Refuse a request before its idempotency key, if any, is looked up.

    :param keyed: whether the request has a key. An earlier try under the key may
        have run at another router, so the refusal covers only this try.
    """
    problem = RefusedTry(refused) if keyed else refused
    await send_error(send, http_error(problem))


def _engine_call(completion: CompletionRequest) -> EngineCall:
    model, _, adapter = completion.model.partition("+")
    return EngineCall(
        body=completion.body,
        chat=completion.chat,
        model=model,
        adapter=adapter,
        texts=completion.texts,
        prefix_text=completion.prefix_text,
        max_tokens=completion.max_tokens,
    )


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the request when its caller closes the connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _check_periodically(cancel_if_caller_left: Callable[[], None]) -> None:
    """Cancel the request soon after its caller has disconnected."""
    while True:
        await anyio.sleep(_CLOSE_CHECK_INTERVAL_S)
        cancel_if_caller_left()
