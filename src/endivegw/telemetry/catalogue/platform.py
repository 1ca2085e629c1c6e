"""Events of calls to the platform's services, 6000 to 6999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["CIRCUIT_CLOSED", "CIRCUIT_OPENED"]

CIRCUIT_OPENED = Event(
    6001,
    "circuit-opened",
    Level.WARNING,
    "A service of the platform failed several calls in a row; calls are refused "
    "at once and one at a time probes.",
    ("service", "reason"),
)
CIRCUIT_CLOSED = Event(
    6002,
    "circuit-closed",
    Level.INFO,
    "A service of the platform answers again.",
    ("service",),
)
