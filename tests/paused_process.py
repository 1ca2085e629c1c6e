"""One end of a connection in a process of its own, which a test stops and continues.

``python -m tests.paused_process ROLE PORT``: a ``router`` serves callers on a port and
answers each request, a ``server`` does so with the server of routers with sidecars, and
a ``target`` sends a request to a port and prints the number of silences that it noticed
before the answer.
"""

from __future__ import annotations

import functools
import sys
from typing import Any, Callable
from unittest import mock

import anyio
import uvicorn

from endivegw.http_protocol import HeaderLimit
from endivegw.http_server import serve_asgi
from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.caller_connection import CallerConnection
from endivegw.relay.messages import CallerRequest
from endivegw.relay.target_connection import OutgoingRequest, TargetConnection
from endivegw.routing import CallerLimits
from endivegw.tcp_stream import TcpStream, connect_tcp, serve_tcp

__all__ = ["LIMIT_S"]

#: Idle limit of callers, and time after which a target counts as silent.
LIMIT_S = 1.0


async def _serve_callers(port: int) -> None:
    limits = CallerLimits(idle_timeout_s=LIMIT_S)

    async def answer(request: CallerRequest, writer: AnswerWriter) -> None:
        await writer.send_complete(200, [], b"ok")

    async def serve(stream: TcpStream) -> None:
        await CallerConnection(
            stream, answer, lambda: limits, lambda: False, anyio.current_time
        ).serve()

    async with anyio.create_task_group() as tasks:
        await serve_tcp(serve, "127.0.0.1", port, backlog=8, tasks=tasks)


async def _serve_asgi(port: int) -> None:
    async def answer(scope: Any, receive: Any, send: Any) -> None:
        fields = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": b""})

    limit = HeaderLimit(max_bytes=10_000, fields=(), body=b"")
    with mock.patch.object(uvicorn, "Config", _short_idle_limit(uvicorn.Config)):
        await serve_asgi(answer, "127.0.0.1", port, header_limit=limit)


def _short_idle_limit(config: Callable[..., uvicorn.Config]) -> Any:
    return functools.partial(config, timeout_keep_alive=int(LIMIT_S))


async def _call_target(port: int) -> None:
    silences: list[str] = []
    stream = await connect_tcp("127.0.0.1", port)
    connection = TargetConnection(stream, f"127.0.0.1:{port}", 0.0)
    connection.watch_silence(LIMIT_S, lambda: silences.append("silent"))
    request = OutgoingRequest(b"POST", b"/x", [(b"host", b"t")], b"")
    await connection.send_request(request, lambda status, fields: True)
    await connection.close()
    print(len(silences))


_ROLES = {"router": _serve_callers, "server": _serve_asgi, "target": _call_target}

if __name__ == "__main__":
    role = _ROLES[sys.argv[1]]
    anyio.run(role, int(sys.argv[2]), backend_options={"use_uvloop": True})
