"""Events of the life cycle of daemons, 8000 to 8999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["DAEMON_DRAINING", "DAEMON_STARTED", "DAEMON_STOPPED", "INVARIANT_BROKEN"]

DAEMON_STARTED = Event(
    8001,
    "daemon-started",
    Level.INFO,
    "A daemon listens and begins its work.",
    ("role", "instance_id", "address"),
)
DAEMON_DRAINING = Event(
    8002,
    "daemon-draining",
    Level.INFO,
    "A daemon takes no new work and lets what runs end.",
    ("role", "instance_id", "in_progress"),
)
DAEMON_STOPPED = Event(
    8003,
    "daemon-stopped",
    Level.INFO,
    "A daemon has ended; what was cut off is 0 in a planned stop.",
    ("role", "instance_id", "cut_off"),
)
INVARIANT_BROKEN = Event(
    8004,
    "invariant-broken",
    Level.ERROR,
    "A check of one of the product's promises failed; the operation was stopped.",
    ("detail",),
)
