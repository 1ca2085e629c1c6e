"""Counters and histograms of a direct router, in the text exposition format.

Label values come from fixed sets of the program (kinds of route, outcomes, reasons),
never from requests, so that the page stays bounded.
"""

from __future__ import annotations

import resource
from typing import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["RouterMetrics"]

#: Upper bounds in seconds: from a cached chat's first token to the longest deadlines.
_SPANS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)

_KIB = 1024


class RouterMetrics:
    """Count what one router does; each has its own registry."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._ended = Counter(
            "endivegw_requests",
            "Admitted requests that ended.",
            ("kind", "outcome"),
            registry=self._registry,
        )
        self._refused = Counter(
            "endivegw_requests_refused",
            "Requests that the configuration in force does not allow.",
            ("reason",),
            registry=self._registry,
        )
        self._first = self._histogram("first_byte", "Time to an answer's first part.")
        self._whole = self._histogram("request", "Time to a request's end.")
        self._queued = Histogram(
            "endivegw_queue_seconds",
            "Time in the router's own queue.",
            buckets=_SPANS_S,
            registry=self._registry,
        )
        self._store = Histogram(
            "endivegw_store_call_seconds",
            "Calls to the store; watches wait for changes.",
            ("call", "outcome"),
            buckets=_SPANS_S,
            registry=self._registry,
        )
        self._again = Counter(
            "endivegw_sends_beyond_first",
            "Sends to a second target and further ones, which the retry budget bounds.",
            registry=self._registry,
        )
        self.gauge("resident_bytes", "Largest resident memory so far.", _resident_bytes)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the page is asked for."""
        gauge = Gauge(f"endivegw_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def refused(self, reason: str) -> None:
        """Count a request that was not admitted."""
        self._refused.labels(reason).inc()

    def queued(self, span_s: float) -> None:
        """Record how long a request waited here."""
        self._queued.observe(span_s)

    def ended(
        self, kind: str, outcome: str, first_s: float | None, took_s: float
    ) -> None:
        """Count an admitted request that ended."""
        self._ended.labels(kind, outcome).inc()
        self._whole.labels(kind).observe(took_s)
        if first_s is not None:
            self._first.labels(kind).observe(first_s)

    def sent_again(self) -> None:
        """Count a send beyond a request's first."""
        self._again.inc()

    def store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Record one call to the store."""
        self._store.labels(call, outcome).observe(took_s)

    def page(self) -> bytes:
        """Return the page."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"endivegw_{name}_seconds",
            text,
            ("kind",),
            buckets=_SPANS_S,
            registry=self._registry,
        )


def _resident_bytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB
