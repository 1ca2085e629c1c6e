"""HTTP interface of the stand-in engine, as an ASGI application."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs

import anyio
from anyio.abc import TaskGroup

from endivegw_standins.asgi import Receive, Scope, Send, header, read_body, send_json
from endivegw_standins.engine_model import (
    AppliedOrder,
    Consumed,
    EngineOptions,
    FakeEngine,
    Generation,
    StaleFence,
)
from endivegw_standins.engine_text import answer_text, read_prompt

__all__ = [
    "AppliedOrder",
    "Consumed",
    "EngineApp",
    "EngineOptions",
    "FakeEngine",
    "answer_text",
]

_GENERATE_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}


class _ConnectionBroken(Exception):
    """Raised to break the connection in the middle of an answer."""


class EngineApp:
    """Serve one stand-in engine over HTTP.

    The server must send lifespan events.
    """

    def __init__(self, engine: FakeEngine) -> None:
        self.engine = engine
        self._tasks: TaskGroup | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] == "lifespan":
            await self._run_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle_request(scope, receive, send)

    async def _run_lifespan(self, receive: Receive, send: Send) -> None:
        await receive()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await send({"type": "lifespan.startup.complete"})
            await receive()
            tasks.cancel_scope.cancel()
        await send({"type": "lifespan.shutdown.complete"})

    async def _handle_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        parts = path.strip("/").split("/")
        try:
            if path in _GENERATE_PATHS:
                await self._generate(scope, receive, send, chat=_GENERATE_PATHS[path])
            elif len(parts) == 4 and parts[3] == "resume":
                await self._resume(parts[2], receive, send)
            elif len(parts) == 4 and parts[3] == "cancel":
                await self._cancel(parts[2], send)
            elif path == "/v1/orders":
                await self._order(receive, send)
            elif path == "/v1/state":
                await send_json(send, 200, {"models": self.engine.state()})
            elif path == "/v1/load":
                query = parse_qs(scope["query_string"].decode())
                after = int(query.get("after", ["0"])[0])
                await send_json(send, 200, self.engine.load_report(after))
            else:
                await send_json(send, 404, _error("no such path"))
        except ConnectionError:
            pass

    async def _generate(
        self, scope: Scope, receive: Receive, send: Send, *, chat: bool
    ) -> None:
        body = await read_body(receive)
        if self.engine.options.fail_fast:
            await send_json(send, 503, _error("no capacity"))
            return
        try:
            prompt = read_prompt(body, chat=chat)
        except (ValueError, KeyError, TypeError) as error:
            await send_json(send, 400, _error(repr(error)))
            return
        if prompt.model not in self.engine.models:
            await send_json(send, 404, _error(f"model {prompt.model} is not loaded"))
            return
        assert self._tasks is not None, "the application needs lifespan events"
        crash_trigger = self.engine.options.crash_trigger
        if crash_trigger is not None and crash_trigger in prompt.text:
            self.engine.crash()
            await send({"type": "http.response.start", "status": 200, "headers": []})
            raise _ConnectionBroken("simulated crash of the engine")
        generation = self.engine.open(header(scope, b"x-request-id"), prompt)
        self._tasks.start_soon(self.engine.run, generation)
        await self._stream(generation, 0, receive, send, may_break=True)

    async def _resume(self, attempt_id: str, receive: Receive, send: Send) -> None:
        after = int(json.loads(await read_body(receive))["after"])
        generation = self.engine.generations.get(attempt_id)
        if generation is None or generation.cancelled:
            await send_json(send, 404, _error("no such running request"))
            return
        await self._stream(generation, after, receive, send, may_break=False)

    async def _cancel(self, attempt_id: str, send: Send) -> None:
        count = self.engine.cancel(attempt_id)
        if count is None:
            await send_json(send, 404, _error("no such request"))
            return
        usage = {
            "prompt_tokens": count.prompt_tokens,
            "completion_tokens": count.completion_tokens,
        }
        await send_json(send, 200, {"usage": usage})

    async def _order(self, receive: Receive, send: Send) -> None:
        fields = json.loads(await read_body(receive))
        try:
            await self.engine.apply(
                fields["kind"], fields["name"], fields["version"], fields["fence"]
            )
        except StaleFence as error:
            await send_json(send, 409, _error(str(error)))
            return
        await send_json(send, 200, {"ok": True})

    async def _stream(
        self,
        generation: Generation,
        after: int,
        receive: Receive,
        send: Send,
        *,
        may_break: bool,
    ) -> None:
        """Send the answer's chunks until it is complete or the client disconnects."""
        assert self._tasks is not None
        generation.readers += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                await self._send_chunks(generation, after, send, may_break=may_break)
                tasks.cancel_scope.cancel()
        finally:
            generation.readers -= 1
            if generation.readers == 0 and not generation.complete:
                self._tasks.start_soon(self.engine.cancel_unread, generation)

    async def _send_chunks(
        self, generation: Generation, after: int, send: Send, *, may_break: bool
    ) -> None:
        fields = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        limit = self.engine.options.break_after_pieces if may_break else None
        sent = after
        while True:
            changed = generation.changed
            pending = generation.chunks[sent:]
            for data in pending:
                if limit is not None and sent >= limit:
                    raise _ConnectionBroken(
                        f"simulated connection failure after {limit} pieces"
                    )
                await send(_event(data))
                sent += 1
            if sent < len(generation.chunks):
                continue
            if generation.complete or generation.cancelled:
                break
            await changed.wait()
        if generation.complete:
            await send(_event("[DONE]"))
        else:
            await send(_event(json.dumps(_error("cancelled"))))
        await send({"type": "http.response.body", "body": b""})


def _event(data: str) -> dict[str, Any]:
    return {
        "type": "http.response.body",
        "body": f"data: {data}\n\n".encode(),
        "more_body": True,
    }


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _error(message: str) -> dict[str, object]:
    return {"error": {"message": message}}
