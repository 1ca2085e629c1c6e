"""The configuration that one process holds, and whether it may serve by it.

What goes wrong without this module: a process takes in an old copy of the
configuration, from a slow peer or an old object, and gives a blocked account
or a drained target work again. Operators would notice a change that holds and
then does not. Every copy therefore passes here, and none with a lower revision
gets in.
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
    "KEPT_CHANGES",
    "NothingNew",
    "PeerWord",
    "ReadinessRule",
    "enough_peers",
]

#: Changes kept to answer peers that lag. At 1,000 changes a day these are the
#: last six hours; a peer that lags more gets the whole configuration.
KEPT_CHANGES = 256


@frozen
class ReadinessRule:
    """Say how many peers stand in for the table while it is away.

    :param peers: processes that serve. One may have been cut off from the
        table before the others were; three with links of their own have not
        missed a change that was in force everywhere within seconds.
    :param zones: availability zones that these lie in, because a zone is what
        gets cut off as a whole.
    :param fresh_s: how long a peer's word counts; a few heartbeats.
    """

    peers: int = 3
    zones: int = 2
    fresh_s: float = 10.0


@frozen
class PeerWord:
    """Hold what a message's header said of its sender.

    :param revision: 0 from a process that may not serve yet; it vouches for
        nothing, so that fresh processes cannot vouch for each other.
    """

    peer: InstanceId
    availability_zone: AvailabilityZone
    revision: ConfigRevision
    heard_at_s: float


@frozen
class Adopted:
    """Say that a copy was taken in."""

    before: ConfigRevision
    revision: ConfigRevision


@frozen
class NothingNew:
    """Say that a copy held nothing beyond what is known already."""


@frozen
class Gap:
    """Say that changes are missing between what is known and what came."""

    known: ConfigRevision


def enough_peers(
    words: tuple[PeerWord, ...],
    known_by_zone: Mapping[AvailabilityZone, int],
    own_zone: AvailabilityZone,
    rule: ReadinessRule,
) -> bool:
    """Return whether the peers heard may stand in for the table.

    Either the rule's number of peers over the rule's number of zones, as far
    as the fleet has so many; or, in a zone that is cut off from all others,
    more than half of the zone's other processes and at least two.

    :param words: fresh words of processes that serve, one for each.
    :param known_by_zone: how many other processes the VM list names, by zone.
    """
    known = sum(known_by_zone.values())
    if known == 0:
        return False
    zones_known = sum(1 for count in known_by_zone.values() if count)
    zones_heard = len({word.availability_zone for word in words})
    if len(words) >= min(rule.peers, known):
        if zones_heard >= min(rule.zones, zones_known):
            return True
    in_zone = sum(1 for word in words if word.availability_zone == own_zone)
    return in_zone >= max(2, known_by_zone.get(own_zone, 0) // 2 + 1)


@define
class ConfigurationView:
    """Hold one process's configuration; every copy enters through ``adopt``.

    :ivar documents: as operators wrote them.
    :ivar snapshot: the same, resolved for decisions.
    :ivar ready: whether the process may serve; once true it stays true, since
        an outage must not stop a fleet that holds the newest configuration.
    """

    own_zone: AvailabilityZone = AvailabilityZone("")
    rule: ReadinessRule = ReadinessRule()
    documents: Documents = EMPTY_DOCUMENTS
    snapshot: Snapshot = EMPTY_SNAPSHOT
    ready: bool = False
    _changes: tuple[Change, ...] = ()
    _words: dict[InstanceId, PeerWord] = field(factory=dict)
    _known_by_zone: Mapping[AvailabilityZone, int] = Factory(dict)

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision that is held."""
        return self.documents.revision

    @property
    def announced_revision(self) -> ConfigRevision:
        """Return what the headers of this process's messages carry.

        A process that may not serve announces 0. A sidecar then refuses its
        work, and a fresh peer does not take its word for the newest revision.
        """
        return self.revision if self.ready else ConfigRevision(0)

    def adopt(self, message: ConfigMessage) -> Adopted | NothingNew | Gap:
        """Take in a copy where it is newer, from wherever it came."""
        match message:
            case DocumentsMessage(documents):
                return self._adopt_documents(documents)
            case ChangesMessage(after, changes):
                return self._adopt_changes(after, changes)

    def message_since(self, revision: ConfigRevision) -> ConfigMessage | None:
        """Return what a peer at a revision lacks, None where it lacks nothing.

        A process that may not serve hands out nothing.
        """
        if not self.ready or revision >= self.revision:
            return None
        missing = tuple(c for c in self._changes if c.revision > revision)
        if missing and missing[0].revision == revision + 1:
            return ChangesMessage(revision, missing)
        return DocumentsMessage(self.documents)

    def heard_table(self, table_revision: ConfigRevision) -> None:
        """Note that the table answered, and with which revision.

        The table is where changes are accepted: who holds its revision holds
        the newest one.
        """
        if self.revision >= table_revision:
            self.ready = True

    def fleet_known(self, known_by_zone: Mapping[AvailabilityZone, int]) -> None:
        """Note how many other processes there are, by zone."""
        self._known_by_zone = dict(known_by_zone)

    def heard_peer(self, word: PeerWord) -> None:
        """Note a message's header; it may make this process ready."""
        if self.ready:
            return
        if word.revision == 0:
            # The process restarted or never was ready; its earlier word is
            # void with it.
            self._words.pop(word.peer, None)
            return
        self._words[word.peer] = word
        self._consider_peers(word.heard_at_s)

    def _consider_peers(self, now_s: float) -> None:
        oldest_s = now_s - self.rule.fresh_s
        self._words = {
            peer: word
            for peer, word in self._words.items()
            if word.heard_at_s >= oldest_s
        }
        words = tuple(self._words.values())
        if not words or self.revision < max(word.revision for word in words):
            return
        if enough_peers(words, self._known_by_zone, self.own_zone, self.rule):
            self.ready = True

    def _adopt_documents(self, documents: Documents) -> Adopted | NothingNew:
        if documents.revision <= self.revision:
            return NothingNew()
        return self._take(documents, resolve(documents), ())

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
        touched = frozenset().union(*(change.touches() for change in missing))
        snapshot = resolve_changed(self.snapshot, documents, touched)
        return self._take(documents, snapshot, missing)

    def _take(
        self, documents: Documents, snapshot: Snapshot, changes: tuple[Change, ...]
    ) -> Adopted:
        before = self.revision
        if documents.revision <= before:
            raise InvariantError(
                f"the configuration would go from revision {before} back to "
                f"{documents.revision}"
            )
        if snapshot.revision != documents.revision:
            raise InvariantError(
                f"snapshot {snapshot.revision} of documents {documents.revision}"
            )
        self.documents = documents
        self.snapshot = snapshot
        kept = self._changes if changes else ()
        self._changes = (*kept, *changes)[-KEPT_CHANGES:]
        return Adopted(before, documents.revision)
