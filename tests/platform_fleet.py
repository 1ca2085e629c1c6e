"""Routers, targets and a store on loopback, in one process, for tests."""

from __future__ import annotations

import contextlib
import pathlib
import socket
import tempfile
from typing import AsyncIterator

import anyio
import h11
from attrs import define, field

from endivegw.composition.direct_router import build_direct_router
from endivegw.daemons.direct_router import DirectRouter
from endivegw.http_server import serve_asgi
from endivegw.platform.command import PlatformDecoder
from endivegw.platform.store import PlatformStore
from endivegw.platform.wire import PlatformWire
from endivegw.settings.direct import load_direct_router_settings
from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_worker import PlatformWorker

PREPAID = 100_000

CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {
            "Name": name,
            "Host": "h.example",
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": 4000,
            "TargetLatencyMs": 400,
            "Service": service,
            "MaxAttempts": attempts,
            "Resumable": name == "resumable",
            "GapTargetMs": 300,
        }
        for name, kind, service, attempts in (
            ("chat", "streaming", "engine", 1),
            ("resumable", "streaming", "engine", 2),
            ("print", "unsafe", "plain", 1),
            ("notice", "safe", "plain", 2),
        )
    ],
    "Services": [{"Name": "engine", "Engine": {"Stride": 4}}, {"Name": "plain"}],
    "Tenants": [{"Name": "hotel", "ApiKeys": ["key-1"], "Prepaid": PREPAID}],
}


@define
class Answer:
    """Hold what a caller got; ``whole`` is False where it broke off."""

    status: int
    fields: dict[str, str]
    body: bytes
    whole: bool = True


@define
class PlatformFleet:
    """Hold the parts of one fleet."""

    store: PlatformStoreApp
    workers: dict[str, PlatformWorker]
    routers: list[DirectRouter] = field(factory=list)
    ports: list[int] = field(factory=list)
    ready_ports: list[int] = field(factory=list)
    metrics_ports: list[int] = field(factory=list)
    asked: int = 0

    async def ask(
        self,
        route: str,
        *,
        router: int = 0,
        tokens: tuple[int, int] | None = None,
        key: str = "key-1",
        body: bytes = b"hello",
        deadline_ms: int = 3000,
    ) -> Answer:
        """Send one request on a connection of its own."""
        self.asked += 1
        fields = [
            ("host", "h.example"),
            ("content-length", str(len(body))),
            ("endivegw-attempt-id", f"a-{self.asked}"),
            ("endivegw-deadline-ms", str(deadline_ms)),
            ("authorization", f"Bearer {key}"),
        ]
        if tokens is not None:
            fields.append(("endivegw-token-counts", f"{tokens[0]},{tokens[1]}"))
        request = h11.Request(method="POST", target=f"/{route}/x", headers=fields)
        return await exchange(self.ports[router], request, body)

    async def ready(self, router: int = 0) -> int:
        """Return the status of the balancer's question."""
        request = h11.Request(method="GET", target="/ready", headers=[("host", "r")])
        return (await exchange(self.ready_ports[router], request, b"")).status

    async def metrics(self, router: int = 0) -> str:
        """Return the page of metrics."""
        request = h11.Request(method="GET", target="/metrics", headers=[("host", "r")])
        answer = await exchange(self.metrics_ports[router], request, b"")
        return answer.body.decode()

    def consumed_tokens(self) -> int:
        """Return what targets worked for, in tokens of prompt and answer."""
        total = 0
        for worker in self.workers.values():
            for run in worker.runs:
                counts = run.fields.get("endivegw-token-counts")
                if counts is not None:
                    total += int(counts.split(",")[0]) + 4 * run.events
        return total


async def exchange(port: int, request: h11.Request, body: bytes) -> Answer:
    """Send a request and read what comes back."""
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
                answer.whole = False
                return answer
            match event:
                case h11.Response():
                    answer.status = event.status_code
                    answer.fields = {k.decode(): v.decode() for k, v in event.headers}
                case h11.Data():
                    answer.body += bytes(event.data)
                case h11.EndOfMessage():
                    return answer
                case h11.ConnectionClosed():
                    answer.whole = False
                    return answer
                case _:
                    try:
                        connection.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        connection.receive_data(b"")


def free_port(kind: int) -> int:
    """Return a port that nothing listens on."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def build_router(fleet: PlatformFleet, name: str, store_port: int) -> None:
    """Add a router whose settings come from a file, as in production."""
    port, ready = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_STREAM)
    metrics = free_port(socket.SOCK_STREAM)
    peers = free_port(socket.SOCK_DGRAM)
    text = (
        f"[process]\nvm = {name}\navailability_zone = z\n"
        f"[listen]\ncallers = 127.0.0.1:{port}\nready = 127.0.0.1:{ready}\n"
        f"peers = 127.0.0.1:{peers}\n[store]\naddress = 127.0.0.1:{store_port}\n"
        f"[metrics]\naddress = 127.0.0.1:{metrics}\n"
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "router.ini"
        path.write_text(text)
        settings = load_direct_router_settings(path)
    store = PlatformStore(str(settings.store))
    router = build_direct_router(settings, store, PlatformWire(), PlatformDecoder())
    fleet.routers.append(router)
    fleet.ports.append(port)
    fleet.ready_ports.append(ready)
    fleet.metrics_ports.append(metrics)


@contextlib.asynccontextmanager
async def platform_fleet(routers: int = 1) -> AsyncIterator[PlatformFleet]:
    """Run a fleet; yields once every router is ready."""
    fleet = PlatformFleet(PlatformStoreApp(), {})
    async with anyio.create_task_group() as tasks:
        _, store_port = await tasks.start(serve_asgi_on_loopback, fleet.store)
        for name, service in (("e-1", "engine"), ("e-2", "engine"), ("p-1", "plain")):
            worker = fleet.workers[name] = PlatformWorker(name)
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(listener.serve, worker.serve)
            entry = {"Service": service, "Address": f"127.0.0.1:{port}", "Zone": "z"}
            document = {**entry, "Slots": 8, "State": "ready"}
            fleet.store.put("servers", name, document)
        fleet.store.put("op", "config", CONFIGURATION)
        for number in range(routers):
            build_router(fleet, f"vm-{number}", store_port)
            tasks.start_soon(fleet.routers[-1].run)
        with anyio.fail_after(10):
            for number in range(routers):
                while await _status(fleet, number) != 200:
                    await anyio.sleep(0.05)
        yield fleet
        tasks.cancel_scope.cancel()


async def _status(fleet: PlatformFleet, router: int) -> int:
    try:
        return await fleet.ready(router)
    except OSError:
        return 0


async def serve_asgi_on_loopback(
    app: PlatformStoreApp, *, task_status: anyio.abc.TaskStatus
) -> None:
    """Serve the store's stand-in on a free port."""
    await serve_asgi(app, "127.0.0.1", 0, graceful_s=0, task_status=task_status)
