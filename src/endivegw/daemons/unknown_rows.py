"""Log rows of the operator that this version does not read."""

from __future__ import annotations

from endivegw.daemons.direct_readers import RowDecoder
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["UnknownRows"]

#: Maximum number of keys that are logged and retained.
_MAX_KEYS = 32


class UnknownRows:
    """Log each key of the operator's table that no reader uses, once."""

    def __init__(self, decoder: RowDecoder, log: EventLog) -> None:
        self._decoder = decoder
        self._log = log
        self._logged: set[str] = set()

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Check all rows of the table."""
        for row in rows:
            self.on_row(row)

    def on_row(self, row: StoredRow) -> None:
        """Check one row."""
        decoder = self._decoder
        if row.key == decoder.configuration_key or row.key in self._logged:
            return
        if decoder.evacuation(row.key) is not None or len(self._logged) >= _MAX_KEYS:
            return
        self._logged.add(row.key)
        self._log.emit(
            events.ROW_UNKNOWN, table=row.table, key=row.key, revision=row.revision
        )

    def on_unavailable(self) -> None:
        """Do nothing: rows are checked when they are read."""

    def on_response(self) -> None:
        """Do nothing: rows are checked when they are read."""
