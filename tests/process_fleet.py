"""A fleet of separate processes on loopback, with stand-ins in this process."""

from __future__ import annotations

import contextlib
import os
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, Iterator

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal

from endivegw.dev.layout import (
    LOOPBACK,
    TARGETS,
    ZONES,
    router_address,
    target_address,
)
from endivegw.dev.sample import load_sample
from endivegw.services import ListedVm, VmState
from endivegw_standins.engine_app import EngineApp, EngineOptions, FakeEngine
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.ports import reserve_port
from endivegw_standins.service_app import ServiceApp
from endivegw_standins.serving import serve_in

START_TIMEOUT_S = 30.0

_COMMON = """
[process]
vm = {vm}
availability_zone = {zone}
drain_bound_s = {drain_bound_s}
[peers]
listen = {address}:{peer_port}
router_port = {peer_port}
sidecar_port = {peer_port}
shared_key_file = {key_file}
[platform]
table_url = {platform}/table
object_store_url = {platform}/objects
vm_list_url = {platform}/vms
weight_store_url = {platform}/weights
[logs]
level = {level}
"""

_ROUTER = """
[http]
listen = {http}
"""

#: Detects a terminated router early, to keep the tests short.
_FAST_RECOVERY = """
[recovery]
silence_s = 3
turn_s = 1
"""

_SIDECAR = """
[target]
name = {name}
kind = {kind}
url = {url}
serves = {serves}
"""


