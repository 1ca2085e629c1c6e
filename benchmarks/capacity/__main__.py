"""Measure costs and print the projection for each role: ``make capacity``."""

from __future__ import annotations

import datetime
import os
import sys
import time

from benchmarks.capacity.decision_cost import measure_dispatch
from benchmarks.capacity.fitting import Fit, PlaneFit
from benchmarks.capacity.heartbeat_cost import MODES, measure_heartbeats
from benchmarks.capacity.operator_cost import measure_operator
from benchmarks.capacity.path_cost import measure_idle, measure_path
from benchmarks.capacity.projection import FleetSize, Measurements, project
from benchmarks.capacity.state_cost import measure_state

#: Numbers of connections, each of which sends a heartbeat every 2.5 seconds.
_CONNECTION_COUNTS = (12, 48, 192)

#: Pairs of concurrent streams and tokens per answer.
_LOADS = ((10, 50), (10, 205), (30, 50), (30, 205), (60, 100), (60, 205))

_DURATION_S = 8.0


def main() -> int:
    """Run all measurements sequentially and print Markdown tables."""
    started_s = time.monotonic()
    today = datetime.date.today().isoformat()
    _print(
        f"Run of {today} on {os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}.\n"
    )
    measurements = _measure_all()
    _print("\n## Lines\n")
    _print_lines(measurements)
    _print("\n## At the target fleet size\n")
    _print("| Role | What | Figure | From |\n|---|---|---|---|")
    for figure in project(measurements, FleetSize()):
        _print(
            f"| {figure.role} | {figure.quantity} | {figure.value} | {figure.basis} |"
        )
    elapsed_s = time.monotonic() - started_s
    _print(
        f"\nThe run took {elapsed_s:.0f} s; load {os.getloadavg()[0]:.1f} at the end."
    )
    return 0


def _measure_all() -> Measurements:
    _print("State and decisions.")
    state = measure_state()
    dispatch = measure_dispatch()
    _print("The operators' client.")
    operator = measure_operator()
    _print("Heartbeats.")
    heartbeats = {}
    for mode in MODES:
        heartbeats[mode] = measure_heartbeats(mode, _CONNECTION_COUNTS, _DURATION_S)
        _print(f"  {mode}: {heartbeats[mode].client_cpu.slope * 1000:.2f} ms each")
    _print("Idle fleets.")
    idle = measure_idle(_DURATION_S)
    _print("The data path.")
    path = measure_path(_LOADS, _DURATION_S)
    return Measurements(state, heartbeats, dispatch, idle, path, operator)


def _print_lines(measurements: Measurements) -> None:
    _print("| What | Slope | Base | R2 | Points |\n|---|---|---|---|---|")
    for name, fit in measurements.state.items():
        _print_fit(f"{name}, bytes", fit, 1)
    _print_fit("placement, us over targets", measurements.dispatch, 1e6)
    for mode, cost in measurements.heartbeats.items():
        _print_fit(
            f"heartbeat, {mode}: asker, ms/s over a second's", cost.client_cpu, 1e3
        )
        _print_fit(f"heartbeat, {mode}: answerer, ms/s", cost.server_cpu, 1e3)
        _print_fit(f"heartbeat, {mode}: wire, B/s", cost.bytes_per_s, 1)
        _print_fit(f"connection, {mode}: asker, KiB", cost.client_memory, 1 / 1024)
        _print_fit(f"connection, {mode}: answerer, KiB", cost.server_memory, 1 / 1024)
    idle = measurements.idle
    _print_fit("idle router, ms/s over heartbeats sent a second", idle.router_cpu, 1e3)
    _print_fit("idle sidecar, ms/s over heartbeats answered", idle.sidecar_cpu, 1e3)
    _print_fit("table reads/s over routers", idle.reads_per_router, 1)
    _print_fit("table reads/s over sidecars", idle.reads_per_sidecar, 1)
    operator = measurements.operator
    _print_fit("reading everything: reads over accounts", operator.reads, 1)
    _print_fit("reading everything: ms over accounts", operator.cpu_s, 1e3)
    _print_plane("router", measurements.path.router_cpu)
    _print_plane("sidecar", measurements.path.sidecar_cpu)
    _print("\n| Streams | Answer | Tokens/s | Requests/s | Failed | Router | Sidecar |")
    _print("|---|---|---|---|---|---|---|")
    for row in measurements.path.rows:
        _print(
            f"| {row.streams} | {row.answer_tokens} | {row.tokens_per_s:.0f} "
            f"| {row.requests_per_s:.1f} | {row.failed} | {row.router_cpu:.1%} "
            f"| {row.sidecar_cpu:.1%} |"
        )


def _print_fit(name: str, fit: Fit, scale: float) -> None:
    points = ", ".join(f"{p.x:g}: {p.y * scale:.4g}" for p in fit.points)
    slope, base = fit.slope * scale, fit.base * scale
    _print(f"| {name} | {slope:.4g} | {base:.4g} | {fit.r2:.3f} | {points} |")


def _print_plane(name: str, plane: PlaneFit) -> None:
    _print(
        f"| data path of a {name}, ms | {plane.first * 1000:.3g} a request, "
        f"{plane.second:.3g} a token | {plane.base * 1000:.3g} a second "
        f"| {plane.r2:.3f} | the rows below |"
    )


def _print(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
