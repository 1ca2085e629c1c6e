"""Configuration of one process, and whether the process may serve requests with it.

Every received copy of the configuration passes through this module, which rejects
copies with a lower revision. Otherwise a process could accept an outdated copy from a
slow peer or the object store, and requests of a blocked account or for a drained
target would be served again after the change had already been in force.
"""

from __future__ import annotations

from typing import Mapping

from attrs import Factory, define, field, frozen

from endivegw.configuration.codec import (
    ChangesMessage,
    ConfigMessage,
    DocumentsMessage,
)
from endivegw.configuration.documents import (
    EMPTY_DOCUMENTS,
    Change,
    Documents,
    apply_change,
    resolve,
    resolve_changed,
)
from endivegw.configuration.model import EMPTY_SNAPSHOT, Snapshot
from endivegw.exceptions import InvariantError
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = [
    "Adopted",
    "ConfigurationView",
    "Gap",
    "MAX_RETAINED_CHANGES",
    "NothingNew",
    "PeerRevision",
    "ReadinessRule",
    "is_peer_quorum",
]

#: Number of changes retained for peers that lag. At 1,000 changes a day they cover the
#: last six hours; a peer that lags more gets the complete configuration.
MAX_RETAINED_CHANGES = 256


@frozen
class ReadinessRule:
    """Define how many peers can replace the table while it is unavailable.

    :param peers: required number of processes that serve requests. A single one may
        have lost the table before the others; three with independent connections have
        not missed a change that was in force everywhere within seconds.
    :param zones: required number of availability zones of these processes, because a
        zone may be partitioned as a whole.
    :param freshness_s: time for which a peer's revision counts, in seconds; covers a
        few heartbeats.
    """

    peers: int = 3
    zones: int = 2
    freshness_s: float = 10.0


@frozen
class PeerRevision:
    """Hold the revision that a peer announced in a message header.

    :param revision: 0 from a process that may not serve requests yet. It does not
        count, so that new processes cannot make each other ready.
    """

    peer: InstanceId
    availability_zone: AvailabilityZone
    revision: ConfigRevision
    received_at_s: float


@frozen
class Adopted:
    """Result of ``adopt``: the copy was adopted."""

    before: ConfigRevision
    revision: ConfigRevision


@frozen
class NothingNew:
    """Result of ``adopt``: the copy contained nothing new."""


@frozen
class Gap:
    """Result of ``adopt``: changes between the view and the copy are missing."""

    known: ConfigRevision


