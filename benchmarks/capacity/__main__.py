"""Measure, fit, and print each role at the target size: ``make capacity``."""

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
from benchmarks.capacity.projection import Letter, Measured, project
from benchmarks.capacity.state_cost import measure_state

#: Connections, each with a heartbeat in 2.5 seconds.
_HEARTBEAT_SIZES = (12, 48, 192)

#: Streams at once, and tokens of each answer.
_LOADS = ((10, 50), (10, 205), (30, 50), (30, 205), (60, 100), (60, 205))

_SPAN_S = 8.0


def main() -> int:
    """Run all measurements one after the other, and print Markdown tables."""
    began_s = time.monotonic()
    today = datetime.date.today().isoformat()
    _say(f"Run of {today} on {os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}.\n")
    measured = _measure()
    _say("\n## Lines\n")
    _print_lines(measured)
    _say("\n## At the size of letter 1\n")
    _say("| Role | What | Figure | From |\n|---|---|---|---|")
    for figure in project(measured, Letter()):
        _say(f"| {figure.role} | {figure.what} | {figure.value} | {figure.how} |")
    spent_s = time.monotonic() - began_s
    _say(f"\nThe run took {spent_s:.0f} s; load {os.getloadavg()[0]:.1f} at its end.")
    return 0


def _measure() -> Measured:
    _say("State and decisions.")
    state = measure_state()
    dispatch = measure_dispatch()
    _say("The operators' client.")
    operator = measure_operator()
    _say("Heartbeats.")
    heartbeats = {}
    for mode in MODES:
        heartbeats[mode] = measure_heartbeats(mode, _HEARTBEAT_SIZES, _SPAN_S)
        _say(f"  {mode}: {heartbeats[mode].asker_cpu.slope * 1000:.2f} ms each")
    _say("Idle fleets.")
    idle = measure_idle(_SPAN_S)
    _say("The data path.")
    path = measure_path(_LOADS, _SPAN_S)
    return Measured(state, heartbeats, dispatch, idle, path, operator)


def _print_lines(measured: Measured) -> None:
    _say("| What | Slope | Base | R2 | Points |\n|---|---|---|---|---|")
    for name, fit in measured.state.items():
        _line(f"{name}, bytes", fit, 1)
    _line("placement, us over targets", measured.dispatch, 1e6)
    for mode, cost in measured.heartbeats.items():
        _line(f"heartbeat, {mode}: asker, ms/s over a second's", cost.asker_cpu, 1e3)
        _line(f"heartbeat, {mode}: answerer, ms/s", cost.answerer_cpu, 1e3)
        _line(f"heartbeat, {mode}: wire, B/s", cost.bytes_per_s, 1)
        _line(f"connection, {mode}: asker, KiB", cost.asker_memory, 1 / 1024)
        _line(f"connection, {mode}: answerer, KiB", cost.answerer_memory, 1 / 1024)
    idle = measured.idle
    _line("idle router, ms/s over heartbeats sent a second", idle.router_cpu, 1e3)
    _line("idle sidecar, ms/s over heartbeats answered", idle.sidecar_cpu, 1e3)
    _line("table reads/s over routers", idle.reads_per_router, 1)
    _line("table reads/s over sidecars", idle.reads_per_sidecar, 1)
    operator = measured.operator
    _line("reading everything: reads over accounts", operator.reads, 1)
    _line("reading everything: ms over accounts", operator.cpu_s, 1e3)
    _plane("router", measured.path.router_cpu)
    _plane("sidecar", measured.path.sidecar_cpu)
    _say("\n| Streams | Answer | Tokens/s | Requests/s | Failed | Router | Sidecar |")
    _say("|---|---|---|---|---|---|---|")
    for row in measured.path.rows:
        _say(
            f"| {row.streams} | {row.answer_tokens} | {row.tokens_per_s:.0f} "
            f"| {row.requests_per_s:.1f} | {row.failed} | {row.router_cpu:.1%} "
            f"| {row.sidecar_cpu:.1%} |"
        )


def _line(name: str, fit: Fit, scale: float) -> None:
    points = ", ".join(f"{p.x:g}: {p.y * scale:.4g}" for p in fit.points)
    slope, base = fit.slope * scale, fit.base * scale
    _say(f"| {name} | {slope:.4g} | {base:.4g} | {fit.r2:.3f} | {points} |")


def _plane(name: str, plane: PlaneFit) -> None:
    _say(
        f"| data path of a {name}, ms | {plane.first * 1000:.3g} a request, "
        f"{plane.second:.3g} a token | {plane.base * 1000:.3g} a second "
        f"| {plane.r2:.3f} | the rows below |"
    )


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
