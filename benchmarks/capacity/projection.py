"""Project the measured costs of each role to the target fleet size."""

from __future__ import annotations

from attrs import frozen
from benchmarks.capacity.fitting import Fit
from benchmarks.capacity.heartbeat_cost import HeartbeatCost
from benchmarks.capacity.operator_cost import OperatorCost
from benchmarks.capacity.path_cost import IdleCost, PathCost

from endivegw.membership import MembershipPolicy
from endivegw.targets.order_manager import OrderPolicy

__all__ = ["Figure", "FleetSize", "Measurements", "project"]

_KIB = 1024
_MIB = 1024 * 1024


@frozen
class FleetSize:
    """Size and load of the fleet for which capacity is projected."""

    routers: int = 370
    sidecars: int = 650
    requests_per_s: float = 3900.0
    tokens_per_s: float = 800_000.0
    budgets: int = 99_000
    accounts: int = 280
    changes_per_day: int = 1000

    @property
    def tokens_per_request(self) -> float:
        """Return the mean length of an answer."""
        return self.tokens_per_s / self.requests_per_s


@frozen
class Measurements:
    """All fitted measurements."""

    state: dict[str, Fit]
    heartbeats: dict[str, HeartbeatCost]
    dispatch: Fit
    idle: IdleCost
    path: PathCost
    operator: OperatorCost


@frozen
class Figure:
    """A projected figure and its derivation."""

    role: str
    quantity: str
    value: str
    basis: str


