"""What the data path costs: tokens through router and sidecar, as processes."""

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

#: Near what letter 1 asks for between two tokens, 76 ms; a stream is quicker
#: here, so that fewer streams make the same load.
_DECODE_TOKENS_PER_S = 25.0

_WARM_S = 3.0


@frozen
class PathRow:
    """Hold one load and what it cost, per second."""

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
    """Hold the planes over requests and tokens a second."""

    rows: tuple[PathRow, ...]
    router_cpu: PlaneFit
    sidecar_cpu: PlaneFit


@frozen
class IdleCost:
    """Hold what fleets without callers cost.

    :param router_cpu: over heartbeats sent a second.
    :param sidecar_cpu: over heartbeats answered a second.
    """

    router_cpu: Fit
    sidecar_cpu: Fit
    reads_per_router: Fit
    reads_per_sidecar: Fit
    writes_per_s: float
    router_rss: int
    sidecar_rss: int


@define
class _Count:
    tokens: int = 0
    requests: int = 0
    failed: int = 0


def measure_path(
    loads: tuple[tuple[int, int], ...], span_s: float, sidecars: int = 1
) -> PathCost:
    """Measure one router before one sidecar under several loads.

    :param loads: numbers of streams and tokens of each answer.
    """
    rows = []
    for streams, answer_tokens in loads:
        with SmallFleet(1, sidecars, _DECODE_TOKENS_PER_S) as fleet:
            row = anyio.run(_load, fleet, streams, answer_tokens, span_s)
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


def measure_idle(span_s: float) -> IdleCost:
    """Measure fleets without callers: one to twelve sidecars, one to four routers."""
    by_sidecars = [_idle(1, sidecars, span_s) for sidecars in (1, 4, 12)]
    by_routers = [_idle(routers, 2, span_s) for routers in (1, 3, 6)]
    sidecars = (1.0, 4.0, 12.0)
    routers = (1.0, 3.0, 6.0)
    policy = MembershipPolicy()
    sent = tuple(number / policy.target_interval_s(int(number)) for number in sidecars)
    answered = tuple(number / policy.target_interval_s(2) for number in routers)
    return IdleCost(
        router_cpu=_line(sent, by_sidecars, "router_cpu"),
        sidecar_cpu=_line(answered, by_routers, "sidecar_cpu"),
        reads_per_router=_line(routers, by_routers, "reads"),
        reads_per_sidecar=_line(sidecars, by_sidecars, "reads"),
        writes_per_s=by_routers[-1]["writes"],
        router_rss=int(by_sidecars[-1]["router_rss"]),
        sidecar_rss=int(by_routers[-1]["sidecar_rss"]),
    )


def _line(xs: tuple[float, ...], rows: list[dict[str, float]], name: str) -> Fit:
    return fit_line([Point(x, row[name]) for x, row in zip(xs, rows)])


def _idle(routers: int, sidecars: int, span_s: float) -> dict[str, float]:
    with SmallFleet(routers, sidecars, _DECODE_TOKENS_PER_S) as fleet:
        time.sleep(_WARM_S)
        router, sidecar = fleet.router_daemons[0], fleet.sidecar_daemons[0]
        before = process_usage(router.pid), process_usage(sidecar.pid)
        reads, writes = fleet.table_counts()
        began_s = time.monotonic()
        time.sleep(span_s)
        spent_s = time.monotonic() - began_s
        after = process_usage(router.pid), process_usage(sidecar.pid)
        reads_after, writes_after = fleet.table_counts()
    row = {
        "router_cpu": (after[0].cpu_s - before[0].cpu_s) / spent_s,
        "sidecar_cpu": (after[1].cpu_s - before[1].cpu_s) / spent_s,
        "reads": (reads_after - reads) / spent_s,
        "writes": (writes_after - writes) / spent_s,
        "router_rss": float(after[0].rss_bytes),
        "sidecar_rss": float(after[1].rss_bytes),
    }
    print("  ", routers, "routers", sidecars, "sidecars", row, flush=True)
    return row


async def _load(
    fleet: SmallFleet, streams: int, answer_tokens: int, span_s: float
) -> PathRow:
    count = _Count()
    router, sidecar = fleet.router_daemons[0], fleet.sidecar_daemons[0]
    async with httpcore.AsyncConnectionPool(max_connections=streams + 8) as pool:
        async with anyio.create_task_group() as tasks:
            for number in range(streams):
                tasks.start_soon(
                    _call, fleet, pool, number, streams, answer_tokens, count
                )
            # The first answers end together; the wait lets them spread.
            await anyio.sleep(_WARM_S + answer_tokens / _DECODE_TOKENS_PER_S)
            before = process_usage(router.pid), process_usage(sidecar.pid)
            reads, writes = fleet.table_counts()
            tokens, requests, began_s = count.tokens, count.requests, time.monotonic()
            await anyio.sleep(span_s)
            spent_s = time.monotonic() - began_s
            after = process_usage(router.pid), process_usage(sidecar.pid)
            reads_after, writes_after = fleet.table_counts()
            tokens, requests = count.tokens - tokens, count.requests - requests
            tasks.cancel_scope.cancel()
    return PathRow(
        streams,
        answer_tokens,
        tokens / spent_s,
        requests / spent_s,
        count.failed,
        (after[0].cpu_s - before[0].cpu_s) / spent_s,
        (after[1].cpu_s - before[1].cpu_s) / spent_s,
        after[0].rss_bytes,
        after[1].rss_bytes,
        (reads_after - reads) / spent_s,
        (writes_after - writes) / spent_s,
    )


async def _call(
    fleet: SmallFleet,
    pool: httpcore.AsyncConnectionPool,
    number: int,
    streams: int,
    answer_tokens: int,
    count: _Count,
) -> None:
    """Ask again and again, as one caller with a streamed answer does."""
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
                count.failed += 1
                await anyio.sleep(0.5)
                continue
            seen = 0
            async for data in reply.aiter_stream():
                pieces = data.count(b'"content":"')
                count.tokens += pieces
                seen += pieces
            count.requests += 1
            if seen != answer_tokens:
                count.failed += 1
