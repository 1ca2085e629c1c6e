"""A fleet of separate processes on the loopback interface, for measurements."""

from __future__ import annotations

import multiprocessing
import os
import pathlib
import tempfile
import time
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnContext
from typing import Any, Callable

import anyio
from attrs import define, evolve, field

from endivegw.composition import build_router, build_sidecar
from endivegw.configuration import TargetKind
from endivegw.dev.layout import (
    MODEL,
    ZONES,
    DevTarget,
    router_address,
    router_settings,
    sidecar_settings,
    target_address,
)
from endivegw.dev.sample import load_sample
from endivegw.services import ListedVm, VmState
from endivegw.settings import PeerSettings
from endivegw.telemetry import json_line_handler
from endivegw.types import TargetName
from endivegw_standins.engine_app import EngineApp, EngineOptions, FakeEngine
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.ports import reserve_port
from endivegw_standins.serving import serve_in

__all__ = ["Daemon", "SmallFleet"]

_BUDGET_TOKENS = 10**12
_READY_TIMEOUT_S = 30.0
_SLOTS = 256


@define
class Daemon:
    """A process of the fleet.

    :param answer: the value that the process sent when it was ready.
    """

    process: Any
    pipe: Connection
    answer: Any = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return int(self.process.pid)


@define
class SmallFleet:
    """Run the platform, engines, sidecars and routers, each in its own process.

    :param routers: number of routers.
    :param sidecars: number of targets, each an engine with its sidecar.
    :param decode_tokens_per_s: decode speed of one stream of an engine.
    """

    routers: int
    sidecars: int
    decode_tokens_per_s: float
    key_file: pathlib.Path = field(init=False)
    context: SpawnContext = field(init=False)
    platform: Daemon = field(init=False)
    engine_daemons: list[Daemon] = field(factory=list)
    sidecar_daemons: list[Daemon] = field(factory=list)
    router_daemons: list[Daemon] = field(factory=list)

    def __enter__(self) -> SmallFleet:
        self.context = multiprocessing.get_context("spawn")
        handle, name = tempfile.mkstemp()
        os.write(handle, b"k" * 40)
        os.close(handle)
        self.key_file = pathlib.Path(name)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        daemons = self.router_daemons + self.sidecar_daemons + self.engine_daemons
        if hasattr(self, "platform"):
            daemons.append(self.platform)
        for daemon in daemons:
            daemon.process.terminate()
            daemon.process.join()
        self.key_file.unlink()

    @property
    def keys(self) -> list[str]:
        """Return the bearer key of each sample account."""
        keys: list[str] = self.platform.answer[1]
        return keys

    def table_counts(self) -> tuple[int, int]:
        """Return the number of reads and writes that the table has served."""
        self.platform.pipe.send("counts")
        reads, writes = self.platform.pipe.recv()
        return reads, writes

    def _start(self) -> None:
        peer_port = reserve_port()
        counts = self.routers, self.sidecars
        self.platform = self._spawn(_run_platform, *counts)
        url = self.platform.answer[0]
        connection_args = (peer_port, url, str(self.key_file))
        for number in range(1, self.sidecars + 1):
            engine = self._spawn(_run_engine, self.decode_tokens_per_s)
            self.engine_daemons.append(engine)
            sidecar = self._spawn(_run_sidecar, number, engine.answer, *connection_args)
            self.sidecar_daemons.append(sidecar)
        for number in range(1, self.routers + 1):
            self.router_daemons.append(
                self._spawn(_run_router, number, *connection_args)
            )

    def _spawn(self, run: Callable[..., None], *args: Any) -> Daemon:
        parent_end, child_end = self.context.Pipe()
        process = self.context.Process(target=run, args=(child_end, *args))
        process.start()
        daemon = Daemon(process, parent_end)
        if not parent_end.poll(_READY_TIMEOUT_S):
            process.terminate()
            raise RuntimeError(
                f"{run.__name__} was not ready within {_READY_TIMEOUT_S} s"
            )
        daemon.answer = parent_end.recv()
        return daemon


def _run_platform(pipe: Connection, routers: int, sidecars: int) -> None:
    async def main() -> None:
        platform = StandinPlatform()
        for number in range(1, routers + 1):
            platform.vms.append(_vm(f"entry-{number}", router_address(number), number))
        for number in range(1, sidecars + 1):
            platform.vms.append(_vm(f"target-{number}", target_address(number), number))
        budgets = (_BUDGET_TOKENS, _BUDGET_TOKENS)
        accounts = await load_sample(platform.table, budgets)
        async with anyio.create_task_group() as tasks:
            url = await serve_in(tasks, platform, lifespan=False)
            pipe.send((url, [account.key for account in accounts]))
            while True:
                await anyio.to_thread.run_sync(pipe.recv)
                pipe.send((platform.table.reads, platform.table.writes))

    anyio.run(main)


def _vm(name: str, address: str, number: int) -> ListedVm:
    role = "router" if name.startswith("entry") else "target"
    zone = ZONES[number % len(ZONES)]
    return ListedVm(name, address, zone, role, VmState.LIVE)


def _run_engine(pipe: Connection, decode_tokens_per_s: float) -> None:
    async def main() -> None:
        options = EngineOptions(slots=_SLOTS, decode_tokens_per_s=decode_tokens_per_s)
        engine = FakeEngine(models={MODEL}, options=options)
        async with anyio.create_task_group() as tasks:
            pipe.send(await serve_in(tasks, EngineApp(engine), lifespan=True))

    anyio.run(main)


def _run_sidecar(
    pipe: Connection, number: int, engine: str, port: int, url: str, key_file: str
) -> None:
    target = DevTarget(
        TargetName(f"engine-{number}"),
        TargetKind.ENGINE,
        ZONES[number % len(ZONES)],
        (MODEL,),
    )
    settings = sidecar_settings(number, target, engine, port, url)
    settings = evolve(settings, peers=_keyed(settings.peers, key_file))

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            pipe.send(await tasks.start(build_sidecar(settings).run))

    _run_logged(main)


def _run_router(
    pipe: Connection, number: int, port: int, url: str, key_file: str
) -> None:
    settings = router_settings(number, 0, port, url, "info")
    settings = evolve(settings, peers=_keyed(settings.peers, key_file))

    async def main() -> None:
        router = build_router(settings)
        async with anyio.create_task_group() as tasks:
            host, http_port = await tasks.start(router.run)
            started_s = time.monotonic()
            while not router.ready and time.monotonic() - started_s < _READY_TIMEOUT_S:
                await anyio.sleep(0.05)
            pipe.send(f"http://{host}:{http_port}")

    _run_logged(main)


def _keyed(peers: PeerSettings, key_file: str) -> PeerSettings:
    return evolve(peers, plain=False, shared_key_file=pathlib.Path(key_file))


def _run_logged(main: Callable[[], Any]) -> None:
    """Run with log lines formatted and written, but discarded."""
    with open(os.devnull, "w") as sink:
        with json_line_handler(stream=sink).applicationbound():
            anyio.run(main)
