"""CPU and memory cost of the data path through router and sidecar processes."""

from __future__ import annotations

import json
import time

import anyio
import httpcore
from attrs import define, frozen
from benchmarks.capacity.fitting import Fit, PlaneFit, Point, fit_line, fit_plane
from benchmarks.capacity.process_meter import process_usage
from benchmarks.capacity.small_fleet import SmallFleet

from endivegw.dev.layout import MODEL
from endivegw.membership import MembershipPolicy

__all__ = ["IdleCost", "PathCost", "PathRow", "measure_idle", "measure_path"]

#: Decode speed of one stream. The required interval between two tokens is 76 ms; a
#: faster stream (40 ms) produces the same load with fewer streams.
_DECODE_TOKENS_PER_S = 25.0

_WARM_UP_S = 3.0


@frozen
class PathRow:
    """One load and its cost.

    CPU figures are CPU seconds per second.
    """

    streams: int
    answer_tokens: int
    tokens_per_s: float
    requests_per_s: float
    failed: int
    router_cpu: float
    sidecar_cpu: float
    router_rss: int
    sidecar_rss: int
    reads_per_s: float
    writes_per_s: float


@frozen
class PathCost:
    """CPU cost fitted over requests per second and thousand tokens per second."""

    rows: tuple[PathRow, ...]
    router_cpu: PlaneFit
    sidecar_cpu: PlaneFit


@frozen
class IdleCost:
    """Cost of fleets that serve no requests.

    :param router_cpu: over heartbeats sent per second.
    :param sidecar_cpu: over heartbeats answered per second.
    :param reads_per_router: table reads per second over the number of routers.
    :param reads_per_sidecar: table reads per second over the number of sidecars.
    """

    router_cpu: Fit
    sidecar_cpu: Fit
    reads_per_router: Fit
    reads_per_sidecar: Fit
    writes_per_s: float
    router_rss: int
    sidecar_rss: int


@define
class _Counts:
    tokens: int = 0
    requests: int = 0
    failed: int = 0


def measure_path(
    loads: tuple[tuple[int, int], ...], duration_s: float, sidecars: int = 1
) -> PathCost:
    """Measure one router under several loads.

    :param loads: pairs of concurrent streams and tokens per answer.
    """
    rows = []
    for streams, answer_tokens in loads:
        with SmallFleet(1, sidecars, _DECODE_TOKENS_PER_S) as fleet:
            row = anyio.run(_measure_load, fleet, streams, answer_tokens, duration_s)
        rows.append(row)
        print("  ", row, flush=True)
    planes = [
        fit_plane(
            [
                (row.requests_per_s, row.tokens_per_s / 1000, getattr(row, name))
                for row in rows
            ]
        )
        for name in ("router_cpu", "sidecar_cpu")
    ]
    return PathCost(tuple(rows), *planes)


def measure_idle(duration_s: float) -> IdleCost:
    """Measure fleets without load: one to twelve sidecars, one to six routers."""
    rows_by_sidecars = [
        _measure_idle_fleet(1, sidecars, duration_s) for sidecars in (1, 4, 12)
    ]
    rows_by_routers = [
        _measure_idle_fleet(routers, 2, duration_s) for routers in (1, 3, 6)
    ]
    sidecars = (1.0, 4.0, 12.0)
    routers = (1.0, 3.0, 6.0)
    policy = MembershipPolicy()
    sent_per_s = tuple(
        number / policy.target_interval_s(int(number)) for number in sidecars
    )
    answered_per_s = tuple(number / policy.target_interval_s(2) for number in routers)
    return IdleCost(
        router_cpu=_fit_rows(sent_per_s, rows_by_sidecars, "router_cpu"),
        sidecar_cpu=_fit_rows(answered_per_s, rows_by_routers, "sidecar_cpu"),
        reads_per_router=_fit_rows(routers, rows_by_routers, "reads"),
        reads_per_sidecar=_fit_rows(sidecars, rows_by_sidecars, "reads"),
        writes_per_s=rows_by_routers[-1]["writes"],
        router_rss=int(rows_by_sidecars[-1]["router_rss"]),
        sidecar_rss=int(rows_by_routers[-1]["sidecar_rss"]),
    )


def _fit_rows(xs: tuple[float, ...], rows: list[dict[str, float]], name: str) -> Fit:
    return fit_line([Point(x, row[name]) for x, row in zip(xs, rows)])


