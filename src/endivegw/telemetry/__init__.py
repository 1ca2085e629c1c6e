"""Numbered log events and metrics."""

from endivegw.telemetry.event import Event, Level
from endivegw.telemetry.log import EventLog, json_line_handler
from endivegw.telemetry.metrics import Metrics, NoMetrics, statsd_metrics

__all__ = [
    "Event",
    "EventLog",
    "Level",
    "Metrics",
    "NoMetrics",
    "json_line_handler",
    "statsd_metrics",
]
