"""The shape of a numbered log event."""

from __future__ import annotations

import enum

from attrs import frozen

__all__ = ["Event", "Level"]


class Level(enum.Enum):
    """How much an operator should care."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@frozen
class Event:
    """Describe one kind of log line.

    :param number: stable for good; never used for another meaning.
    :param name: short, in kebab case.
    :param meaning: one sentence for the catalogue in docs/EVENTS.md.
    :param fields: names of the fields that each line carries.
    """

    number: int
    name: str
    level: Level
    meaning: str
    fields: tuple[str, ...] = ()
