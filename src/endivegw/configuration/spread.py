"""Schedule when and from which source a process reads a newer configuration.

There are three independent sources. The process polls the table. Each message of a
peer contains the peer's revision, and a process that receives a higher revision than
its own pulls from that peer. While the table is unavailable, the process polls the
object store. This module performs no I/O: the agent executes the actions that
:meth:`SyncScheduler.due` returns and reports their results.
"""

from __future__ import annotations

import random

from attrs import define, field, frozen

from endivegw.configuration.codec import (
    ChangesMessage,
    ConfigMessage,
    DocumentsMessage,
)
from endivegw.configuration.documents import Change, Documents
from endivegw.configuration.spread_actions import (
    Action,
    PullFromPeer,
    ReadAllDocuments,
    ReadChanges,
    ReadObject,
    WriteObject,
    WriteReport,
)
from endivegw.configuration.spread_settings import SyncSettings
from endivegw.configuration.view import Adopted, ConfigurationView, Gap, PeerRevision
from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "Action",
    "PullFromPeer",
    "ReadAllDocuments",
    "ReadChanges",
    "ReadObject",
    "SyncScheduler",
    "SyncSettings",
    "WriteObject",
    "WriteReport",
]

_NEVER = float("inf")


@frozen
class _BackOff:
    """Hold until when a failing peer is skipped, and the current back-off."""

    until_s: float
    wait_s: float


