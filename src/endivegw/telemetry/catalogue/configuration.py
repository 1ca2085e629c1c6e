"""Events of the distribution of the configuration, 4000 to 4999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["CONFIGURATION_ADOPTED", "CONFIGURATION_READY", "SOURCE_FAILED"]

CONFIGURATION_ADOPTED = Event(
    4001,
    "configuration-adopted",
    Level.INFO,
    "The process adopted a newer revision of the configuration; the line has its"
    " source.",
    ("before", "revision", "source"),
)
CONFIGURATION_READY = Event(
    4002,
    "configuration-ready",
    Level.INFO,
    "The process has the newest revision of the table or of enough peers, and may"
    " serve requests.",
    ("revision", "source"),
)
SOURCE_FAILED = Event(
    4003,
    "configuration-source-failed",
    Level.DEBUG,
    "A source did not return the configuration; other sources are queried.",
    ("source", "reason"),
)
