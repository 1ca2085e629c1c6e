"""Counters and timers, sent to a statsd server where the settings name one."""

from __future__ import annotations

from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "statsd_metrics"]


class Metrics(Protocol):
    """What the daemons count with; names are dotted, below the role."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record one duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Count nothing, where the settings name no server."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


def statsd_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return a client that sends datagrams and never waits for an answer."""
    client: Metrics = statsd.StatsClient(host=host, port=port, prefix=prefix)
    return client
