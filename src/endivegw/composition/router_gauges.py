"""Gauges of a direct router, evaluated when the metrics page is requested."""

from __future__ import annotations

from endivegw.capacity import ConnectionLimit, HeldMemory
from endivegw.daemons.capacity_watch import CapacityWatch
from endivegw.relay.caller_connection import CallerConnection
from endivegw.relay.context import RelayContext
from endivegw.telemetry.exposition import RouterMetrics

__all__ = ["add_caller_gauges", "add_capacity_gauges", "add_router_gauges"]


def add_router_gauges(metrics: RouterMetrics, context: RelayContext) -> None:
    """Register gauges that are evaluated when the metrics page is requested."""
    ledger = context.allowances.ledger

    def hand_tokens() -> int:
        return sum(max(0, funds.hand_tokens) for funds in ledger.funds.values())

    def reserved_tokens() -> int:
        return sum(funds.reserved_tokens for funds in ledger.funds.values())

    def version() -> int:
        return context.table.version if context.table is not None else 0

    metrics.gauge("hand_tokens", "Prepaid tokens held and not in use.", hand_tokens)
    metrics.gauge("reserved_tokens", "Prepaid tokens in use.", reserved_tokens)
    metrics.gauge(
        "quarantined_requests",
        "Requests and prompt parts that no target gets any more.",
        lambda: len(context.quarantine.ledger.quarantined(context.clock())),
    )
    metrics.gauge("configuration_version", "Version in force; 0 for none.", version)
    metrics.gauge(
        "configuration_age_seconds",
        "Time since the version came into force.",
        lambda: context.clock() - context.table_active_since_s,
    )
    metrics.gauge(
        "target_connections_opened",
        "Connections opened to targets so far.",
        lambda: context.pool.connections_opened,
    )


def add_capacity_gauges(metrics: RouterMetrics, capacity: CapacityWatch) -> None:
    """Register gauges of the load of the machine."""
    metrics.gauge(
        "offered_share",
        "Share of the machine's scarcest resource that callers ask for.",
        lambda: capacity.gate.offered(capacity.clock()),
    )
    metrics.gauge(
        "in_rotation",
        "Whether the load balancer should send new connections: 1 or 0.",
        lambda: float(capacity.in_rotation),
    )


def add_caller_gauges(
    metrics: RouterMetrics,
    memory: HeldMemory,
    connections: ConnectionLimit[CallerConnection],
) -> None:
    """Register gauges of what callers occupy, and of what gave way to others."""
    metrics.gauge(
        "held_bytes",
        "Data that is held in memory for callers and other peers.",
        lambda: memory.total_bytes,
    )
    metrics.gauge(
        "held_bytes_limit",
        "Size of held data beyond which requests that have not run give way.",
        lambda: memory.limit_bytes,
    )
    metrics.gauge(
        "requests_gave_way",
        "Requests refused so far because too much was held.",
        lambda: memory.given_up,
    )
    metrics.gauge(
        "connections_gave_way",
        "Connections closed so far because too many were open.",
        lambda: connections.closed,
    )
