"""Metrics of a direct router in the Prometheus text exposition format.

Label values come from sets that the code defines (kinds of route, outcomes, reasons)
and never from requests, which bounds the number of time series.
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

#: Upper bounds of the histogram buckets, from the first token of a cached chat to
#: the longest deadlines.
_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)

_KIB = 1024


class RouterMetrics:
    """Record the metrics of one router in a registry of its own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._ended_requests = Counter(
            "endivegw_requests",
            "Admitted requests that ended, by kind of route and outcome.",
            ("kind", "outcome"),
            registry=self._registry,
        )
        self._refused_requests = Counter(
            "endivegw_requests_refused",
            "Requests that were not admitted, by reason.",
            ("reason",),
            registry=self._registry,
        )
        self._first_byte = self._histogram(
            "first_byte",
            "Time from the arrival of a request to the first data of its answer.",
        )
        self._request_duration = self._histogram(
            "request", "Time from the arrival of a request to its end."
        )
        self._queue_time = Histogram(
            "endivegw_queue_seconds",
            "Time in the router's queue before a placement on a target.",
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._store_calls = Histogram(
            "endivegw_store_call_seconds",
            "Durations of store calls; a watch waits until there are changes.",
            ("call", "outcome"),
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._retries = Counter(
            "endivegw_sends_beyond_first",
            "Sends of requests after the first; the retry budget limits their number.",
            registry=self._registry,
        )
        self._ended_connections = Counter(
            "endivegw_caller_connections_ended",
            "Connections of callers that ended, by cause.",
            ("cause",),
            registry=self._registry,
        )
        self._unanswered_requests = Counter(
            "endivegw_requests_unanswered",
            "Requests that were read and got no whole answer, by the cause of the end"
            " of their connection.",
            ("cause",),
            registry=self._registry,
        )
        self._unmatched_answers = Counter(
            "endivegw_answers_unmatched",
            "Answers of targets that do not carry the id of the request in progress on"
            " their connection, by whether they carry another id.",
            ("has_id",),
            registry=self._registry,
        )
        self.gauge(
            "resident_bytes", "Peak resident memory of the process.", _resident_bytes
        )

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read whenever the metrics are requested.

        :param text: help text of the metric in the exposition.
        """
        gauge = Gauge(f"endivegw_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def refused(self, reason: str) -> None:
        """Count a request that was not admitted."""
        self._refused_requests.labels(reason).inc()

    def queued(self, waited_s: float) -> None:
        """Record how long a request waited in the queue of this router."""
        self._queue_time.observe(waited_s)

    def ended(
        self, kind: str, outcome: str, first_s: float | None, took_s: float
    ) -> None:
        """Count an admitted request that ended, and record its durations.

        :param first_s: time to the first part of the answer; None without an answer.
        """
        self._ended_requests.labels(kind, outcome).inc()
        self._request_duration.labels(kind).observe(took_s)
        if first_s is not None:
            self._first_byte.labels(kind).observe(first_s)

    def record_retry(self) -> None:
        """Count a send of a request after its first one."""
        self._retries.inc()

    def record_unmatched_answer(self, has_id: bool) -> None:
        """Count an answer that does not carry the id of the request in progress."""
        self._unmatched_answers.labels("yes" if has_id else "no").inc()

    def connection_ended(self, cause: str, unanswered: int) -> None:
        """Count the end of a caller's connection.

        :param unanswered: requests that were read on it and got no whole answer.
        """
        self._ended_connections.labels(cause).inc()
        self._unanswered_requests.labels(cause).inc(unanswered)

    def store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Record the outcome and the duration of one call to the store."""
        self._store_calls.labels(call, outcome).observe(took_s)

    def page(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"endivegw_{name}_seconds",
            text,
            ("kind",),
            buckets=_BUCKETS_S,
            registry=self._registry,
        )


def _resident_bytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB
