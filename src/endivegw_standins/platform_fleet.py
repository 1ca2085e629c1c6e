"""Routers, targets and a store on loopback, in one process.

Used by tests and by ``endivegw dev --platform``.
"""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from functools import partial
from typing import Any, AsyncIterator

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.composition.direct_router import build_direct_router
from endivegw.daemons.direct_router import DirectRouter
from endivegw.http_server import serve_asgi
from endivegw.platform.command import PlatformDecoder
from endivegw.platform.store import PlatformStore
from endivegw.platform.wire import PlatformWire
from endivegw.settings.direct import load_direct_router_settings
from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import PlatformWorker
from endivegw_standins.ports import reserve_datagram_port, reserve_port

__all__ = [
    "CONFIGURATION",
    "PREPAID",
    "PlatformFleet",
    "curl_command",
    "run_platform_fleet",
    "serve_asgi_on_loopback",
]

PREPAID = 100_000

CONFIGURATION: dict[str, Any] = {
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
    "Services": [
        {
            "Name": "engine",
            "ColdStartS": 1.0,
            "ColdPerS": 12.0,
            "Engine": {"Stride": 4},
        },
        {"Name": "plain"},
    ],
    "Tenants": [{"Name": "hotel", "ApiKeys": ["key-1"], "Prepaid": PREPAID}],
}


@define
class PlatformFleet:
    """Parts of one fleet; the ports are listed in the order of the routers.

    :ivar zones: availability zone of each target; ``z`` if it is not named.
    :ivar software_versions: software version of each target that adds it to its events.
    :ivar link_mbps: rate of the link that the routers' settings state; None for none.
    :ivar slots: number of requests that each target runs at once.
    :ivar route_timeout_ms: time within which each request must be answered.
    """

    store: PlatformStoreApp = field(factory=PlatformStoreApp)
    workers: dict[str, PlatformWorker] = field(factory=dict)
    targets: dict[str, PlatformTarget] = field(factory=dict)
    routers: list[DirectRouter] = field(factory=list)
    ports: list[int] = field(factory=list)
    ready_ports: list[int] = field(factory=list)
    metrics_ports: list[int] = field(factory=list)
    store_port: int = 0
    row_lasts_s: float = 20.0
    zones: dict[str, str] = field(factory=dict)
    software_versions: dict[str, str] = field(factory=dict)
    link_mbps: float | None = None
    slots: int = 8
    route_timeout_ms: int = 4000
    tasks: TaskGroup | None = None
    _scopes: list[anyio.CancelScope] = field(factory=list)
    _removed_count: int = 0

    def start_router(self) -> None:
        """Start another router on a new vm."""
        assert self.tasks is not None
        _build_router(
            self, f"vm-{self._removed_count + len(self.routers)}", self.store_port
        )
        self._scopes.append(anyio.CancelScope())
        self.tasks.start_soon(self._run_router, self.routers[-1], self._scopes[-1])

    async def wait_ready(self) -> None:
        """Wait until every router accepts callers."""
        with anyio.fail_after(10):
            while not self.ready:
                await anyio.sleep(0.05)

    def kill_router(self, number: int) -> None:
        """Cancel one router without a graceful shutdown; its vm is never reused."""
        self._scopes.pop(number).cancel()
        for values in (self.ports, self.ready_ports, self.metrics_ports, self.routers):
            del values[number]
        self._removed_count += 1

    def kill_routers(self) -> None:
        """Cancel all routers without a graceful shutdown; their vms are never reused.

        Routers that are started later get new ports.
        """
        self._removed_count += self._cancel_routers()

    def restart_routers(self) -> None:
        """Cancel all routers, and start as many on the same vms, with new ports."""
        for _ in range(self._cancel_routers()):
            self.start_router()

    def _cancel_routers(self) -> int:
        """Cancel all routers without a graceful shutdown; return their number."""
        count = len(self.routers)
        for scope in self._scopes:
            scope.cancel()
        for values in (self.ports, self.ready_ports, self.metrics_ports):
            values.clear()
        self.routers.clear()
        self._scopes.clear()
        return count

    async def _run_router(self, router: DirectRouter, scope: anyio.CancelScope) -> None:
        with scope:
            await router.run()

    @property
    def ready(self) -> bool:
        """Return whether every router accepts callers."""
        return all(router.ready for router in self.routers)


def curl_command(port: int) -> str:
    """Return a curl command that requests a stream from a router."""
    return (
        "curl -N -H 'Host: h.example' -H 'Authorization: Bearer key-1' "
        "-H 'Endivegw-Attempt-Id: try-1' -H 'Endivegw-Token-Counts: 100,40' "
        f"-d 'A gate for ZX81, please.' http://127.0.0.1:{port}/chat/x"
    )


def _build_router(fleet: PlatformFleet, name: str, store_port: int) -> None:
    """Add a router whose settings are read from a file, as in production."""
    port, ready, metrics = (reserve_port() for _ in range(3))
    peers = reserve_datagram_port()
    text = (
        f"[process]\nvm = {name}\navailability_zone = z\n"
        f"[listen]\ncallers = 127.0.0.1:{port}\nready = 127.0.0.1:{ready}\n"
        f"peers = 127.0.0.1:{peers}\n[store]\naddress = 127.0.0.1:{store_port}\n"
        "spread_rows = yes\n"
        f"[metrics]\naddress = 127.0.0.1:{metrics}\n"
        f"[budgets]\nrow_lasts_s = {fleet.row_lasts_s}\n"
    )
    if fleet.link_mbps is not None:
        text += f"[capacity]\nlink_mbps = {fleet.link_mbps}\n"
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
async def run_platform_fleet(
    fleet: PlatformFleet, routers: int, engines: int = 2
) -> AsyncIterator[None]:
    """Run a fleet; yield when every router is ready."""
    async with anyio.create_task_group() as tasks:
        _, store_port = await tasks.start(serve_asgi_on_loopback, fleet.store)
        targets = [(f"e-{number + 1}", "engine") for number in range(engines)]
        for name, service in [*targets, ("p-1", "plain")]:
            worker = fleet.workers[name] = PlatformWorker(name)
            target = PlatformTarget(name, service, worker)
            target.zone = fleet.zones.get(name, target.zone)
            worker.software_version = fleet.software_versions.get(name)
            target.software_version = worker.software_version or target.software_version
            fleet.targets[name] = target
            tasks.start_soon(partial(target.run, fleet.store, slots=fleet.slots))
        timeout = {"TimeoutMs": fleet.route_timeout_ms}
        routes = [{**route, **timeout} for route in CONFIGURATION["Routes"]]
        fleet.store.put("op", "config", {**CONFIGURATION, "Routes": routes})
        fleet.store_port = store_port
        fleet.tasks = tasks
        for _ in range(routers):
            fleet.start_router()
        await fleet.wait_ready()
        yield
        tasks.cancel_scope.cancel()


async def serve_asgi_on_loopback(
    app: PlatformStoreApp, *, task_status: anyio.abc.TaskStatus[Any]
) -> None:
    """Serve the stand-in store on a free port."""
    await serve_asgi(app, "127.0.0.1", 0, graceful_s=0, task_status=task_status)
