"""A small deployment on loopback: routers as processes, and stand-ins around them.

The routers are started with the command and the settings template of the deploy file.
The store, the workers and the clients are stand-ins in the process of the case.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from typing import Any, AsyncIterator, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

import anyio  # noqa: E402
from anyio.abc import TaskGroup  # noqa: E402

from endivegw_standins.platform_store_app import PlatformStoreApp  # noqa: E402
from endivegw_standins.platform_target import PlatformTarget  # noqa: E402
from endivegw_standins.platform_worker import PlatformWorker  # noqa: E402
from endivegw_standins.ports import reserve_datagram_port, reserve_port  # noqa: E402
from endivegw_standins.platform_fleet import serve_asgi_on_loopback  # noqa: E402

LOOPBACK = "127.0.0.1"

#: The store's time for an answer, as the sheets of the deployments state it.
STORE_ANSWER_S = 0.004


class Record:
    """Write what happened to ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()

    def show(self, text: str) -> None:
        self.write(text)
        print(f"{self.now_s():8.3f}  {text}", flush=True)


@dataclass
class Store:
    """The platform's store, which can fall silent.

    :ivar silent: whether calls get no answer and have no effect.
    """

    app: PlatformStoreApp = field(default_factory=PlatformStoreApp)
    silent: bool = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await anyio.sleep(STORE_ANSWER_S)
        if self.silent:
            await anyio.sleep_forever()
        await self.app(scope, receive, send)

    def put(self, table: str, key: str, document: Any) -> None:
        self.app.put(table, key, document)


@dataclass
class Router:
    """One front machine."""

    node: str
    zone: str
    front: int
    ready: int
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    misses: int = 2

    @property
    def in_rotation(self) -> bool:
        return self.misses < 2

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders and sections of a settings template."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def section(match: re.Match[str]) -> str:
        shown = bool(find(match[2])) == (match[1] == "#")
        return match[3] if shown else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)\}\}",
        lambda match: "" if find(match[1]) is None else str(find(match[1])),
        text,
    )