def _measure_idle_fleet(
    routers: int, sidecars: int, duration_s: float
) -> dict[str, float]:
    with SmallFleet(routers, sidecars, _DECODE_TOKENS_PER_S) as fleet:
        time.sleep(_WARM_UP_S)
        router, sidecar = fleet.router_daemons[0], fleet.sidecar_daemons[0]
        before = process_usage(router.pid), process_usage(sidecar.pid)
        reads, writes = fleet.table_counts()
        started_s = time.monotonic()
        time.sleep(duration_s)
        elapsed_s = time.monotonic() - started_s
        after = process_usage(router.pid), process_usage(sidecar.pid)
        reads_after, writes_after = fleet.table_counts()
    row = {
        "router_cpu": (after[0].cpu_s - before[0].cpu_s) / elapsed_s,
        "sidecar_cpu": (after[1].cpu_s - before[1].cpu_s) / elapsed_s,
        "reads": (reads_after - reads) / elapsed_s,
        "writes": (writes_after - writes) / elapsed_s,
        "router_rss": float(after[0].rss_bytes),
        "sidecar_rss": float(after[1].rss_bytes),
    }
    print("  ", routers, "routers", sidecars, "sidecars", row, flush=True)
    return row


async def _measure_load(
    fleet: SmallFleet, streams: int, answer_tokens: int, duration_s: float
) -> PathRow:
    counts = _Counts()
    router, sidecar = fleet.router_daemons[0], fleet.sidecar_daemons[0]
    async with httpcore.AsyncConnectionPool(max_connections=streams + 8) as pool:
        async with anyio.create_task_group() as tasks:
            for number in range(streams):
                tasks.start_soon(
                    _send_requests, fleet, pool, number, streams, answer_tokens, counts
                )
            # The first answers end together; the wait lets the streams spread out.
            await anyio.sleep(_WARM_UP_S + answer_tokens / _DECODE_TOKENS_PER_S)
            before = process_usage(router.pid), process_usage(sidecar.pid)
            reads, writes = fleet.table_counts()
            tokens, requests, started_s = (
                counts.tokens,
                counts.requests,
                time.monotonic(),
            )
            await anyio.sleep(duration_s)
            elapsed_s = time.monotonic() - started_s
            after = process_usage(router.pid), process_usage(sidecar.pid)
            reads_after, writes_after = fleet.table_counts()
            tokens, requests = counts.tokens - tokens, counts.requests - requests
            tasks.cancel_scope.cancel()
    return PathRow(
        streams,
        answer_tokens,
        tokens / elapsed_s,
        requests / elapsed_s,
        counts.failed,
        (after[0].cpu_s - before[0].cpu_s) / elapsed_s,
        (after[1].cpu_s - before[1].cpu_s) / elapsed_s,
        after[0].rss_bytes,
        after[1].rss_bytes,
        (reads_after - reads) / elapsed_s,
        (writes_after - writes) / elapsed_s,
    )


async def _send_requests(
    fleet: SmallFleet,
    pool: httpcore.AsyncConnectionPool,
    number: int,
    streams: int,
    answer_tokens: int,
    counts: _Counts,
) -> None:
    """Send streaming requests one after another, as a single caller does."""
    await anyio.sleep(answer_tokens / _DECODE_TOKENS_PER_S * number / streams)
    headers = {
        "authorization": f"Bearer {fleet.keys[0]}",
        "content-type": "application/json",
    }
    url = fleet.router_daemons[0].answer + "/v1/chat/completions"
    turn = 0
    while True:
        turn += 1
        text = f"stream {number} turn {turn} " + "word " * 40 + f"len={answer_tokens}"
        body = {
            "model": MODEL,
            "stream": True,
            "max_tokens": answer_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        content = json.dumps(body).encode()
        async with pool.stream("POST", url, headers=headers, content=content) as reply:
            if reply.status != 200:
                counts.failed += 1
                await anyio.sleep(0.5)
                continue
            answer_received_tokens = 0
            async for data in reply.aiter_stream():
                chunk_tokens = data.count(b'"content":"')
                counts.tokens += chunk_tokens
                answer_received_tokens += chunk_tokens
            counts.requests += 1
            if answer_received_tokens != answer_tokens:
                counts.failed += 1
