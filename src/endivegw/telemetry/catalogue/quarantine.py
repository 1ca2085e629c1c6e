"""Events of the quarantine of requests, 9200 to 9299."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "QUARANTINE_ENDED",
    "REQUEST_QUARANTINED",
    "REQUEST_SUSPECTED",
    "ROW_UNREADABLE",
]

REQUEST_SUSPECTED = Event(
    9201,
    "quarantine-request-suspected",
    Level.WARNING,
    "Targets ended while they ran a request; one attempt of it gets no second target.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
REQUEST_QUARANTINED = Event(
    9202,
    "quarantine-begun",
    Level.ERROR,
    "A request ended several targets; it goes to none any more.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
QUARANTINE_ENDED = Event(
    9203,
    "quarantine-ended",
    Level.WARNING,
    "A request may go to targets again: answered, expired, released or explained.",
    ("fingerprint", "source", "targets", "starts_ms"),
)
ROW_UNREADABLE = Event(
    9204,
    "quarantine-row-unreadable",
    Level.ERROR,
    "A request's row does not decode; it is left alone.",
    ("key", "detail"),
)