class Deployment:
    """Routers, workers, a store and the platform's entry.

    :param grace_s: time from SIGTERM to SIGKILL.
    """

    def __init__(self, folder: pathlib.Path, tasks: TaskGroup, record: Record) -> None:
        self.folder = folder
        self.tasks = tasks
        self.record = record
        self.store = Store()
        self.store_port = 0
        self.routers: dict[str, Router] = {}
        self.workers: dict[str, PlatformWorker] = {}
        self.targets: dict[str, PlatformTarget] = {}
        self.grace_s = 8.0
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._role = tomllib.load(file)["roles"]["router"]

    async def start_store(self) -> None:
        _, self.store_port = await self.tasks.start(serve_asgi_on_loopback, self.store)

    def start_worker(self, name: str, service: str, zone: str, slots: int) -> None:
        _, target = self.add_worker(name, service, zone)
        self.run_worker(target, slots)

    def add_worker(
        self, name: str, service: str, zone: str
    ) -> tuple[PlatformWorker, PlatformTarget]:
        worker = self.workers[name] = PlatformWorker(name)
        worker.reports = True
        target = self.targets[name] = PlatformTarget(name, service, worker, zone=zone)
        return worker, target

    def run_worker(self, target: PlatformTarget, slots: int) -> None:
        async def run() -> None:
            await target.run(self.store.app, slots=slots)

        self.tasks.start_soon(run)

    def add_router(self, node: str, zone: str) -> Router:
        """Write the settings of a front machine."""
        front, ready = reserve_port(), reserve_port()
        peers, metrics = reserve_datagram_port(), reserve_port()
        fields = {
            "Node": node,
            "Zone": zone,
            "Ip": LOOPBACK,
            "InternalPorts": [peers, peers],
            "Listen": {"Front": f"{LOOPBACK}:{front}", "Ready": f"{LOOPBACK}:{ready}"},
            "Platform": {"Address": f"{LOOPBACK}:{self.store_port}", "Across": True},
            "Bounds": {"GraceS": int(self.grace_s)},
            "Limits": {
                "CpuShare": 0.817,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
            },
        }
        text = fill_template((ROOT / self._role["template"]).read_text(), fields)
        # All machines share one address here, so that each needs its own port.
        text = text.replace(f"{LOOPBACK}:9464", f"{LOOPBACK}:{metrics}")
        settings = self.folder / f"{node}.ini"
        settings.write_text(text)
        log = self.folder / f"{node}.log"
        router = self.routers[node] = Router(node, zone, front, ready, settings, log)
        return router

    def start_router(self, node: str) -> None:
        """Start the process of a machine with the command of the deploy file."""
        router = self.routers[node]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["ENDIVEGW_SETTINGS"] = str(router.settings)
        with open(router.log, "ab") as log:
            router.process = subprocess.Popen(
                shlex.split(self._role["run"]),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.show(f"{node} is started")

    def signal(self, node: str, number: signal.Signals) -> None:
        router = self.routers[node]
        if router.running:
            assert router.process is not None
            self.record.show(f"{node} gets {number.name}")
            router.process.send_signal(number)

    async def restart(self, node: str) -> None:
        """Stop a process in order and start it again."""
        self.signal(node, signal.SIGTERM)
        with anyio.move_on_after(self.grace_s):
            while self.routers[node].running:
                await anyio.sleep(0.05)
        if self.routers[node].running:
            self.signal(node, signal.SIGKILL)
        process = self.routers[node].process
        assert process is not None
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(1.0)
        self.record.show(f"{node} has ended with {process.returncode}")
        await anyio.sleep(0.5)
        self.start_router(node)

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        with anyio.fail_after(timeout_s):
            while not all(router.in_rotation for router in self.routers.values()):
                await anyio.sleep(0.1)

    async def probe_routers(self) -> None:
        """Ask each router once a second whether it is ready, like the platform."""
        async with anyio.create_task_group() as tasks:
            for router in self.routers.values():
                tasks.start_soon(self._probe_router, router)

    async def _probe_router(self, router: Router) -> None:
        while True:
            ready = False
            with (
                anyio.move_on_after(0.9),
                contextlib.suppress(
                    OSError, anyio.BrokenResourceError, anyio.EndOfStream
                ),
            ):
                async with await anyio.connect_tcp(LOOPBACK, router.ready) as stream:
                    await stream.send(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                    ready = (await stream.receive()).startswith(b"HTTP/1.1 200")
            before = router.in_rotation
            router.misses = 0 if ready else router.misses + 1
            if router.in_rotation != before:
                state = "in" if router.in_rotation else "out of"
                self.record.show(f"{router.node} is {state} the rotation")
            await anyio.sleep(1.0)

    def choose(self, client: int, attempt: int = 0) -> Router | None:
        """Return the router that a new connection goes to, None if there is none."""
        ready = [r for r in self.routers.values() if r.in_rotation]
        return ready[(client + attempt) % len(ready)] if ready else None

    def end_all(self) -> None:
        """End the processes that this case started."""
        for router in self.routers.values():
            if router.running:
                assert router.process is not None
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()

    def events(self, node: str) -> list[dict[str, Any]]:
        """Return a router's log lines."""
        found = []
        for line in self.routers[node].log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


@dataclass
class Answer:
    """What a client got."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def events(self) -> int:
        return self.body.count(b"\n\n")


class Connection:
    """A client's connection; it sends one request at a time."""

    def __init__(self, stream: Any, router: Router) -> None:
        self.stream = stream
        self.router = router
        self.usable = True
        self._buffer = b""

    async def exchange(
        self,
        method: str,
        path: str,
        host: str,
        fields: dict[str, str],
        body: bytes,
        answer: Answer | None = None,
    ) -> Answer:
        """Send a request and read the answer as far as it comes.

        :param answer: filled as bytes arrive, for callers that give up.
        """
        answer = Answer() if answer is None else answer
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            await self.stream.send(data)
            await self._read(answer)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.EndOfStream,
            anyio.ClosedResourceError,
        ):
            self.usable = False
        if answer.fields.get("connection", "").lower() == "close":
            self.usable = False
        self.usable = self.usable and answer.complete
        return answer

    async def _until(self, end: bytes) -> bytes:
        while end not in self._buffer:
            self._buffer += await self.stream.receive()
        found, _, self._buffer = self._buffer.partition(end)
        return found

    async def _take(self, size: int) -> bytes:
        while len(self._buffer) < size:
            self._buffer += await self.stream.receive()
        found, self._buffer = self._buffer[:size], self._buffer[size:]
        return found

    async def _read(self, answer: Answer) -> None:
        head = (await self._until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split()[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.fields[name.lower()] = value.strip()
        if answer.fields.get("transfer-encoding") == "chunked":
            while size := int(await self._until(b"\r\n"), 16):
                answer.body += await self._take(size)
                await self._take(2)
            await self._until(b"\r\n")
        else:
            answer.body = await self._take(
                int(answer.fields.get("content-length", "0"))
            )
        answer.complete = True

    async def close(self) -> None:
        self.usable = False
        await anyio.aclose_forcefully(self.stream)


async def connect(router: Router) -> Connection | None:
    """Open a client's connection, None if it takes longer than a second."""
    with anyio.move_on_after(1.0), contextlib.suppress(OSError):
        stream = await anyio.connect_tcp(LOOPBACK, router.front)
        return Connection(stream, router)
    return None


@contextlib.asynccontextmanager
async def deployment(case: pathlib.Path) -> AsyncIterator[Deployment]:
    """Set up a folder, a store and a record; end all processes at the end."""
    record = Record(case)
    with tempfile.TemporaryDirectory(prefix="endivegw-case-") as name:
        async with anyio.create_task_group() as tasks:
            found = Deployment(pathlib.Path(name), tasks, record)
            await found.start_store()
            try:
                yield found
            finally:
                found.end_all()
                if kept := os.environ.get("KEEP_LOGS"):
                    shutil.copytree(name, kept, dirs_exist_ok=True)
                tasks.cancel_scope.cancel()


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play: Callable[[], Any]) -> None:
    """Play a case and exit with 0, 1 or 2."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: build the deploy file first")
        sys.exit(2)
    try:
        broken = anyio.run(play)
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
