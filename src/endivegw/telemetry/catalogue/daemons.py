"""Events of the life cycle of daemons, 8000 to 8999."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "DAEMON_DRAINING",
    "DAEMON_STARTED",
    "DAEMON_STOPPED",
    "HTTP_CALLERS_GAVE_WAY",
    "INVARIANT_BROKEN",
    "UNEXPECTED_ERROR",
]

DAEMON_STARTED = Event(
    8001,
    "daemon-started",
    Level.INFO,
    "A daemon listens and has started to serve.",
    ("role", "instance_id", "address"),
)
DAEMON_DRAINING = Event(
    8002,
    "daemon-draining",
    Level.INFO,
    "A daemon accepts no new work and lets running work complete.",
    ("role", "instance_id", "in_progress"),
)
DAEMON_STOPPED = Event(
    8003,
    "daemon-stopped",
    Level.INFO,
    "A daemon stopped; in a planned stop, the number of aborted requests is 0.",
    ("role", "instance_id", "cut_off"),
)
INVARIANT_BROKEN = Event(
    8004,
    "invariant-broken",
    Level.ERROR,
    "An internal invariant check failed; the operation was aborted.",
    ("detail",),
)
UNEXPECTED_ERROR = Event(
    8005,
    "unexpected-error",
    Level.ERROR,
    "A request or its cleanup failed with an unexpected error. A caller that waits is"
    " told that the request may have run.",
    ("detail",),
)
HTTP_CALLERS_GAVE_WAY = Event(
    8006,
    "callers-gave-way",
    Level.WARNING,
    "Since the last such line, requests that had not run were refused because too much"
    " was held in memory, or connections that waited for their callers were closed"
    " because too many were open. client_account holds the most memory.",
    (
        "requests",
        "connections",
        "held_bytes",
        "limit_bytes",
        "open_connections",
        "client_account",
    ),
)