def project(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    """Return the projected figures of all roles."""
    return [
        *_router_control(measurements, fleet_size),
        *_router_path(measurements, fleet_size),
        *_sidecar(measurements, fleet_size),
        *_table(measurements, fleet_size),
        *_operator(measurements, fleet_size),
    ]


def _router_control(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    policy = MembershipPolicy()
    watched = policy.targets_per_router
    rate = watched / policy.target_interval_s(watched)
    all_rate = fleet_size.sidecars / policy.heartbeat_interval_s
    keyed = measurements.heartbeats["keyed"]
    state = measurements.state
    configuration = _configuration_bytes(measurements, fleet_size, "held")
    per_listed = state["peer in the membership view"]
    listed = per_listed.slope * (fleet_size.sidecars + fleet_size.routers)
    per_budget = state["budget with one grant in a router"].slope
    budgets = per_budget * fleet_size.budgets
    return [
        Figure(
            "router",
            "heartbeats sent",
            f"{rate:.1f} a second to {watched} targets",
            "MembershipPolicy",
        ),
        Figure(
            "router",
            "heartbeat bytes, keyed",
            f"{keyed.bytes_per_s.slope * rate / 1000:.1f} KB/s",
            f"{keyed.bytes_per_s.slope:.0f} B each, both ways, with TCP/IP",
        ),
        Figure(
            "router",
            "heartbeat processor time, keyed",
            f"{keyed.client_cpu.slope * rate:.2%} of a core",
            f"{keyed.client_cpu.slope * 1000:.2f} ms each",
        ),
        Figure(
            "router",
            "the same if all targets were watched",
            f"{keyed.bytes_per_s.slope * all_rate / 1000:.0f} KB/s, "
            f"{keyed.client_cpu.slope * all_rate:.0%} of a core",
            f"{all_rate:.0f} heartbeats a second",
        ),
        Figure(
            "router",
            "whole control, idle",
            f"{measurements.idle.router_cpu.at(rate):.2%} of a core",
            "idle line over heartbeats a second",
        ),
        Figure(
            "router",
            "memory of the process, few entries",
            f"{measurements.idle.router_rss / _MIB:.0f} MiB",
            "resident, idle",
        ),
        Figure(
            "router",
            "configuration held",
            f"{configuration / _MIB:.1f} MiB",
            f"{fleet_size.accounts} accounts, {fleet_size.sidecars} targets",
        ),
        Figure(
            "router",
            "membership view",
            f"{listed / _MIB:.1f} MiB",
            f"{per_listed.slope:.0f} B a listed machine",
        ),
        Figure(
            "router",
            "budgets in hand",
            f"{per_budget:.0f} B each; all of them {budgets / _MIB:.0f} MiB",
            "only recently used budgets are held",
        ),
    ]


def _router_path(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    plane = measurements.path.router_cpu
    requests = fleet_size.requests_per_s / fleet_size.routers
    tokens = fleet_size.tokens_per_s / fleet_size.routers
    cpu = plane.first * requests + plane.second * tokens / 1000
    per_token = plane.second / 1000 + plane.first / fleet_size.tokens_per_request
    per_core = 1 / per_token
    return [
        Figure(
            "router",
            "data path, its even share",
            f"{cpu:.0%} of a core",
            f"{requests:.1f} requests/s, {tokens:.0f} tokens/s",
        ),
        Figure(
            "router",
            "data path, tokens a second per core",
            f"{per_core:.0f}",
            f"{plane.first * 1000:.1f} ms a request, " f"{plane.second:.2f} ms a token",
        ),
        Figure(
            "router",
            "routers for all tokens at a full core each",
            f"{fleet_size.tokens_per_s / per_core:.0f}",
            "at 60 % of a core: " f"{fleet_size.tokens_per_s / per_core / 0.6:.0f}",
        ),
        Figure(
            "router",
            "one placement",
            f"{measurements.dispatch.at(8) * 1e6:.0f} us, "
            f"{measurements.dispatch.at(fleet_size.sidecars) * 1e6:.0f} us "
            "with all targets",
            "Dispatcher: submit, started, first_token, ended",
        ),
    ]


def _sidecar(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    policy = MembershipPolicy()
    watched = policy.targets_per_router
    rate = watched / policy.target_interval_s(watched)
    incoming = fleet_size.routers * rate / fleet_size.sidecars
    keyed = measurements.heartbeats["keyed"]
    plane = measurements.path.sidecar_cpu
    requests = fleet_size.requests_per_s / fleet_size.sidecars
    tokens = fleet_size.tokens_per_s / fleet_size.sidecars
    cpu = plane.first * requests + plane.second * tokens / 1000
    grant = measurements.state["grant in a sidecar's ledger"].slope
    buffer = measurements.state["answer of 205 tokens in a buffer"].slope
    return [
        Figure(
            "sidecar",
            "heartbeats answered",
            f"{incoming:.1f} a second",
            f"{fleet_size.routers} routers x {watched} of {fleet_size.sidecars}",
        ),
        Figure(
            "sidecar",
            "heartbeat bytes, keyed",
            f"{keyed.bytes_per_s.slope * incoming / 1000:.1f} KB/s",
            f"{keyed.bytes_per_s.slope:.0f} B each",
        ),
        Figure(
            "sidecar",
            "heartbeat processor time, keyed",
            f"{keyed.server_cpu.slope * incoming:.2%} of a core",
            f"{keyed.server_cpu.slope * 1000:.2f} ms each",
        ),
        Figure(
            "sidecar",
            "whole control, idle",
            f"{measurements.idle.sidecar_cpu.at(incoming):.2%} of a core",
            "idle line over heartbeats answered a second",
        ),
        Figure(
            "sidecar",
            "memory of the process, few entries",
            f"{measurements.idle.sidecar_rss / _MIB:.0f} MiB",
            "resident, idle",
        ),
        Figure(
            "sidecar",
            "data path, its even share",
            f"{cpu:.0%} of a core",
            f"{requests:.1f} requests/s, {tokens:.0f} tokens/s; "
            f"{plane.first * 1000:.1f} ms a request, {plane.second:.2f} ms a token",
        ),
        Figure(
            "sidecar",
            "grants known",
            f"{grant:.0f} B each",
            "ledger, one attempt each",
        ),
        Figure(
            "sidecar",
            "answers kept",
            f"{buffer / _KIB:.0f} KiB each of 205 tokens",
            "bounded by its settings",
        ),
    ]


def _table(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    idle = measurements.idle
    router_reads = idle.reads_per_router.slope * fleet_size.routers
    sidecar_reads = idle.reads_per_sidecar.slope * fleet_size.sidecars
    busiest = max(measurements.path.rows, key=lambda row: row.requests_per_s)
    router_writes = max(busiest.writes_per_s - idle.writes_per_s, 0.0)
    orders = fleet_size.sidecars / OrderPolicy().poll_s
    return [
        Figure(
            "table",
            "reads of idle routers",
            f"{router_reads:.0f} a second",
            f"{idle.reads_per_router.slope:.2f} each",
        ),
        Figure(
            "table",
            "reads of idle sidecars",
            f"{sidecar_reads:.0f} a second",
            f"{idle.reads_per_sidecar.slope:.2f} each, {orders:.0f} of them for orders",
        ),
        Figure(
            "table",
            "writes of an idle fleet",
            f"{idle.writes_per_s:.1f} a second",
            "heartbeats of the key slots, independent of the fleet size",
        ),
        Figure(
            "table",
            "writes of busy routers",
            f"{router_writes * fleet_size.routers:.0f} a second",
            f"{router_writes:.2f} a router at {busiest.requests_per_s:.1f} requests/s",
        ),
    ]


def _operator(measurements: Measurements, fleet_size: FleetSize) -> list[Figure]:
    cost = measurements.operator
    writes_per_s = fleet_size.changes_per_day / 86_400 * cost.change_writes
    return [
        Figure(
            "operators' client",
            "reading everything",
            f"{cost.reads.at(fleet_size.accounts):.0f} reads, "
            f"{cost.cpu_s.at(fleet_size.accounts):.2f} s of a core",
            f"{fleet_size.accounts} accounts with 354 budgets, 560 targets",
        ),
        Figure(
            "operators' client",
            "one change",
            f"{cost.change_reads:.0f} reads, {cost.change_writes:.0f} write",
            f"{fleet_size.changes_per_day} a day: {writes_per_s:.3f} writes a second",
        ),
        Figure(
            "operators' client",
            "memory",
            f"{cost.memory_bytes / _MIB:.0f} MiB",
            "peak resident, with everything loaded",
        ),
    ]


def _configuration_bytes(
    measurements: Measurements, fleet_size: FleetSize, form: str
) -> float:
    accounts = measurements.state[f"account with 354 budgets, {form}"]
    targets = measurements.state[f"target in the configuration, {form}"]
    return accounts.slope * fleet_size.accounts + targets.slope * fleet_size.sidecars
