"""Test client of a fleet on loopback."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator, Sequence

import anyio
import h11
from attrs import define

from endivegw_standins.platform_fleet import (
    CONFIGURATION,
    PREPAID,
    PlatformFleet,
    run_platform_fleet,
    serve_asgi_on_loopback,
)

__all__ = [
    "CONFIGURATION",
    "PREPAID",
    "ClientFleet",
    "exchange",
    "platform_fleet",
    "serve_asgi_on_loopback",
]


@define
class Answer:
    """Response that a caller received; ``complete`` is False if it was truncated."""

    status: int
    fields: dict[str, str]
    body: bytes
    complete: bool = True


@define
class ClientFleet(PlatformFleet):
    """A fleet to which tests send requests, like callers and load balancers."""

    request_count: int = 0

    async def send_request(
        self,
        route: str,
        *,
        router: int = 0,
        tokens: tuple[int, int] | None = None,
        key: str = "key-1",
        body: bytes = b"hello",
        deadline_ms: int = 3000,
        attempt_id: str | None = None,
        fields: Sequence[tuple[str, str]] = (),
        method: str = "POST",
        leave_after_events: int | None = None,
    ) -> Answer:
        """Send one request on a new connection.

        :param attempt_id: id of the request; None for one that is not used otherwise.
        :param fields: further header fields.
        :param leave_after_events: number of events after which the caller disconnects.
        """
        self.request_count += 1
        all_fields = [
            ("host", "h.example"),
            ("content-length", str(len(body))),
            ("endivegw-attempt-id", attempt_id or f"a-{self.request_count}"),
            ("endivegw-deadline-ms", str(deadline_ms)),
            ("authorization", f"Bearer {key}"),
            *fields,
        ]
        if tokens is not None:
            all_fields.append(("endivegw-token-counts", f"{tokens[0]},{tokens[1]}"))
        request = h11.Request(method=method, target=f"/{route}/x", headers=all_fields)
        return await exchange(self.ports[router], request, body, leave_after_events)

    async def ready_status(self, router: int = 0) -> int:
        """Return the status of the load balancer's readiness check."""
        request = h11.Request(method="GET", target="/ready", headers=[("host", "r")])
        return (await exchange(self.ready_ports[router], request, b"")).status

    async def metrics(self, router: int = 0) -> str:
        """Return the metrics page."""
        request = h11.Request(method="GET", target="/metrics", headers=[("host", "r")])
        answer = await exchange(self.metrics_ports[router], request, b"")
        return answer.body.decode()

    def consumed_tokens(self) -> int:
        """Return the prompt and answer tokens that targets have processed."""
        total = 0
        for worker in self.workers.values():
            for run in worker.runs:
                counts = run.fields.get("endivegw-token-counts")
                if counts is not None:
                    total += int(counts.split(",")[0]) + 4 * run.events
        return total


async def exchange(
    port: int,
    request: h11.Request,
    body: bytes,
    leave_after_events: int | None = None,
) -> Answer:
    """Send a request and read the response, or its first events."""
    connection = h11.Connection(h11.CLIENT)
    answer = Answer(0, {}, b"")
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        data = connection.send(request) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        await stream.send(data + (connection.send(h11.EndOfMessage()) or b""))
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError:
                answer.complete = False
                return answer
            match event:
                case h11.Response():
                    answer.status = event.status_code
                    answer.fields = {k.decode(): v.decode() for k, v in event.headers}
                case h11.Data():
                    answer.body += bytes(event.data)
                    if answer.body.count(b"\n\n") == leave_after_events:
                        answer.complete = False
                        return answer
                case h11.EndOfMessage():
                    return answer
                case h11.ConnectionClosed():
                    answer.complete = False
                    return answer
                case _:
                    try:
                        connection.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        connection.receive_data(b"")


@contextlib.asynccontextmanager
async def platform_fleet(
    routers: int = 1,
    engines: int = 2,
    row_lasts_s: float = 20.0,
    zones: dict[str, str] | None = None,
    software_versions: dict[str, str] | None = None,
    link_mbps: float | None = None,
    slots: int = 8,
    route_timeout_ms: int = 4000,
) -> AsyncIterator[ClientFleet]:
    """Run a fleet; yield when every router is ready."""
    fleet = ClientFleet(
        row_lasts_s=row_lasts_s,
        zones=zones or {},
        software_versions=software_versions or {},
        link_mbps=link_mbps,
        slots=slots,
        route_timeout_ms=route_timeout_ms,
    )
    async with run_platform_fleet(fleet, routers, engines):
        yield fleet
