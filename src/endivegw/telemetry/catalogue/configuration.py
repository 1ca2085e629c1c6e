"""Events of the configuration's distribution, 4000 to 4999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["CONFIGURATION_ADOPTED", "CONFIGURATION_READY", "SOURCE_FAILED"]

CONFIGURATION_ADOPTED = Event(
    4001,
    "configuration-adopted",
    Level.INFO,
    "The process took in a newer revision, and from where.",
    ("before", "revision", "source"),
)
CONFIGURATION_READY = Event(
    4002,
    "configuration-ready",
    Level.INFO,
    "The process has heard the table or enough peers, and may serve.",
    ("revision", "source"),
)
SOURCE_FAILED = Event(
    4003,
    "configuration-source-failed",
    Level.DEBUG,
    "A source of the configuration gave no answer; others are asked.",
    ("source", "reason"),
)
