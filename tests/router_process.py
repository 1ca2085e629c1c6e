"""A direct router as a process of its own, with stand-ins in this process."""

from __future__ import annotations

import contextlib
import copy
import functools
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any, Iterator

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal
from attrs import define, field

from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import PlatformWorker
from endivegw_standins.ports import reserve_datagram_port, reserve_port
from tests.platform_fleet import CONFIGURATION, serve_asgi_on_loopback

__all__ = ["RouterProcess", "router_process"]

_START_TIMEOUT_S = 30.0


@define
class RouterProcess:
    """One router and the settings that a test lowers.

    :ivar memory_mb: memory of its machine, as in its settings.
    :ivar descriptors: descriptors of its machine, as in its settings.
    :ivar limits: the limits on requests in the configuration.
    :ivar slots: number of requests that each target runs at once.
    :ivar event_pause_s: delay after each event of a stream.
    :ivar events: number of events of a stream.
    :ivar max_body_s: longest time for a body, as in its settings; None for the default.
    """

    memory_mb: int
    descriptors: int
    limits: dict[str, int]
    slots: int = 8
    events: int = 5
    event_pause_s: float = 0.0
    max_body_s: float | None = None
    port: int = field(factory=reserve_port)
    ready_port: int = field(factory=reserve_port)
    peers_port: int = field(factory=reserve_datagram_port)
    store: PlatformStoreApp = field(factory=PlatformStoreApp)
    store_port: int = 0
    process: subprocess.Popen[bytes] | None = None
    stop_standins: Any = None

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """Return the process."""
        assert self.process is not None
        return self.process

    async def serve_standins(
        self, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve a store and targets until cancelled."""
        async with anyio.create_task_group() as tasks:
            _, self.store_port = await tasks.start(serve_asgi_on_loopback, self.store)
            for name, service in (("e-1", "engine"), ("p-1", "plain")):
                worker = PlatformWorker(
                    name, events=self.events, event_pause_s=self.event_pause_s
                )
                target = PlatformTarget(name, service, worker)
                run = functools.partial(target.run, self.store, slots=self.slots)
                tasks.start_soon(run)
            configuration = copy.deepcopy(CONFIGURATION)
            configuration["Limits"] = self.limits
            for route in configuration["Routes"]:
                route["TimeoutMs"] = 30_000
            self.store.put("op", "config", configuration)
            self.stop_standins = tasks.cancel_scope.cancel
            task_status.started()
            await anyio.sleep_forever()

    def start(self, folder: pathlib.Path) -> None:
        """Start the process, and wait until it is ready."""
        path = folder / "router.ini"
        callers = ""
        if self.max_body_s is not None:
            callers = f"[callers]\nmax_body_s = {self.max_body_s}\n"
        path.write_text(
            "[process]\nvm = vm-1\navailability_zone = z\n"
            f"[listen]\ncallers = 127.0.0.1:{self.port}\n"
            f"ready = 127.0.0.1:{self.ready_port}\n"
            f"peers = 127.0.0.1:{self.peers_port}\n"
            f"[store]\naddress = 127.0.0.1:{self.store_port}\nspread_rows = yes\n"
            f"[capacity]\nmemory_mb = {self.memory_mb}\n"
            f"descriptors = {self.descriptors}\n{callers}"
        )
        command = [sys.executable, "-m", "endivegw", "platform-router"]
        with (folder / "router.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(path)], stdout=log, stderr=log
            )
        ends_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < ends_s:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                url = f"http://127.0.0.1:{self.ready_port}/ready"
                if httpcore.request("GET", url).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"the router was not ready within {_START_TIMEOUT_S:g} s")


@contextlib.contextmanager
def router_process(router: RouterProcess) -> Iterator[None]:
    """Run a router and its stand-ins."""
    with tempfile.TemporaryDirectory() as folder, start_blocking_portal() as portal:
        served, _ = portal.start_task(router.serve_standins)
        try:
            router.start(pathlib.Path(folder))
            yield
        finally:
            if router.process is not None:
                router.process.kill()
                router.process.wait()
            portal.call(router.stop_standins)
            served.result()
