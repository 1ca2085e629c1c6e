"""One end of a connection in a process of its own, which a test stops and continues.

``python -m tests.paused_process router PORT`` serves callers on a port and answers each
request; ``target`` sends a request to a port and prints the number of silences that it
noticed before the answer.
"""

from __future__ import annotations

import sys

import anyio

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


async def _call_target(port: int) -> None:
    silences: list[str] = []
    stream = await connect_tcp("127.0.0.1", port)
    connection = TargetConnection(stream, f"127.0.0.1:{port}", 0.0)
    connection.watch_silence(LIMIT_S, lambda: silences.append("silent"))
    request = OutgoingRequest(b"POST", b"/x", [(b"host", b"t")], b"")
    await connection.send_request(request, lambda status, fields: True)
    await connection.close()
    print(len(silences))


if __name__ == "__main__":
    role = {"router": _serve_callers, "target": _call_target}[sys.argv[1]]
    anyio.run(role, int(sys.argv[2]), backend_options={"use_uvloop": True})
