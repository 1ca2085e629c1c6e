"""Measure the latency that the fleet adds to requests sent directly to an engine.

Routers and sidecars run in separate processes. The stand-in engines and the load
generator share this process in both runs, so that their cost cancels out.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import pstats
import random
import signal
import tempfile
import time

import anyio
import httpcore
from attrs import define, field

from endivegw.dev.figures import percentile
from endivegw.dev.layout import MODEL
from tests.process_fleet import ProcessFleet, process_fleet

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_TOKENS = 16
_WARM_UP_S = 3.0
_PROFILED_LINES = 14


@define
class Latencies:
    """Latencies of requests, as measured by the callers.

    :ivar total_s: until the answer was complete.
    :ivar first_s: until the first byte of the answer.
    """

    total_s: list[float] = field(factory=list)
    first_s: list[float] = field(factory=list)
    failed: int = 0


@define
class ProcessCost:
    """CPU time and resident memory of a process."""

    cpu_s: float
    resident_mb: float


def main() -> None:
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rates", type=float, nargs="+", default=[20.0, 50.0, 100.0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="profile the router")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        profile = pathlib.Path(folder) / "router.prof" if options.profile else None
        # Use the production intervals: the shorter ones of the tests would raise the
        # cost of an idle router.
        with process_fleet(
            routers=1, router_profile=profile, fast_recovery=False
        ) as fleet:
            _print_idle(fleet)
            print("rate/s  way      p50 ms  p95 ms  first p50  first p95  failed")
            for rate in options.rates:
                _compare(fleet, rate, options.seconds, options.seed)
            fleet.routers[1].send_signal(signal.SIGTERM)
            fleet.routers[1].wait(30)
        if profile is not None:
            stats = pstats.Stats(str(profile))
            stats.sort_stats("tottime").print_stats(_PROFILED_LINES)


def _print_idle(fleet: ProcessFleet) -> None:
    time.sleep(_WARM_UP_S)
    before = _process_costs(fleet)
    time.sleep(5.0)
    after = _process_costs(fleet)
    for name, cost in after.items():
        cpu_ms = (cost.cpu_s - before[name].cpu_s) / 5.0 * 1000
        print(
            f"idle {name:10} {cost.resident_mb:6.1f} MB {cpu_ms:6.1f} ms CPU a second"
        )


def _compare(fleet: ProcessFleet, rate: float, seconds: float, seed: int) -> None:
    direct_url = fleet.engine_urls["engine-1"]
    urls = {"direct": direct_url, "fleet": fleet.url(1)}
    latencies: dict[str, Latencies] = {}
    before = _process_costs(fleet)
    for way, url in urls.items():
        latencies[way] = anyio.run(_load, fleet, url, rate, seconds, seed)
        _print_latencies(rate, way, latencies[way])
    after = _process_costs(fleet)
    added = _median(latencies["fleet"].total_s) - _median(latencies["direct"].total_s)
    added_p95 = percentile(latencies["fleet"].total_s, 0.95)
    added_p95 -= percentile(latencies["direct"].total_s, 0.95)
    print(f"        added    {added * 1000:6.2f}  {added_p95 * 1000:6.2f}")
    requests = len(latencies["fleet"].total_s)
    for name, cost in after.items():
        cpu_s = cost.cpu_s - before[name].cpu_s
        if name != "entry-1" or not cpu_s:
            continue
        print(
            f"        router: {cost.resident_mb:.1f} MB, "
            f"{1000 * cpu_s / requests:.2f} ms CPU a request, "
            f"{requests / cpu_s:.0f} requests/s a core, "
            f"{requests * _TOKENS / cpu_s:.0f} tokens/s a core"
        )


def _print_latencies(rate: float, way: str, latencies: Latencies) -> None:
    figures = (
        percentile(latencies.total_s, 0.5),
        percentile(latencies.total_s, 0.95),
        percentile(latencies.first_s, 0.5),
        percentile(latencies.first_s, 0.95),
    )
    cells = "  ".join(f"{value * 1000:6.2f}" for value in figures)
    print(f"{rate:6.0f}  {way:7}  {cells}     {latencies.failed}")


def _median(values: list[float]) -> float:
    return percentile(values, 0.5)


async def _load(
    fleet: ProcessFleet, url: str, rate: float, seconds: float, seed: int
) -> Latencies:
    rng = random.Random(seed)
    latencies = Latencies()
    async with httpcore.AsyncConnectionPool(max_connections=256) as pool:
        async with anyio.create_task_group() as tasks:
            end_s = time.monotonic() + seconds
            number = 0
            while time.monotonic() < end_s:
                number += 1
                tasks.start_soon(_request, pool, url, fleet, number, latencies)
                await anyio.sleep(rng.expovariate(rate))
    return latencies


async def _request(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    fleet: ProcessFleet,
    number: int,
    latencies: Latencies,
) -> None:
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": f"bench {number} len={_TOKENS}"}],
        "max_tokens": _TOKENS,
        "stream": True,
    }
    headers = [
        ("authorization", f"Bearer {fleet.accounts[0].key}"),
        ("content-type", "application/json"),
        ("x-request-id", f"bench-{time.monotonic_ns()}"),
    ]
    started_s = time.perf_counter()
    first_s = None
    data = b""
    async with pool.stream(
        "POST",
        f"{url}/v1/chat/completions",
        headers=headers,
        content=json.dumps(document).encode(),
    ) as response:
        async for chunk in response.aiter_stream():
            first_s = first_s or time.perf_counter() - started_s
            data += chunk
    if response.status != 200 or not data.endswith(b"data: [DONE]\n\n"):
        latencies.failed += 1
        return
    latencies.total_s.append(time.perf_counter() - started_s)
    latencies.first_s.append(first_s or 0.0)


def _process_costs(fleet: ProcessFleet) -> dict[str, ProcessCost]:
    """Return the usage of each router and sidecar process from ``/proc``."""
    processes = {f"entry-{n}": p for n, p in fleet.routers.items()}
    processes.update(fleet.sidecars)
    return {name: _process_cost(process.pid) for name, process in processes.items()}


def _process_cost(pid: int) -> ProcessCost:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 2**20
    return ProcessCost(cpu_s, resident_mb)


if __name__ == "__main__":
    main()
