"""Definition of a numbered log event."""

from __future__ import annotations

import enum

from attrs import frozen

__all__ = ["Event", "Level"]


class Level(enum.Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@frozen
class Event:
    """Definition of one kind of log line.

    :param number: identifies the event; never reused for another meaning.
    :param name: short name in kebab case.
    :param meaning: one sentence for the catalogue in docs/EVENTS.md.
    :param fields: names of the fields that a line may have.
    """

    number: int
    name: str
    level: Level
    meaning: str
    fields: tuple[str, ...] = ()
