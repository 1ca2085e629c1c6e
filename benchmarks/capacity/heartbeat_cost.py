"""What heartbeats cost: one process asks many connections of another."""

from __future__ import annotations

import multiprocessing
import os
import pathlib
import time
from multiprocessing.connection import Connection
from typing import Any

import anyio
from attrs import frozen
from benchmarks.capacity.fitting import Fit, Point, fit_line
from benchmarks.capacity.process_meter import process_usage, wire_use

from endivegw.peers import (
    KeyedPeers,
    PeerSecurity,
    PlainPeers,
    SidecarClient,
    serve_peers,
    tls_peers,
)
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import SidecarBase

__all__ = ["MODES", "HeartbeatCost", "measure_heartbeats"]

MODES = ("plain", "keyed", "tls")

_LOOPBACK = "127.0.0.1"
_INTERVAL_S = 2.5
_CERTIFICATES = pathlib.Path("tests/certificates")


@frozen
class HeartbeatCost:
    """Hold the lines over heartbeats a second, and over connections."""

    mode: str
    asker_cpu: Fit
    answerer_cpu: Fit
    bytes_per_s: Fit
    asker_memory: Fit
    answerer_memory: Fit


def measure_heartbeats(
    mode: str, sizes: tuple[int, ...], span_s: float
) -> HeartbeatCost:
    """Measure at several numbers of connections, each asked every 2.5 s."""
    rows = [_measure_in_process(mode, size, span_s) for size in sizes]
    rates = [size / _INTERVAL_S for size in sizes]

    def line(xs: list[float], name: str) -> Fit:
        return fit_line([Point(x, row[name]) for x, row in zip(xs, rows)])

    counts = [float(size) for size in sizes]
    return HeartbeatCost(
        mode,
        asker_cpu=line(rates, "asker_cpu"),
        answerer_cpu=line(rates, "answerer_cpu"),
        bytes_per_s=line(rates, "bytes"),
        asker_memory=line(counts, "asker_rss"),
        answerer_memory=line(counts, "answerer_rss"),
    )


class _Answerer(SidecarBase):
    """Answer heartbeats with a report of the usual size."""

    async def Heartbeat(self, stream: Any) -> None:
        async for _ in stream:
            reply = pb.HeartbeatReply(header=_header("sidecar"), load=_load())
            await stream.send_message(reply)

    async def Execute(self, stream: Any) -> None:
        raise NotImplementedError

    async def Cancel(self, stream: Any) -> None:
        raise NotImplementedError

    async def Seal(self, stream: Any) -> None:
        raise NotImplementedError

    async def Claim(self, stream: Any) -> None:
        raise NotImplementedError

    async def Configuration(self, stream: Any) -> None:
        raise NotImplementedError


def _security(mode: str) -> PeerSecurity:
    match mode:
        case "plain":
            return PlainPeers()
        case "keyed":
            return KeyedPeers((b"k" * 32,))
        case _:
            return tls_peers(
                _CERTIFICATES / "fleet-ca.pem",
                _CERTIFICATES / "fleet.pem",
                _CERTIFICATES / "fleet.key",
            )


def _header(role: str) -> pb.Header:
    return pb.Header(
        protocol_version=1,
        instance_id=f"{role}-0123-0123456789ab",
        availability_zone="Cumbaya",
        config_revision=123456,
    )


def _load() -> pb.LoadReport:
    report = pb.LoadReport(
        target="engine-0123",
        running=10,
        waiting=2,
        slots=64,
        tokens_per_s=1300.0,
        models=["badge-1", "badge-1@7"],
        age_s=0.5,
        cache_event_sequence=123456,
    )
    for number in range(4):
        report.cache_events.add(
            sequence=123456 + number, prefix_digest=bytes(8), evicted=False
        )
    return report


def _serve(mode: str, ready: Connection) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            security = _security(mode)
            port = await tasks.start(
                serve_peers, (_Answerer(),), _LOOPBACK, 0, security
            )
            ready.send(port)

    anyio.run(main)


def _measure_in_process(mode: str, size: int, span_s: float) -> dict[str, float]:
    """Measure in a fresh pair of processes, so that memory starts anew."""
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    asker = context.Process(target=_ask, args=(mode, size, span_s, far))
    asker.start()
    row: dict[str, float] = near.recv()
    asker.join()
    return row


def _ask(mode: str, size: int, span_s: float, result: Connection) -> None:
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    answerer = context.Process(target=_serve, args=(mode, far), daemon=False)
    answerer.start()
    try:
        port = near.recv()
        assert answerer.pid is not None
        row = anyio.run(_ask_for, mode, size, span_s, port, answerer.pid)
        result.send(row)
    finally:
        answerer.terminate()
        answerer.join()


async def _ask_for(
    mode: str, size: int, span_s: float, port: int, answerer: int
) -> dict[str, float]:
    security = _security(mode)
    idle_asker = process_usage(os.getpid()).rss_bytes
    idle_answerer = process_usage(answerer).rss_bytes
    clients = [
        SidecarClient(_LOOPBACK, port, security, sender="router-0123-0123456789ab")
        for _ in range(size)
    ]
    async with anyio.create_task_group() as tasks:
        for number, client in enumerate(clients):
            tasks.start_soon(_beat, client, _INTERVAL_S * number / size)
        await anyio.sleep(2 * _INTERVAL_S)
        row = await _watch(clients, span_s, answerer)
        tasks.cancel_scope.cancel()
    row["asker_rss"] = process_usage(os.getpid()).rss_bytes - idle_asker
    row["answerer_rss"] = process_usage(answerer).rss_bytes - idle_answerer
    for client in clients:
        client.close()
    return row


async def _beat(client: SidecarClient, delay_s: float) -> None:
    await anyio.sleep(delay_s)
    while True:
        await client.heartbeat(pb.HeartbeatRequest(header=_header("router")), 1.0)
        await anyio.sleep(_INTERVAL_S)


async def _watch(
    clients: list[SidecarClient], span_s: float, answerer: int
) -> dict[str, float]:
    sockets = [_socket_of(client) for client in clients]
    wire = wire_use(sockets)
    began_s = time.monotonic()
    asker_cpu = time.process_time()
    answerer_cpu = process_usage(answerer).cpu_s
    await anyio.sleep(span_s)
    spent_s = time.monotonic() - began_s
    after = wire_use(sockets)
    sent = after.sent_bytes - wire.sent_bytes
    received = after.received_bytes - wire.received_bytes
    return {
        "asker_cpu": (time.process_time() - asker_cpu) / spent_s,
        "answerer_cpu": (process_usage(answerer).cpu_s - answerer_cpu) / spent_s,
        "bytes": (sent + received) / spent_s,
    }


def _socket_of(client: SidecarClient) -> Any:
    # The library has no public way to ask for a channel's socket.
    protocol: Any = client._channel._protocol
    return protocol.connection._transport.get_extra_info("socket")