@define
class SyncScheduler:
    """Schedule the actions of one process; at most one of each kind is in progress.

    :ivar view: the view that applies the results.
    :ivar table_unavailable: whether the table has not responded recently.
    :param daemons: number of processes in the fleet.
    :param reports: whether this process writes adoption reports. Routers do, because
        they receive the revisions of sidecars; sidecars do not.
    """

    view: ConfigurationView
    _random: random.Random
    settings: SyncSettings = SyncSettings()
    daemons: int = 1
    reports: bool = False
    table_unavailable: bool = True
    _poll_at_s: float = 0.0
    _polling: bool = False
    _polled_at_s: float = float("-inf")
    _needs_full_load: bool = False
    _table_responded_at_s: float = float("-inf")
    _pull_at_s: float = _NEVER
    _pulling: bool = False
    _candidates: dict[InstanceId, ConfigRevision] = field(factory=dict)
    _back_offs: dict[InstanceId, _BackOff] = field(factory=dict)
    _object_read_at_s: float = 0.0
    _object_write_at_s: float = _NEVER
    _object_busy: bool = False
    _report_at_s: float = _NEVER
    _reporting: bool = False
    _peer_revisions: dict[InstanceId, PeerRevision] = field(factory=dict)

    def start(self, now_s: float) -> None:
        """Schedule the first reads of the object store and the table.

        The object store is read first, because neither 270 restarts a day nor all
        1,020 processes after a power failure should read a megabyte each from the
        table; only the changes since that copy are then read from the table. If there
        is no object, the complete loads of 1,020 processes are distributed over five
        seconds, in which most processes get the configuration from a peer.
        """
        self._object_read_at_s = now_s
        spread_s = self.daemons * self.settings.load_reads / self.settings.load_reads_hz
        self._poll_at_s = now_s + self._random.uniform(0.0, spread_s)
        if self.reports:
            self._report_at_s = now_s + self._random_report_delay_s()

    def next_due_s(self) -> float:
        """Return when the next action is due if no message is received before."""
        times = [_NEVER]
        if not self._polling:
            times.append(self._poll_at_s)
        if not self._pulling:
            times.append(self._pull_at_s)
        if not self._object_busy:
            times += [self._object_read_at_s, self._object_write_at_s]
        if not self._reporting:
            times.append(self._report_at_s)
        return min(times)

    def due(self, now_s: float) -> tuple[Action, ...]:
        """Return the actions to start now; the result of each must be reported."""
        self.table_unavailable = (
            now_s - self._table_responded_at_s > self.settings.table_unavailable_after_s
        )
        actions: list[Action] = []
        if not self._object_busy:
            actions += self._object_actions(now_s)
        if not self._polling and now_s >= self._poll_at_s:
            self._polling = True
            self._polled_at_s = now_s
            self._poll_at_s = now_s + self._jittered(self.settings.poll_s)
            actions.append(self._poll_action())
        if not self._pulling and now_s >= self._pull_at_s:
            actions += self._pull_actions(now_s)
        if not self._reporting and now_s >= self._report_at_s:
            self._reporting = True
            self._report_at_s = now_s + self._jittered(self.settings.report_s)
            actions.append(WriteReport())
        return tuple(actions)

    def on_peer_revision(self, received: PeerRevision) -> None:
        """Process the revision in the header of a request or response."""
        self.view.on_peer_revision(received)
        if self.reports:
            before = self._peer_revisions.get(received.peer)
            self._peer_revisions[received.peer] = received
            if before is None or before.revision != received.revision:
                self.schedule_report(received.received_at_s)
        if received.revision <= self.view.revision:
            self._candidates.pop(received.peer, None)
            return
        self._candidates[received.peer] = received.revision
        if self._pull_at_s == _NEVER:
            jitter_s = self._random.uniform(0.0, self.settings.pull_jitter_s)
            self._pull_at_s = received.received_at_s + jitter_s

    def on_revision_hint(self, revision: ConfigRevision, now_s: float) -> bool:
        """Process a revision reported by a sender that cannot be queried for it.

        :returns: whether the next poll of the table was moved to an earlier time.
        """
        jitter_s = self._random.uniform(0.0, self.settings.pull_jitter_s)
        early_s = now_s + jitter_s
        if revision <= self.view.revision or self._poll_at_s <= early_s:
            return False
        if now_s - self._polled_at_s < self.settings.pull_retry_s:
            # Each refusal by a sidecar contains the revision; a single poll covers
            # all of them.
            return False
        self._poll_at_s = early_s
        return True

    def on_table_changes(
        self, after: ConfigRevision, changes: tuple[Change, ...], now_s: float
    ) -> Adopted | None:
        """Apply the table's response to :class:`ReadChanges`."""
        self._polling = False
        self._table_responded_at_s = now_s
        table_revision = changes[-1].revision if changes else after
        adopted = self._adopt(ChangesMessage(after, changes), now_s)
        self.view.on_table_revision(table_revision)
        return adopted

    def on_table_documents(self, documents: Documents, now_s: float) -> Adopted | None:
        """Apply the table's response to :class:`ReadAllDocuments`."""
        self._polling = False
        self._table_responded_at_s = now_s
        self._needs_full_load = False
        adopted = self._adopt(DocumentsMessage(documents), now_s)
        self.view.on_table_revision(documents.revision)
        return adopted

    def on_table_history_gap(self, now_s: float) -> None:
        """Schedule a complete load because the table's history has a gap."""
        self._polling = False
        self._needs_full_load = True
        self._poll_at_s = now_s

    def on_table_failure(self) -> None:
        """Record that the table did not respond; the next poll stays as scheduled."""
        self._polling = False

    def on_peer_message(
        self, peer: InstanceId, message: ConfigMessage | None, now_s: float
    ) -> Adopted | None:
        """Apply a peer's response; ``message`` is None if it had nothing newer."""
        self._pulling = False
        self._candidates.pop(peer, None)
        self._back_offs.pop(peer, None)
        adopted = self._adopt(message, now_s) if message else None
        self._schedule_pull(now_s)
        return adopted

    def on_peer_failure(self, peer: InstanceId, now_s: float) -> None:
        """Record that a peer did not respond; another peer is tried next."""
        self._pulling = False
        back_off = self._back_offs.get(peer)
        wait_s = back_off.wait_s * 2 if back_off else self.settings.pull_retry_s
        wait_s = min(wait_s, self.settings.max_retry_s)
        self._back_offs[peer] = _BackOff(now_s + wait_s, wait_s)
        self._schedule_pull(now_s)

    def on_object_message(
        self, message: ConfigMessage | None, now_s: float
    ) -> Adopted | None:
        """Apply the object store's copy, which never makes a process ready."""
        self._object_busy = False
        if message is None:
            return None
        if not self.view.ready:
            early_s = self._random.uniform(0.0, self.settings.poll_s / 4)
            self._poll_at_s = min(self._poll_at_s, now_s + early_s)
        return self._adopt(message, now_s)

    def on_object_done(self) -> None:
        """Record that a write, or a read that returned no copy, has finished."""
        self._object_busy = False

    def recent_peer_revisions(self, now_s: float) -> tuple[PeerRevision, ...]:
        """Return the last revision of each recent peer; drop the others."""
        oldest_s = now_s - self.settings.report_window_s
        self._peer_revisions = {
            peer: received
            for peer, received in self._peer_revisions.items()
            if received.received_at_s >= oldest_s
        }
        return tuple(self._peer_revisions.values())

    def schedule_report(self, now_s: float) -> None:
        """Schedule an early report because the last one is outdated."""
        if self.reports:
            early_s = now_s + self._random_report_delay_s()
            self._report_at_s = min(self._report_at_s, early_s)

    def on_report_done(self) -> None:
        """Record that a report was written or failed; the next one is scheduled."""
        self._reporting = False

    def _adopt(self, message: ConfigMessage, now_s: float) -> Adopted | None:
        match self.view.adopt(message):
            case Adopted() as adopted:
                self._needs_full_load = False
                self._after_adoption(now_s)
                return adopted
            case Gap():
                self._needs_full_load = True
                self._poll_at_s = min(self._poll_at_s, now_s)
        return None

    def _after_adoption(self, now_s: float) -> None:
        revision = self.view.revision
        self._candidates = {p: r for p, r in self._candidates.items() if r > revision}
        if not self._candidates:
            self._pull_at_s = _NEVER
            self._back_offs = {}
        chosen = self._random.random() < self.settings.object_writers / self.daemons
        if chosen and self._object_write_at_s == _NEVER:
            wait_s = self._random.uniform(0.0, self.settings.object_write_s)
            self._object_write_at_s = now_s + wait_s
        self.schedule_report(now_s)

    def _poll_action(self) -> Action:
        # A process that has the object store's copy needs only the changes after it,
        # regardless of the age of the copy.
        empty = self.view.revision == 0 and not self.view.ready
        if self._needs_full_load or empty:
            return ReadAllDocuments()
        return ReadChanges(self.view.revision)

    def _pull_actions(self, now_s: float) -> list[Action]:
        self._pull_at_s = _NEVER
        available = {
            peer: revision
            for peer, revision in self._candidates.items()
            if peer not in self._back_offs or self._back_offs[peer].until_s <= now_s
        }
        if not available:
            waits = [self._back_offs[peer].until_s for peer in self._candidates]
            self._pull_at_s = min(waits, default=_NEVER)
            return []
        newest = max(available.values())
        peers = sorted(peer for peer, offered in available.items() if offered == newest)
        self._pulling = True
        return [PullFromPeer(self._random.choice(peers), self.view.revision)]

    def _schedule_pull(self, now_s: float) -> None:
        if self._candidates and self._pull_at_s == _NEVER:
            self._pull_at_s = now_s

    def _object_actions(self, now_s: float) -> list[Action]:
        if now_s >= self._object_read_at_s:
            self._object_read_at_s = now_s + self._jittered(self.settings.object_read_s)
            if self.table_unavailable or not self.view.ready:
                self._object_busy = True
                return [ReadObject()]
        if now_s >= self._object_write_at_s:
            self._object_write_at_s = _NEVER
            if not self.view.ready:
                return []
            self._object_busy = True
            return [WriteObject()]
        return []

    def _jittered(self, mean_s: float) -> float:
        return self._random.uniform(0.75 * mean_s, 1.25 * mean_s)

    def _random_report_delay_s(self) -> float:
        max_s = self.settings.report_spread_s
        return self._random.uniform(0.5 * max_s, max_s)
