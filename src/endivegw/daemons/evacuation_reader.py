"""Feed reader for the operator's requests to evacuate availability zones."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.direct_readers import RowDecoder
from endivegw.routing import ZoneChange, ZoneEvacuations
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import AvailabilityZone

__all__ = ["EvacuationReader"]


class EvacuationReader:
    """Keep the evacuated zones up to date with the operator's table.

    :param on_change: called after a zone was evacuated or put back into use.
    :param broadcast: sends a change to the other routers, some of which may not reach
        the store.
    :param target_count: returns the number of registered targets in a zone.
    """

    def __init__(
        self,
        evacuations: ZoneEvacuations,
        decoder: RowDecoder,
        on_change: Callable[[ZoneChange], None],
        broadcast: Callable[[ZoneChange], None],
        target_count: Callable[[AvailabilityZone], int],
        log: EventLog,
    ) -> None:
        self._evacuations = evacuations
        self._decoder = decoder
        self._on_change = on_change
        self._broadcast = broadcast
        self._target_count = target_count
        self._log = log

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Apply all rows of the table; zones without a row are back in use."""
        listed = {}
        for row in rows:
            zone = self._decoder.evacuation(row.key)
            if zone is not None and not row.deleted:
                listed[zone] = row.revision
        for change in self._evacuations.missing_changes(listed, revision):
            self.apply(change, "listing")

    def on_row(self, row: StoredRow) -> None:
        """Apply one row; ignore those that are not about a zone."""
        zone = self._decoder.evacuation(row.key)
        if zone is not None:
            self.apply(ZoneChange(zone, not row.deleted, row.revision), "row")

    def apply(self, change: ZoneChange, source: str) -> None:
        """Apply a change unless it is known, and pass it on.

        :param source: how this router learned of it: ``listing``, ``row`` or ``peer``.
        """
        if not self._evacuations.apply(change):
            return
        self._log.emit(
            events.ZONE_CHANGED,
            availability_zone=change.zone,
            evacuated=change.evacuated,
            revision=change.revision,
            source=source,
            targets=self._target_count(change.zone),
        )
        self._on_change(change)
        self._broadcast(change)

    def on_unavailable(self) -> None:
        """Do nothing: evacuated zones stay evacuated."""

    def on_response(self) -> None:
        """Do nothing: rows carry their own revision."""
