"""Log rows that another writer left and that do not decode."""

from __future__ import annotations

from endivegw.services.row_store import StoredRow
from endivegw.telemetry import Event, EventLog

__all__ = ["UnreadableRows"]

#: Maximum number of rows that are remembered; no further ones are logged.
_MAX_ROWS = 1024


class UnreadableRows:
    """Log each row once for as long as it does not decode, however often it is read.

    :param event: event of the lines; fields that it does not define are left out.
    """

    def __init__(self, log: EventLog, event: Event) -> None:
        self._log = log
        self._event = event
        self._logged: set[tuple[str, str]] = set()

    def record(self, row: StoredRow, error: ValueError) -> None:
        """Log a row that does not decode."""
        name = row.table, row.key
        if name in self._logged or len(self._logged) >= _MAX_ROWS:
            return
        self._logged.add(name)
        fields: dict[str, object] = {
            "table": row.table,
            "key": row.key,
            "revision": row.revision,
            "detail": str(error),
        }
        known = {key: fields[key] for key in fields if key in self._event.fields}
        self._log.emit(self._event, **known)

    def clear(self, row: StoredRow) -> None:
        """Record that a row decodes, or that it was deleted."""
        self._logged.discard((row.table, row.key))
