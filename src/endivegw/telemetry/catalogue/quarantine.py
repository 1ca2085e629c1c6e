"""Events of the quarantine of requests, 9200 to 9299."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "PART_TRIED",
    "QUARANTINE_ENDED",
    "REQUEST_QUARANTINED",
    "REQUEST_SUSPECTED",
    "ROW_UNREADABLE",
]

REQUEST_SUSPECTED = Event(
    9201,
    "quarantine-request-suspected",
    Level.WARNING,
    "Targets terminated while they ran a request; an attempt of the request is not"
    " sent to a second target.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
REQUEST_QUARANTINED = Event(
    9202,
    "quarantine-begun",
    Level.ERROR,
    "Several targets terminated while they ran a request; the request is sent to no"
    " target any more.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
QUARANTINE_ENDED = Event(
    9203,
    "quarantine-ended",
    Level.WARNING,
    "A request may be sent to targets again: it was answered or released, its"
    " record expired, or other requests explain the terminations.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
PART_TRIED = Event(
    9205,
    "quarantine-part-tried",
    Level.WARNING,
    "One request with a quarantined prompt part is sent to a target, which shows"
    " whether the part terminates targets.",
    ("fingerprint",),
)
ROW_UNREADABLE = Event(
    9204,
    "quarantine-row-unreadable",
    Level.ERROR,
    "The row of a request cannot be decoded and is ignored.",
    ("key", "detail"),
)
