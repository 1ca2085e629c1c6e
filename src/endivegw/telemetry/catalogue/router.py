"""Events of routers that call targets through sidecars, 1000 to 1999."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ATTEMPT_RESOLVED",
    "REQUEST_ENDED",
    "REQUEST_PLACED",
    "REQUEST_REFUSED",
    "REQUEST_RETRIED",
    "ROUTER_RECOVERED",
]

REQUEST_PLACED = Event(
    1001,
    "request-placed",
    Level.INFO,
    "A request was placed on a target; the line has the figures behind the decision.",
    ("request_id", "target", "why", "figures"),
)
REQUEST_REFUSED = Event(
    1002,
    "request-refused",
    Level.INFO,
    "A request was refused and did not run; with a key, an earlier try may have run.",
    ("request_id", "client_account", "reason", "detail"),
)
REQUEST_ENDED = Event(
    1003,
    "request-ended",
    Level.INFO,
    "A request ended; the outcome is the one that was reported to the caller.",
    ("request_id", "client_account", "outcome", "total_tokens", "elapsed_s"),
)
REQUEST_RETRIED = Event(
    1004,
    "request-retried",
    Level.INFO,
    "A sidecar refused an attempt, which did not run; the request continues.",
    ("request_id", "attempt_id", "target", "reason"),
)
ATTEMPT_RESOLVED = Event(
    1005,
    "attempt-resolved",
    Level.INFO,
    "The consumption to charge for an attempt whose end was unknown was determined.",
    ("attempt_id", "target", "how", "total_tokens"),
)
ROUTER_RECOVERED = Event(
    1007,
    "router-recovered",
    Level.WARNING,
    "A recovery round sealed and collected grants of a router that terminated"
    " without settling them.",
    ("recovered_instance", "done", "grants_left"),
)
