"""Events of calls to platform services, 6000 to 6999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["CIRCUIT_CLOSED", "CIRCUIT_OPENED"]

CIRCUIT_OPENED = Event(
    6001,
    "circuit-opened",
    Level.WARNING,
    "A platform service failed several consecutive calls; calls are rejected"
    " immediately, except for one probe at a time.",
    ("service", "reason"),
)
CIRCUIT_CLOSED = Event(
    6002,
    "circuit-closed",
    Level.INFO,
    "A platform service responds again.",
    ("service",),
)
