"""Cost of heartbeats between two processes that share many connections."""

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
from benchmarks.capacity.process_meter import process_usage, wire_usage

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
    """Cost of heartbeats for client and server.

    CPU time and bytes are fitted over heartbeats per second, memory over connections.
    """

    mode: str
    client_cpu: Fit
    server_cpu: Fit
    bytes_per_s: Fit
    client_memory: Fit
    server_memory: Fit


def measure_heartbeats(
    mode: str, sizes: tuple[int, ...], duration_s: float
) -> HeartbeatCost:
    """Measure several numbers of connections with one heartbeat per 2.5 s each."""
    rows = [_measure_in_process(mode, size, duration_s) for size in sizes]
    rates = [size / _INTERVAL_S for size in sizes]

    def fit(xs: list[float], name: str) -> Fit:
        return fit_line([Point(x, row[name]) for x, row in zip(xs, rows)])

    counts = [float(size) for size in sizes]
    return HeartbeatCost(
        mode,
        client_cpu=fit(rates, "client_cpu"),
        server_cpu=fit(rates, "server_cpu"),
        bytes_per_s=fit(rates, "bytes"),
        client_memory=fit(counts, "client_rss"),
        server_memory=fit(counts, "server_rss"),
    )


class _HeartbeatServer(SidecarBase):
    """Sidecar stub that answers heartbeats with a load report of typical size."""

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
                serve_peers, (_HeartbeatServer(),), _LOOPBACK, 0, security
            )
            ready.send(port)

    anyio.run(main)


def _measure_in_process(mode: str, size: int, duration_s: float) -> dict[str, float]:
    """Measure in a new pair of processes, so that memory figures are independent."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    client = context.Process(
        target=_run_client, args=(mode, size, duration_s, child_end)
    )
    client.start()
    row: dict[str, float] = parent_end.recv()
    client.join()
    return row


def _run_client(mode: str, size: int, duration_s: float, result: Connection) -> None:
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    server = context.Process(target=_serve, args=(mode, child_end), daemon=False)
    server.start()
    try:
        port = parent_end.recv()
        assert server.pid is not None
        row = anyio.run(_measure_connections, mode, size, duration_s, port, server.pid)
        result.send(row)
    finally:
        server.terminate()
        server.join()


async def _measure_connections(
    mode: str, size: int, duration_s: float, port: int, server: int
) -> dict[str, float]:
    security = _security(mode)
    idle_client = process_usage(os.getpid()).rss_bytes
    idle_server = process_usage(server).rss_bytes
    clients = [
        SidecarClient(_LOOPBACK, port, security, sender="router-0123-0123456789ab")
        for _ in range(size)
    ]
    async with anyio.create_task_group() as tasks:
        for number, client in enumerate(clients):
            tasks.start_soon(_send_heartbeats, client, _INTERVAL_S * number / size)
        await anyio.sleep(2 * _INTERVAL_S)
        row = await _measure_duration(clients, duration_s, server)
        tasks.cancel_scope.cancel()
    row["client_rss"] = process_usage(os.getpid()).rss_bytes - idle_client
    row["server_rss"] = process_usage(server).rss_bytes - idle_server
    for client in clients:
        client.close()
    return row


async def _send_heartbeats(client: SidecarClient, delay_s: float) -> None:
    await anyio.sleep(delay_s)
    while True:
        await client.heartbeat(pb.HeartbeatRequest(header=_header("router")), 1.0)
        await anyio.sleep(_INTERVAL_S)


async def _measure_duration(
    clients: list[SidecarClient], duration_s: float, server: int
) -> dict[str, float]:
    sockets = [_socket_of(client) for client in clients]
    before = wire_usage(sockets)
    started_s = time.monotonic()
    client_cpu = time.process_time()
    server_cpu = process_usage(server).cpu_s
    await anyio.sleep(duration_s)
    elapsed_s = time.monotonic() - started_s
    after = wire_usage(sockets)
    sent = after.sent_bytes - before.sent_bytes
    received = after.received_bytes - before.received_bytes
    return {
        "client_cpu": (time.process_time() - client_cpu) / elapsed_s,
        "server_cpu": (process_usage(server).cpu_s - server_cpu) / elapsed_s,
        "bytes": (sent + received) / elapsed_s,
    }


def _socket_of(client: SidecarClient) -> Any:
    # grpclib has no public API for the socket of a channel.
    protocol: Any = client._channel._protocol
    return protocol.connection._transport.get_extra_info("socket")
