"""Stand-ins for the platform's store, workers and clients, and routers as processes.

Everything listens on loopback addresses. The store and the workers follow PROTOCOL.md;
the routers are started with the command of ``deploy/system.toml`` and with settings
from the template ``deploy/router.ini``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"

#: Usual time of one answer of the store in seconds (SYSTEM.md: "4 ms an answer").
STORE_ANSWER_S = 0.004


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free for both TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((HOST, port))
                except OSError:
                    continue
            return port


# HTTP.


@dataclass
class Message:
    """Hold the first line, the header fields and the body of an HTTP message."""

    line: str
    fields: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = data.decode("latin-1").split("\r\n")
    fields = {}
    for entry in rest:
        if entry:
            name, _, value = entry.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(line, fields)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its body."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"0", 16)
                message.body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    return message
        length = int(message.fields.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


def encode(line: str, fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# The platform's store.


@dataclass
class Row:
    """Hold one row; a dropped row has no value."""

    table: str
    part: str
    key: str
    value: str | None
    revision: int

    def document(self) -> dict[str, Any]:
        """Return the row as the store sends it."""
        found = {
            "Table": self.table,
            "part": self.part,
            "Key": self.key,
            "ResourceVersion": self.revision,
        }
        if self.value is None:
            return {**found, "Tombstone": True}
        return {**found, "Value": self.value}


@dataclass
class Store:
    """The platform's metadata store.

    :ivar slow_x: factor on the time of an answer.
    """

    port: int = 0
    slow_x: float = 1.0
    revision: int = 0
    rows: dict[tuple[str, str, str], Row] = field(default_factory=dict)
    calls: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row, like the operator or a worker."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[table, "", key] = Row(table, "", key, value, self.revision)
        self._wake()

    def drop(self, table: str, key: str) -> None:
        """Drop a row, like the operator or a worker."""
        self.revision += 1
        self.rows[table, "", key] = Row(table, "", key, None, self.revision)
        self._wake()

    def table(self, name: str) -> dict[str, Any]:
        """Return the decoded rows of a table, over all parts."""
        return {
            row.key: json.loads(base64.b64decode(row.value))
            for row in self.rows.values()
            if row.table == name and row.value is not None
        }

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not request.complete:
                    break
                self.calls += 1
                delay_s = STORE_ANSWER_S * self.slow_x
                status, document = await self._answer(request, delay_s)
                if document is not None:
                    document["NowMs"] = int(time.monotonic() * 1000)
                    document.setdefault("ResourceVersion", self.revision)
                body = json.dumps(document or {}).encode()
                line = f"HTTP/1.1 {status} X"
                writer.write(encode(line, {"content-type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: Message, delay_s: float
    ) -> tuple[int, dict[str, Any] | None]:
        _, target, _ = request.line.split(" ")
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(text, keep_blank_values=True).items()}
        match path:
            case "/rows-tx":
                await asyncio.sleep(delay_s)
                return self._transact(json.loads(request.body))
            case "/rows-get":
                await asyncio.sleep(delay_s)
                return 200, self._list(query)
            case "/rows-feed":
                await asyncio.sleep(delay_s)
                return 200, await self._feed(query)
        return 404, {}

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = call.get("ExpectedRevision") or []
        keys = [(row["Table"], row.get("part", ""), row["Key"]) for row in expected]
        for row, key in zip(expected, keys):
            known = self.rows.get(key)
            revision = known.revision if known and known.value is not None else 0
            if revision != row["ResourceVersion"]:
                found = [self.rows[key] for key in keys if key in self.rows]
                rows = [row.document() for row in found if row.value is not None]
                return 412, {"Rows": rows}
        self.revision += 1
        for row in call.get("SetKeys") or []:
            key = (row["Table"], row.get("part", ""), row["Key"])
            self.rows[key] = Row(*key, row["Value"], self.revision)
        for row in call.get("Remove") or []:
            key = (row["Table"], row.get("part", ""), row["Key"])
            self.rows[key] = Row(*key, None, self.revision)
        self._wake()
        return 200, {}

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for key, row in sorted(self.rows.items())
            if key[0] == query["Table"] and key[1] == query.get("part", "")
        ]
        found = [row.document() for row in rows if row.value is not None]
        return {"Rows": found, "MorePages": False}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["AfterRevision"])
        end_s = time.monotonic() + min(30_000, int(query["WaitMs"])) / 1000
        while True:
            found = [
                row
                for row in self.rows.values()
                if row.table == query["Table"] and row.revision > after
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                found.sort(key=lambda row: row.revision)
                return {"Rows": [row.document() for row in found]}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


# Workers.


@dataclass
class Run:
    """One request that a worker ran."""

    request_id: str
    tenant: str
    input_tokens: int
    started_s: float
    events: int = 0
    ended: bool = False


@dataclass
class Worker:
    """A model worker, which registers itself in the store.

    :ivar event_pause_s: time between two events.
    :ivar events: events of each answer.
    """

    name: str
    service: str
    store: Store
    slots: int = 48
    events: int = 5
    event_pause_s: float = 0.01
    zone: str = "zone-a"
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    _sequence: int = 0

    async def start(self) -> None:
        """Listen and register."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.create_task(self._register())

    async def _register(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "Service": self.service,
                "Address": f"{HOST}:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
            }
            self.store.put("servers", self.name, entry)
            await asyncio.sleep(1.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not request.complete:
                    break
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        fields = request.fields
        request_id = fields.get("endivegw-attempt-id", "")
        echo = {"endivegw-attempt-id": request_id}
        if fields.get("endivegw-expect-instance") not in (None, self.name):
            writer.write(encode("HTTP/1.1 421 X", {**echo, "endivegw-not-executed": 1}))
            return
        now_s = time.monotonic()
        self.arrivals.append((now_s, request_id))
        counts = fields.get("endivegw-token-counts", "0,0").split(",")
        run = Run(request_id, fields.get("endivegw-tenant", ""), int(counts[0]), now_s)
        self.runs.append(run)
        seal = {**echo, "endivegw-response-seal": f"{self.name}.{request_id}"}
        if "endivegw-token-counts" not in fields:
            writer.write(encode("HTTP/1.1 200 OK", seal, b"done"))
            run.ended = True
            return
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in seal.items()]
        lines += ["transfer-encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_pause_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            run.events += 1
        writer.write(b"0\r\n\r\n")
        run.ended = True


# Routers.


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in a settings template: plain values and sections of a flag."""

    def look_up(name: str) -> Any:
        found: Any = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def section(match: re.Match[str]) -> str:
        shown = bool(look_up(match[2])) == (match[1] == "#")
        return match[3] if shown else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match[1])), text)


@dataclass
class Router:
    """One router process, started like on a ``front`` machine."""

    name: str
    folder: pathlib.Path
    store_port: int
    port: int = field(default_factory=free_port)
    ready_port: int = field(default_factory=free_port)
    peers_port: int = field(default_factory=free_port)
    metrics_port: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None
    exits: list[int] = field(default_factory=list)

    @property
    def settings_path(self) -> pathlib.Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.ini"

    def write_settings(self) -> None:
        """Write the settings file from the template of the deploy file."""
        values = {
            "Node": self.name,
            "Zone": "zone-a",
            "Ip": HOST,
            "InternalPorts": [self.peers_port, self.peers_port],
            "Listen": {
                "Front": f"{HOST}:{self.port}",
                "Ready": f"{HOST}:{self.ready_port}",
            },
            "Platform": {"Address": f"{HOST}:{self.store_port}", "Across": True},
            "Bounds": {"GraceS": 8},
            "Limits": {
                "CpuShare": 0.817,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
            },
        }
        text = render((ROOT / "deploy" / "router.ini").read_text(), values)
        # The template has one metrics port for all machines of a day.
        text = text.replace(f"{HOST}:9464", f"{HOST}:{self.metrics_port}")
        self.settings_path.write_text(text)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ENDIVEGW_SETTINGS": str(self.settings_path),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/launch.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the platform would send clients here."""
        answer = await exchange(self.ready_port, "GET", "/ready", {"host": "r"})
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the router is ready; return False if it is not in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def wait_end(self, timeout_s: float) -> int | None:
        """Return the exit code of the process, None if it does not end in time."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except asyncio.TimeoutError:
            return None

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def exchange(
    port: int,
    method: str,
    path: str,
    fields: dict[str, Any],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Message | None:
    """Send one request on a new connection; return the answer, None without one."""

    async def run() -> Message | None:
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None


# Cases.


@dataclass
class Record:
    """Write what was sent, answered and run."""

    path: pathlib.Path
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} s  {text}")
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Fleet:
    """A store, workers and routers."""

    folder: pathlib.Path
    store: Store = field(default_factory=Store)
    workers: list[Worker] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)

    async def start(
        self, configuration: dict[str, Any], routers: int, workers: int, **options: Any
    ) -> bool:
        """Start everything; return whether every router became ready."""
        await self.store.start()
        self.store.put("op", "config", configuration)
        for number in range(workers):
            worker = Worker(f"i-{number}", "lm", self.store, **options)
            self.workers.append(worker)
            await worker.start()
        for number in range(routers):
            router = Router(f"front-{number}", self.folder, self.store.port)
            self.routers.append(router)
            await router.start()
        return all([await router.wait_ready() for router in self.routers])

    async def close(self) -> None:
        """End all processes."""
        for router in self.routers:
            await router.kill()


def run_case(
    folder: pathlib.Path, case: Callable[[Fleet, Record, bool], Awaitable[int]]
) -> None:
    """Run a case within its time limit and exit with its result.

    The result is 1 if the rule was broken, 0 if it held and 2 if the case could not
    run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        scratch = pathlib.Path(tempfile.mkdtemp(prefix="endivegw-review-"))
        fleet = Fleet(scratch)
        record = Record(folder / "record.txt")
        record.add(f"trouble: {'yes' if trouble else 'no'}")
        try:
            result = await asyncio.wait_for(case(fleet, record, trouble), 110)
        except Exception as error:
            record.add(f"the case could not run: {error!r}")
            result = 2
        finally:
            await fleet.close()
            if os.environ.get("KEEP_LOGS"):
                print(f"logs: {scratch}")
            else:
                shutil.rmtree(scratch, ignore_errors=True)
        record.add(f"result: {result}")
        return result

    sys.exit(asyncio.run(run()))
