"""The callers' HTTP interface: routes, authentication, limits."""

from __future__ import annotations

import hashlib
import uuid
from typing import Any, Callable, Mapping, Protocol

import anyio
from attrs import frozen

from endivegw.configuration import AccountParameters, Snapshot
from endivegw.daemons.completion_request import CompletionRequest, parse_completion
from endivegw.daemons.http_answers import (
    CutAnswer,
    ObjectAnswer,
    PassedAnswer,
    Send,
    StreamedAnswer,
    send_error,
    send_json,
)
from endivegw.daemons.http_body import CallerGone, Receive, read_body, read_leading
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
    RequestEnd,
    RoutedRequest,
    ServiceCall,
)
from endivegw.results import Reason, Refused
from endivegw.settings import HttpLimits
from endivegw.types import BudgetKey

__all__ = ["HttpFront", "RunRequest"]

_MAX_KEY_LENGTH = 255
_MAX_HELD_BODY_BYTES = 256 * 1024
_CHAT_PATH = "/v1/chat/completions"
_COMPLETION_PATH = "/v1/completions"
_MODELS_PATH = "/v1/models"
_MODEL_PREFIX = "/v1/models/"
_SERVICE_PREFIX = "/services/"
_REQUEST_ID = "x-request-id"

#: Header fields that belong to one connection or to the fleet, and go no further.
_DROPPED_FIELDS = frozenset(
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
    """What carries out an accepted request."""

    async def run(self, request: RoutedRequest, sink: AnswerSink) -> RequestEnd:
        """Send the answer into the sink and return how the request ended."""


class _EndingSink(AnswerSink, Protocol):
    async def end(self, end: RequestEnd) -> None:
        """Send what ends the answer."""


@frozen
class _Caller:
    account: AccountParameters
    budget: BudgetKey
    idempotency_key: str | None
    deadline_s: float
    arrived_s: float
    says_repeatable: bool | None
    request_id: str

    @property
    def keyed(self) -> bool:
        return self.idempotency_key is not None

    @property
    def fields(self) -> tuple[tuple[str, str], ...]:
        return ((_REQUEST_ID, self.request_id),)


class HttpFront:
    """Answer callers' HTTP requests; an ASGI application.

    :param snapshot: returns the configuration in force in this process.
    :param ready: returns whether the balancer should send callers here.
    :param clock: seconds on a clock that never goes back.
    """

    def __init__(
        self,
        runner: RunRequest,
        snapshot: Callable[[], Snapshot],
        ready: Callable[[], bool],
        limits: HttpLimits,
        clock: Callable[[], float],
    ) -> None:
        self._runner = runner
        self._snapshot = snapshot
        self._ready = ready
        self._limits = limits
        self._clock = clock
        #: Requests whose answer has not ended; a planned stop waits for them.
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
        except CallerGone:
            # Nobody is left to answer.
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
            ready = self._ready()
            status = "ready" if ready else "not ready"
            await send_json(send, 200 if ready else 503, {"status": status})
            return
        headers = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]
        }
        if not self._ready():
            refused = Refused(Reason.NOT_READY, "this router takes no new work", 1.0)
            await send_error(send, http_error(refused))
            return
        caller = self._identify(headers)
        if isinstance(caller, Refused):
            await send_error(send, http_error(caller))
            return
        if path == _MODELS_PATH or path.startswith(_MODEL_PREFIX):
            await self._models(scope["method"], path, caller, send)
        elif path in (_CHAT_PATH, _COMPLETION_PATH):
            await self._completion(
                scope["method"], path == _CHAT_PATH, caller, receive, send
            )
        elif path.startswith(_SERVICE_PREFIX):
            await self._service(scope, headers, caller, receive, send)
        else:
            refused = Refused(Reason.NOT_FOUND, f"there is nothing at {path}")
            await send_error(send, http_error(refused))

    def _identify(self, headers: Mapping[str, str]) -> _Caller | Refused:
        scheme, _, key = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Refused(Reason.BAD_KEY, "send your key as a bearer token")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._snapshot().account_of_key_hash(digest)
        if account is None:
            return Refused(Reason.BAD_KEY, "this key is not valid")
        now_s = self._clock()
        allowed_s = self._allowed_s(headers.get(DEADLINE_HEADER))
        if isinstance(allowed_s, Refused):
            return allowed_s
        budget = headers.get(BUDGET_HEADER, account.default_budget().budget)
        if budget not in account.budgets:
            return Refused(Reason.BUDGET_UNKNOWN, f"there is no budget {budget!r}")
        idempotency_key = headers.get(IDEMPOTENCY_HEADER)
        if idempotency_key is not None and len(idempotency_key) > _MAX_KEY_LENGTH:
            return Refused(
                Reason.BAD_REQUEST,
                f"{IDEMPOTENCY_HEADER} is over {_MAX_KEY_LENGTH} characters",
            )
        word = headers.get(REPEATABLE_HEADER)
        if word not in (None, "yes", "no"):
            return Refused(Reason.BAD_REQUEST, f"{REPEATABLE_HEADER} takes yes or no")
        return _Caller(
            account=account,
            budget=BudgetKey(account.client_account, budget),
            idempotency_key=idempotency_key or None,
            deadline_s=now_s + allowed_s,
            arrived_s=now_s,
            says_repeatable=None if word is None else word == "yes",
            request_id=uuid.uuid4().hex,
        )

    def _allowed_s(self, text: str | None) -> float | Refused:
        if text is None:
            return self._limits.default_deadline_s
        try:
            allowed_s = float(text)
        except ValueError:
            allowed_s = -1.0
        if not 0.0 < allowed_s <= self._limits.max_deadline_s:
            return Refused(
                Reason.BAD_REQUEST,
                f"{DEADLINE_HEADER} takes seconds, above 0 "
                f"and up to {self._limits.max_deadline_s:g}",
            )
        return allowed_s

    async def _models(
        self, method: str, path: str, caller: _Caller, send: Send
    ) -> None:
        if method != "GET":
            refused = Refused(Reason.BAD_REQUEST, "models are listed with GET")
            await send_error(send, http_error(refused))
            return
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "endivegw"}
            for name in caller.account.models
        ]
        if path == _MODELS_PATH:
            await send_json(send, 200, {"object": "list", "data": models})
            return
        wanted = path.removeprefix(_MODEL_PREFIX)
        for model in models:
            if model["id"] == wanted:
                await send_json(send, 200, model)
                return
        refused = Refused(Reason.UNKNOWN_MODEL, f"there is no model {wanted!r}")
        await send_error(send, http_error(refused))

    async def _completion(
        self, method: str, chat: bool, caller: _Caller, receive: Receive, send: Send
    ) -> None:
        body = await read_body(receive, self._limits.max_body_bytes)
        if isinstance(body, Refused):
            await send_error(send, http_error(body))
            return
        completion = parse_completion(body, chat=chat)
        if method != "POST":
            completion = Refused(Reason.BAD_REQUEST, "completions are sent with POST")
        if isinstance(completion, Refused):
            await send_error(send, http_error(completion))
            return
        if completion.model not in caller.account.models:
            refused = Refused(
                Reason.UNKNOWN_MODEL, f"there is no model {completion.model!r}"
            )
            await send_error(send, http_error(refused))
            return
        sink: _EndingSink
        if completion.stream:
            sink = StreamedAnswer(
                send, completion.include_usage, caller.fields, caller.keyed
            )
        else:
            sink = ObjectAnswer(send, chat, caller.fields, caller.keyed)
        repeatable = caller.account.repeatable_generations
        request = self._routed(
            caller, _engine_call(completion), repeatable, completion.stream
        )
        await self._run(request, sink, receive)

    async def _service(
        self,
        scope: Mapping[str, Any],
        headers: Mapping[str, str],
        caller: _Caller,
        receive: Receive,
        send: Send,
    ) -> None:
        name, _, rest = scope["path"].removeprefix(_SERVICE_PREFIX).partition("/")
        if name not in caller.account.services:
            refused = Refused(Reason.UNKNOWN_SERVICE, f"there is no service {name!r}")
            await send_error(send, http_error(refused))
            return
        # The raw path keeps the escapes that the service is meant to see.
        raw = scope.get("raw_path") or scope["path"].encode()
        raw_rest = raw.decode("latin-1").removeprefix(_SERVICE_PREFIX).partition("/")[2]
        query = scope.get("query_string", b"").decode("latin-1")
        path = f"/{raw_rest}" + (f"?{query}" if query else "")
        body, more = await read_leading(receive, _MAX_HELD_BODY_BYTES)
        if more is not None and caller.idempotency_key is not None:
            # A retry can only be told from another request by the whole body.
            refused = Refused(
                Reason.BODY_TOO_LARGE,
                f"with {IDEMPOTENCY_HEADER} a body is at most "
                f"{_MAX_HELD_BODY_BYTES} bytes",
            )
            await send_error(send, http_error(refused))
            return
        fields = tuple((k, v) for k, v in headers.items() if k not in _DROPPED_FIELDS)
        call = ServiceCall(name, scope["method"], path, fields, body, more)
        prefixes = caller.account.repeatable_paths
        named = f"{name}/{rest}"
        repeatable = any(named.startswith(prefix.lstrip("/")) for prefix in prefixes)
        request = self._routed(caller, call, repeatable)
        sink = PassedAnswer(send, caller.fields, caller.keyed)
        await self._run(request, sink, receive)

    def _routed(
        self,
        caller: _Caller,
        call: EngineCall | ServiceCall,
        repeatable: bool,
        streams: bool = True,
    ) -> RoutedRequest:
        # A caller may ask for more care than its account's parameters, never less.
        if caller.says_repeatable is False:
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
        self, request: RoutedRequest, sink: _EndingSink, receive: Receive
    ) -> None:
        if not request.repeatable and request.idempotency_key is None:
            refused = Refused(
                Reason.KEY_REQUIRED,
                f"a request that may not be repeated needs {IDEMPOTENCY_HEADER}",
            )
            await sink.end(refused)
            return
        async with anyio.create_task_group() as tasks:
            streaming = isinstance(request.call, ServiceCall) and request.call.rest
            if not streaming:
                tasks.start_soon(_cancel_when_gone, receive, tasks.cancel_scope)
            end = await self._runner.run(request, sink)
            try:
                await sink.end(end)
            except CutAnswer as cut:
                tasks.cancel_scope.cancel()
                raise cut
            tasks.cancel_scope.cancel()


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


async def _cancel_when_gone(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the request when its caller closes the connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