def is_peer_quorum(
    received: tuple[PeerRevision, ...],
    known_by_zone: Mapping[AvailabilityZone, int],
    local_zone: AvailabilityZone,
    rule: ReadinessRule,
) -> bool:
    """Return whether the responding peers can replace the table.

    This requires the rule's number of peers in the rule's number of zones, as far as
    the fleet has that many. In a zone that is isolated from all others, more than half
    of the zone's other processes, and at least two, are sufficient.

    :param received: recent revisions of processes that serve requests, one for each.
    :param known_by_zone: number of other processes in the VM list, by zone.
    """
    known = sum(known_by_zone.values())
    if known == 0:
        return False
    zones_known = sum(1 for count in known_by_zone.values() if count)
    zones_responding = len({entry.availability_zone for entry in received})
    if len(received) >= min(rule.peers, known):
        if zones_responding >= min(rule.zones, zones_known):
            return True
    in_zone = sum(1 for entry in received if entry.availability_zone == local_zone)
    return in_zone >= max(2, known_by_zone.get(local_zone, 0) // 2 + 1)


@define
class ConfigurationView:
    """Hold the configuration of one process; ``adopt`` applies received copies.

    :ivar documents: the documents as written by operators.
    :ivar snapshot: the resolved configuration of these documents.
    :ivar ready: whether the process may serve requests. It is never reset, because an
        outage must not stop a fleet that has the newest configuration.
    """

    local_zone: AvailabilityZone = AvailabilityZone("")
    rule: ReadinessRule = ReadinessRule()
    documents: Documents = EMPTY_DOCUMENTS
    snapshot: Snapshot = EMPTY_SNAPSHOT
    ready: bool = False
    _changes: tuple[Change, ...] = ()
    _peer_revisions: dict[InstanceId, PeerRevision] = field(factory=dict)
    _known_by_zone: Mapping[AvailabilityZone, int] = Factory(dict)

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision of the configuration."""
        return self.documents.revision

    @property
    def announced_revision(self) -> ConfigRevision:
        """Return the revision for the headers of this process's messages.

        A process that may not serve requests announces 0. Sidecars then refuse its
        work, and new peers do not count its revision as the newest.
        """
        return self.revision if self.ready else ConfigRevision(0)

    def adopt(self, message: ConfigMessage) -> Adopted | NothingNew | Gap:
        """Apply a copy of the configuration from any source if it is newer."""
        match message:
            case DocumentsMessage(documents):
                return self._adopt_documents(documents)
            case ChangesMessage(after, changes):
                return self._adopt_changes(after, changes)

    def message_since(self, revision: ConfigRevision) -> ConfigMessage | None:
        """Return what a peer at a revision is missing, or None if nothing.

        A process that may not serve requests returns None.
        """
        if not self.ready or revision >= self.revision:
            return None
        missing = tuple(c for c in self._changes if c.revision > revision)
        if missing and missing[0].revision == revision + 1:
            return ChangesMessage(revision, missing)
        return DocumentsMessage(self.documents)

    def on_table_revision(self, table_revision: ConfigRevision) -> None:
        """Record the revision in a response of the table.

        Changes are committed in the table, so a process with the table's revision has
        the newest one and becomes ready.
        """
        if self.revision >= table_revision:
            self.ready = True

    def update_fleet_size(self, known_by_zone: Mapping[AvailabilityZone, int]) -> None:
        """Update the number of other processes by zone."""
        self._known_by_zone = dict(known_by_zone)

    def on_peer_revision(self, received: PeerRevision) -> None:
        """Record a peer's revision, which may make this process ready."""
        if self.ready:
            return
        if received.revision == 0:
            # The peer restarted or was never ready, so the revision that it announced
            # earlier no longer counts.
            self._peer_revisions.pop(received.peer, None)
            return
        self._peer_revisions[received.peer] = received
        self._check_peer_quorum(received.received_at_s)

    def _check_peer_quorum(self, now_s: float) -> None:
        oldest_s = now_s - self.rule.freshness_s
        self._peer_revisions = {
            peer: entry
            for peer, entry in self._peer_revisions.items()
            if entry.received_at_s >= oldest_s
        }
        received = tuple(self._peer_revisions.values())
        if not received or self.revision < max(entry.revision for entry in received):
            return
        if is_peer_quorum(received, self._known_by_zone, self.local_zone, self.rule):
            self.ready = True

    def _adopt_documents(self, documents: Documents) -> Adopted | NothingNew:
        if documents.revision <= self.revision:
            return NothingNew()
        return self._replace(documents, resolve(documents), ())

    def _adopt_changes(
        self, after: ConfigRevision, changes: tuple[Change, ...]
    ) -> Adopted | NothingNew | Gap:
        missing = tuple(c for c in changes if c.revision > self.revision)
        if not missing:
            return NothingNew()
        if after > self.revision or missing[0].revision != self.revision + 1:
            return Gap(self.revision)
        documents = self.documents
        for change in missing:
            documents = apply_change(documents, change)
        touched = frozenset().union(
            *(change.affected_documents() for change in missing)
        )
        snapshot = resolve_changed(self.snapshot, documents, touched)
        return self._replace(documents, snapshot, missing)

    def _replace(
        self, documents: Documents, snapshot: Snapshot, changes: tuple[Change, ...]
    ) -> Adopted:
        before = self.revision
        if documents.revision <= before:
            raise InvariantError(
                f"configuration revision would decrease from {before} to "
                f"{documents.revision}"
            )
        if snapshot.revision != documents.revision:
            raise InvariantError(
                f"snapshot of revision {snapshot.revision} does not match documents of "
                f"revision {documents.revision}"
            )
        self.documents = documents
        self.snapshot = snapshot
        retained = self._changes if changes else ()
        self._changes = (*retained, *changes)[-MAX_RETAINED_CHANGES:]
        return Adopted(before, documents.revision)
