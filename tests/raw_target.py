"""A target that sends prepared bytes, and the clients that read them."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator, Callable, Sequence

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.services.http_calls import HttpCaller, HttpResponse, NotSent, ResponseLost
from endivegw.targets import EngineFailed, HttpService, ServiceRequest
from endivegw.targets.ports import ServiceAnswerHead
from endivegw.types import AttemptId

__all__ = ["call_service", "call_store", "raw_target"]

_CALL_TIMEOUT_S = 2.0


@contextlib.asynccontextmanager
async def raw_target(answer: Callable[[], bytes]) -> AsyncIterator[str]:
    """Serve on loopback, and yield the URL.

    :param answer: returns what is sent for the next request before its connection ends.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(answer())

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, serve)
        yield f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


async def call_service(
    url: str, parts: Sequence[bytes] = ()
) -> list[ServiceAnswerHead | bytes | EngineFailed]:
    """Return the events of a call that a sidecar makes.

    :param parts: the parts of the request's body.
    """

    async def body() -> AsyncIterator[bytes]:
        for part in parts:
            yield part

    service = HttpService(url)
    request = ServiceRequest(AttemptId("a1"), "POST" if parts else "GET", "/x", ())
    found = [event async for event in service.call(request, body())]
    await service.aclose()
    return found


async def call_store(url: str) -> HttpResponse | NotSent | ResponseLost:
    """Return the result of a call that a client of the store makes."""
    caller = HttpCaller(url)
    found = await caller.call("GET", "/x", timeout_s=_CALL_TIMEOUT_S)
    await caller.close()
    return found
