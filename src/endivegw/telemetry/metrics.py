"""Counters, timers and gauges, sent to a statsd server if one is configured."""

from __future__ import annotations

from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "statsd_metrics"]


class Metrics(Protocol):
    """Interface of a metrics client; metric names are dotted, relative to the role."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record one duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Discard all metrics, for settings without a statsd server."""

    def incr(self, name: str, count: int = 1) -> None:
        """Discard the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discard the value."""

    def gauge(self, name: str, value: float) -> None:
        """Discard the value."""


def statsd_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return a statsd client, which sends datagrams and never waits for a response."""
    client: Metrics = statsd.StatsClient(host=host, port=port, prefix=prefix)
    return client
