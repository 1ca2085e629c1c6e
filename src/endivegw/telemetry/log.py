"""Structured logging: one JSON object per line."""

from __future__ import annotations

import json
import sys
from datetime import datetime, timezone
from typing import TextIO

import logbook

from endivegw.telemetry.event import Event, Level

__all__ = ["EventLog", "format_line", "json_line_handler"]

_LEVELS = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


def format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as one line of JSON."""
    line = {
        "time": datetime.now(timezone.utc).isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    line.update(record.extra)
    return json.dumps(line, default=str, separators=(",", ":"))


def json_line_handler(
    level: Level = Level.INFO, stream: TextIO | None = None
) -> logbook.Handler:
    """Return a handler that writes each record as one line of JSON.

    :param stream: defaults to standard error, because standard output is for the
        result of a command.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=_LEVELS[level])
    handler.formatter = format_line
    return handler


class EventLog:
    """Write the numbered events of one component of a process.

    :param part: name of the component, such as ``router``.
    :param common: fields that are added to every line.
    """

    def __init__(self, part: str, **common: object) -> None:
        self._logger = logbook.Logger(part)
        self._common = common

    def emit(self, event: Event, **fields: object) -> None:
        """Write one line.

        :raises ValueError: if the event does not define one of the fields, which is
            a programming error.
        """
        unknown = set(fields) - set(event.fields)
        if unknown:
            raise ValueError(f"event {event.number} has no fields {sorted(unknown)}")
        extra = {"event": event.number, **self._common, **fields}
        self._logger.log(_LEVELS[event.level], event.name, extra=extra)
