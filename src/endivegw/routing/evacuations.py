"""The availability zones that the operator has evacuated."""

from __future__ import annotations

from typing import Mapping

from attrs import define, field, frozen

from endivegw.types import AvailabilityZone

__all__ = ["ZoneChange", "ZoneEvacuations"]


@frozen
class ZoneChange:
    """Report that the operator evacuated a zone, or put it back into use.

    :param revision: revision of the store at which the request was written or removed.
    """

    zone: AvailabilityZone
    evacuated: bool
    revision: int


@define
class ZoneEvacuations:
    """Hold the last change of each zone; older news never overrides newer.

    Listings may be older than changes that the feed or another router delivered before.
    """

    _changes: dict[AvailabilityZone, ZoneChange] = field(factory=dict)

    def apply(self, change: ZoneChange) -> bool:
        """Apply a change; return whether it was not known."""
        known = self._changes.get(change.zone)
        if known is not None and known.revision >= change.revision:
            return False
        self._changes[change.zone] = change
        return True

    def missing_changes(
        self, listed: Mapping[AvailabilityZone, int], revision: int
    ) -> list[ZoneChange]:
        """Return the changes that a listing of all requests implies.

        :param listed: revision of each listed request, by zone.
        :param revision: revision of the store at the time of the listing.
        """
        changes = [ZoneChange(zone, True, listed[zone]) for zone in listed]
        changes += [
            ZoneChange(zone, False, revision)
            for zone, known in self._changes.items()
            if known.evacuated and zone not in listed
        ]
        return changes

    def is_evacuated(self, zone: AvailabilityZone) -> bool:
        """Return whether a zone's targets must get no new requests."""
        change = self._changes.get(zone)
        return change is not None and change.evacuated

    def evacuated(self) -> tuple[AvailabilityZone, ...]:
        """Return the evacuated zones in alphabetical order."""
        return tuple(sorted(filter(self.is_evacuated, self._changes)))