class ProcessFleet:
    """Processes, stand-ins and sample accounts of one fleet.

    :ivar routers: processes by number.
    :ivar sidecars: processes by the target's name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        routers: int,
        level: str,
        router_profile: pathlib.Path | None,
        fast_recovery: bool,
        drain_bound_s: float,
        router_descriptors: int | None,
    ) -> None:
        self.folder = folder
        self.router_descriptors = router_descriptors
        self.drain_bound_s = drain_bound_s
        self.fast_recovery = fast_recovery
        self.router_profile = router_profile
        self.level = level
        self.platform = StandinPlatform()
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, ServiceApp] = {}
        self.routers: dict[int, subprocess.Popen[bytes]] = {}
        self.sidecars: dict[str, subprocess.Popen[bytes]] = {}
        self.accounts: tuple[Any, ...] = ()
        self.platform_url = ""
        self.engine_urls: dict[str, str] = {}
        self.peer_port = reserve_port()
        self.http_ports = {n: reserve_port() for n in range(1, routers + 1)}
        self.key_file = folder / "peers.key"
        self.key_file.write_text("a-shared-key-of-thirty-two-chars-or-more\n")

    async def serve_standins(
        self, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve all stand-ins until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.platform_url = await serve_in(tasks, self.platform, lifespan=False)
            self.accounts = await load_sample(
                self.platform.table, (2_000_000, 2_000_000)
            )
            for target in TARGETS:
                if target.kind.value == "service":
                    app: Any = ServiceApp()
                    self.services[target.name] = app
                else:
                    engine = FakeEngine(options=EngineOptions(checks_fence=False))
                    self.engines[target.name] = engine
                    app = EngineApp(engine)
                lifespan = target.kind.value == "engine"
                url = await serve_in(tasks, app, lifespan=lifespan)
                self.engine_urls[target.name] = url
            self.stop_standins = tasks.cancel_scope.cancel
            task_status.started()
            await anyio.sleep_forever()

    def start_sidecar(self, number: int) -> None:
        """Start the sidecar of the numbered target."""
        target = TARGETS[number - 1]
        address = target_address(number)
        zone = target.availability_zone
        self._list_vm(f"target-{number}", address, zone, "target")
        text = _COMMON.format(
            vm=f"target-{number}", zone=zone, address=address, **self._shared()
        ) + _SIDECAR.format(
            name=target.name,
            kind=target.kind.value,
            url=self.engine_urls[target.name],
            serves=" ".join(target.serves),
        )
        self.sidecars[target.name] = self._start("sidecar", f"target-{number}", text)

    def start_router(self, number: int) -> None:
        """Start the numbered router."""
        address = router_address(number)
        zone = ZONES[(number - 1) % len(ZONES)]
        self._list_vm(f"entry-{number}", address, zone, "router")
        text = _COMMON.format(
            vm=f"entry-{number}", zone=zone, address=address, **self._shared()
        ) + _ROUTER.format(http=f"{LOOPBACK}:{self.http_ports[number]}")
        if self.fast_recovery:
            text += _FAST_RECOVERY
        process = self._start("router", f"entry-{number}", text)
        self.routers[number] = process
        if self.router_descriptors is not None:
            limits = (self.router_descriptors, self.router_descriptors)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)

    def url(self, number: int) -> str:
        """Return the URL on which the numbered router serves callers."""
        return f"http://{LOOPBACK}:{self.http_ports[number]}"

    def wait_ready(self, number: int) -> None:
        """Wait until a router reports that it is ready."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                reply = httpcore.request("GET", self.url(number) + "/readyz")
                if reply.status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(
            f"router {number} was not ready within {START_TIMEOUT_S:g} s"
        )

    def pause(self, number: int) -> None:
        """Suspend a router's process."""
        self.routers[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a suspended router."""
        self.routers[number].send_signal(signal.SIGCONT)

    def kill_all(self) -> None:
        """Kill every process that this fleet started."""
        processes = [*self.routers.values(), *self.sidecars.values()]
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.send_signal(signal.SIGCONT)
        for process in processes:
            process.wait()

    def log(self, name: str) -> str:
        """Return the log of a process, by the name of its vm."""
        return (self.folder / f"{name}.log").read_text()

    def _shared(self) -> dict[str, Any]:
        return {
            "peer_port": self.peer_port,
            "platform": self.platform_url,
            "key_file": self.key_file,
            "level": self.level,
            "drain_bound_s": self.drain_bound_s,
        }

    def _start(self, command: str, name: str, text: str) -> subprocess.Popen[bytes]:
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        program = ["-m", "endivegw", command, "--settings", str(path)]
        if command == "router" and self.router_profile is not None:
            program = ["-m", "cProfile", "-o", str(self.router_profile), *program]
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, *program],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": "src"},
            )

    def _list_vm(self, vm: str, address: str, zone: Any, role: str) -> None:
        other_vms = [line for line in self.platform.vms if line.vm != vm]
        self.platform.vms = other_vms + [
            ListedVm(vm, address, zone, role, VmState.LIVE)
        ]


@contextlib.contextmanager
def process_fleet(
    *,
    routers: int = 2,
    level: str = "info",
    router_profile: pathlib.Path | None = None,
    fast_recovery: bool = True,
    drain_bound_s: float = 20,
    router_descriptors: int | None = None,
) -> Iterator[ProcessFleet]:
    """Run stand-ins and processes; yield when every router is ready.

    :param router_profile: path to which each router writes a profile when it exits.
    :param fast_recovery: whether routers check for terminated routers every second
        instead of at the default interval.
    :param drain_bound_s: how long a stopped process waits for work in progress.
    :param router_descriptors: limit of each router's descriptors; None for that of this
        process.
    """
    with tempfile.TemporaryDirectory() as folder, start_blocking_portal() as portal:
        fleet = ProcessFleet(
            pathlib.Path(folder),
            routers,
            level,
            router_profile,
            fast_recovery,
            drain_bound_s,
            router_descriptors,
        )
        served, _ = portal.start_task(fleet.serve_standins)
        try:
            for number in range(1, len(TARGETS) + 1):
                fleet.start_sidecar(number)
            for number in fleet.http_ports:
                fleet.start_router(number)
            for number in fleet.http_ports:
                fleet.wait_ready(number)
            yield fleet
        finally:
            fleet.kill_all()
            portal.call(fleet.stop_standins)
            served.result()
