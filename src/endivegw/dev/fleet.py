"""Run stand-ins, sidecars and routers in one process."""

from __future__ import annotations

from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus
from attrs import define, field

from endivegw.composition import build_router, build_sidecar
from endivegw.configuration import TargetKind
from endivegw.daemons.router import Router
from endivegw.daemons.sidecar_process import SidecarProcess
from endivegw.dev.layout import (
    MODEL,
    TARGETS,
    ZONES,
    DevTarget,
    check_addresses,
    router_address,
    router_settings,
    sidecar_settings,
    target_address,
)
from endivegw.dev.sample import SAMPLE_BUDGET_TOKENS, SampleAccount, load_sample
from endivegw.services import ListedVm, VmState
from endivegw_standins.engine_app import EngineApp, EngineOptions, FakeEngine
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.ports import reserve_port
from endivegw_standins.service_app import ServiceApp
from endivegw_standins.serving import serve_in

__all__ = ["DevFleet", "RunningRouter", "RunningSidecar"]


@define
class RunningRouter:
    """A running router, with a cancel scope that ends it like a crash."""

    number: int
    router: Router
    url: str
    scope: anyio.CancelScope

    def kill(self) -> None:
        """Cancel the router without a graceful shutdown."""
        self.scope.cancel()


@define
class RunningSidecar:
    """A running sidecar with its target."""

    number: int
    target: DevTarget
    url: str
    sidecar: SidecarProcess
    scope: anyio.CancelScope

    def kill(self) -> None:
        """Cancel the sidecar without a graceful shutdown."""
        self.scope.cancel()


@define
class DevFleet:
    """A fleet in one process.

    :param http_ports: ports on which the routers listen; 0 for any free port.
    """

    http_ports: tuple[int, ...] = (0, 0)
    log_level: str = "info"
    budget_tokens: tuple[int, int] = (SAMPLE_BUDGET_TOKENS, SAMPLE_BUDGET_TOKENS)
    platform: StandinPlatform = field(factory=StandinPlatform)
    engines: dict[str, FakeEngine] = field(factory=dict)
    services: dict[str, ServiceApp] = field(factory=dict)
    routers: list[RunningRouter] = field(factory=list)
    sidecars: list[RunningSidecar] = field(factory=list)
    accounts: tuple[SampleAccount, ...] = ()
    platform_url: str = ""
    peer_port: int = 0

    async def start(self, tasks: TaskGroup) -> None:
        """Start all parts; return when the routers are ready."""
        self.peer_port = reserve_port()
        check_addresses(self.peer_port)
        self.platform_url = await serve_in(tasks, self.platform, lifespan=False)
        self.accounts = await load_sample(self.platform.table, self.budget_tokens)
        for number, target in enumerate(TARGETS, 1):
            url = await self._start_target(tasks, target)
            await self.start_sidecar(tasks, number, target, url)
        for number, http_port in enumerate(self.http_ports, 1):
            await self.start_router(tasks, number, http_port)
        for running in self.routers:
            while not running.router.ready:
                await anyio.sleep(0.02)

    async def start_router(
        self, tasks: TaskGroup, number: int, http_port: int
    ) -> RunningRouter:
        """Start the numbered router and add its vm to the platform's list."""
        settings = router_settings(
            number, http_port, self.peer_port, self.platform_url, self.log_level
        )
        zone = ZONES[(number - 1) % len(ZONES)]
        self._list_vm(f"entry-{number}", router_address(number), zone, "router")
        router = build_router(settings)
        scope = anyio.CancelScope()
        host, port = await tasks.start(_run_in_scope, scope, router.run)
        running = RunningRouter(number, router, f"http://{host}:{port}", scope)
        self.routers.append(running)
        return running

    async def start_sidecar(
        self, tasks: TaskGroup, number: int, target: DevTarget, url: str
    ) -> RunningSidecar:
        """Start the sidecar of the numbered target and list its vm."""
        settings = sidecar_settings(
            number, target, url, self.peer_port, self.platform_url
        )
        # The platform lists a vm before a process runs on it.
        address = target_address(number)
        self._list_vm(f"target-{number}", address, target.availability_zone, "target")
        sidecar = build_sidecar(settings)
        scope = anyio.CancelScope()
        await tasks.start(_run_in_scope, scope, sidecar.run)
        running = RunningSidecar(number, target, url, sidecar, scope)
        self.sidecars.append(running)
        return running

    async def drain(self) -> None:
        """Shut down gracefully, routers first, so that sidecars can finish requests."""
        async with anyio.create_task_group() as tasks:
            for router in self.routers:
                tasks.start_soon(router.router.drain)
        async with anyio.create_task_group() as tasks:
            for sidecar in self.sidecars:
                tasks.start_soon(sidecar.sidecar.drain)

    async def _start_target(self, tasks: TaskGroup, target: DevTarget) -> str:
        if target.kind is TargetKind.SERVICE:
            service = ServiceApp()
            self.services[target.name] = service
            return await serve_in(tasks, service, lifespan=False)
        engine = FakeEngine(models={MODEL}, options=EngineOptions(checks_fence=False))
        self.engines[target.name] = engine
        return await serve_in(tasks, EngineApp(engine), lifespan=True)

    def _list_vm(self, vm: str, address: str, zone: Any, role: str) -> None:
        other_vms = [line for line in self.platform.vms if line.vm != vm]
        self.platform.vms = other_vms + [
            ListedVm(vm, address, zone, role, VmState.LIVE)
        ]


async def _run_in_scope(
    scope: anyio.CancelScope,
    run: Any,
    *,
    task_status: TaskStatus[Any] = anyio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await run(task_status=task_status)


#: Default ports of the routers of ``endivegw dev``.
DEFAULT_HTTP_PORTS = (8080, 8081)
