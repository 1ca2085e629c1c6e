"""Decide when a process asks whom for a newer configuration.

Three ways lead to a process, and each works without the others: it polls the
table; each message of a peer carries the peer's revision, and a process that
sees a higher one than its own pulls from that peer; and while the table is
away it looks into the object store. Nothing here waits or sends: the agent
carries out what :meth:`Spread.due` returns and reports how it ended.
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
    PullPeer,
    ReadAllFromTable,
    ReadChanges,
    ReadObject,
    Report,
    WriteObject,
)
from endivegw.configuration.spread_settings import SpreadSettings
from endivegw.configuration.view import Adopted, ConfigurationView, Gap, PeerWord
from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "Action",
    "PullPeer",
    "ReadAllFromTable",
    "ReadChanges",
    "ReadObject",
    "Report",
    "Spread",
    "SpreadSettings",
    "WriteObject",
]

_NEVER = float("inf")


@frozen
class _Failing:
    """Hold until when a peer is passed over, and for how long the last time."""

    until_s: float
    wait_s: float


@define
class Spread:
    """Schedule one process's questions; at most one of each kind is under way.

    :ivar view: where answers go.
    :param daemons: how many processes the fleet has.
    :param reports: whether this process reports revisions (a router, which
        hears sidecars) or is reported by others (a sidecar).
    """

    view: ConfigurationView
    _random: random.Random
    settings: SpreadSettings = SpreadSettings()
    daemons: int = 1
    reports: bool = False
    table_away: bool = True
    _poll_at_s: float = 0.0
    _polling: bool = False
    _polled_at_s: float = float("-inf")
    _need_all: bool = False
    _table_heard_at_s: float = float("-inf")
    _pull_at_s: float = _NEVER
    _pulling: bool = False
    _candidates: dict[InstanceId, ConfigRevision] = field(factory=dict)
    _failing: dict[InstanceId, _Failing] = field(factory=dict)
    _object_read_at_s: float = 0.0
    _object_write_at_s: float = _NEVER
    _object_busy: bool = False
    _report_at_s: float = _NEVER
    _reporting: bool = False
    _words: dict[InstanceId, PeerWord] = field(factory=dict)

    def start(self, now_s: float) -> None:
        """Begin: ask the object store and the table soon.

        The object comes first, because 270 restarts a day, and all 1,020
        processes after a power cut, must not read a megabyte each from the
        table; the table then gives the changes since. Where there is no
        object, the loads are spread over five seconds at that size, in which
        most processes get the whole from a peer that was earlier.
        """
        self._object_read_at_s = now_s
        spread_s = self.daemons * self.settings.load_reads / self.settings.load_reads_hz
        self._poll_at_s = now_s + self._random.uniform(0.0, spread_s)
        if self.reports:
            self._report_at_s = now_s + self._draw_report_s()

    def next_due_s(self) -> float:
        """Return when :meth:`due` has something again, if nothing is heard."""
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
        """Return what to begin now; each must be reported back when it ends."""
        self.table_away = now_s - self._table_heard_at_s > self.settings.table_silent_s
        actions: list[Action] = []
        if not self._object_busy:
            actions += self._object_actions(now_s)
        if not self._polling and now_s >= self._poll_at_s:
            self._polling = True
            self._polled_at_s = now_s
            self._poll_at_s = now_s + self._draw_around(self.settings.poll_s)
            actions.append(self._poll())
        if not self._pulling and now_s >= self._pull_at_s:
            actions += self._pull(now_s)
        if not self._reporting and now_s >= self._report_at_s:
            self._reporting = True
            self._report_at_s = now_s + self._draw_around(self.settings.report_s)
            actions.append(Report())
        return tuple(actions)

    def heard(self, word: PeerWord) -> None:
        """Take in the header of any message, in either direction."""
        self.view.heard_peer(word)
        if self.reports:
            before = self._words.get(word.peer)
            self._words[word.peer] = word
            if before is None or before.revision != word.revision:
                self.report_soon(word.heard_at_s)
        if word.revision <= self.view.revision:
            self._candidates.pop(word.peer, None)
            return
        self._candidates[word.peer] = word.revision
        if self._pull_at_s == _NEVER:
            jitter_s = self._random.uniform(0.0, self.settings.pull_jitter_s)
            self._pull_at_s = word.heard_at_s + jitter_s

    def heard_of(self, revision: ConfigRevision, now_s: float) -> bool:
        """Learn of a revision from a sender that cannot be asked for it.

        :returns: whether the table is polled earlier for it.
        """
        jitter_s = self._random.uniform(0.0, self.settings.pull_jitter_s)
        soon_s = now_s + jitter_s
        if revision <= self.view.revision or self._poll_at_s <= soon_s:
            return False
        if now_s - self._polled_at_s < self.settings.pull_retry_s:
            # Each refusal of a sidecar names the revision; one question
            # answers all of them.
            return False
        self._poll_at_s = soon_s
        return True

    def table_gave_changes(
        self, after: ConfigRevision, changes: tuple[Change, ...], now_s: float
    ) -> Adopted | None:
        """Take in the table's answer to :class:`ReadChanges`."""
        self._polling = False
        self._table_heard_at_s = now_s
        table_revision = changes[-1].revision if changes else after
        adopted = self._adopt(ChangesMessage(after, changes), now_s)
        self.view.heard_table(table_revision)
        return adopted

    def table_gave_all(self, documents: Documents, now_s: float) -> Adopted | None:
        """Take in the table's answer to :class:`ReadAllFromTable`."""
        self._polling = False
        self._table_heard_at_s = now_s
        self._need_all = False
        adopted = self._adopt(DocumentsMessage(documents), now_s)
        self.view.heard_table(documents.revision)
        return adopted

    def table_lacks_changes(self, now_s: float) -> None:
        """Note that the table's history has a gap: all documents are needed."""
        self._polling = False
        self._need_all = True
        self._poll_at_s = now_s

    def table_failed(self) -> None:
        """Note that the table gave no answer; the next poll comes at its time."""
        self._polling = False

    def peer_gave(
        self, peer: InstanceId, message: ConfigMessage | None, now_s: float
    ) -> Adopted | None:
        """Take in a peer's answer; None where it had nothing newer."""
        self._pulling = False
        self._candidates.pop(peer, None)
        self._failing.pop(peer, None)
        adopted = self._adopt(message, now_s) if message else None
        self._schedule_pull(now_s)
        return adopted

    def peer_failed(self, peer: InstanceId, now_s: float) -> None:
        """Note that a peer gave no answer; another one is asked next."""
        self._pulling = False
        failing = self._failing.get(peer)
        wait_s = failing.wait_s * 2 if failing else self.settings.pull_retry_s
        wait_s = min(wait_s, self.settings.longest_retry_s)
        self._failing[peer] = _Failing(now_s + wait_s, wait_s)
        self._schedule_pull(now_s)

    def object_gave(
        self, message: ConfigMessage | None, now_s: float
    ) -> Adopted | None:
        """Take in the object store's copy. It never makes a process ready."""
        self._object_busy = False
        if message is None:
            return None
        if not self.view.ready:
            soon_s = self._random.uniform(0.0, self.settings.poll_s / 4)
            self._poll_at_s = min(self._poll_at_s, now_s + soon_s)
        return self._adopt(message, now_s)

    def object_ended(self) -> None:
        """Note that a look or a write ended without a copy."""
        self._object_busy = False

    def fresh_words(self, now_s: float) -> tuple[PeerWord, ...]:
        """Return the last word of each peer heard of late, and forget the others."""
        oldest_s = now_s - self.settings.reported_s
        self._words = {
            peer: word
            for peer, word in self._words.items()
            if word.heard_at_s >= oldest_s
        }
        return tuple(self._words.values())

    def report_soon(self, now_s: float) -> None:
        """Note that the last report is no longer what this process knows."""
        if self.reports:
            soon_s = now_s + self._draw_report_s()
            self._report_at_s = min(self._report_at_s, soon_s)

    def report_ended(self) -> None:
        """Note that a report was written, or failed and waits for its next time."""
        self._reporting = False

    def _adopt(self, message: ConfigMessage, now_s: float) -> Adopted | None:
        match self.view.adopt(message):
            case Adopted() as adopted:
                self._need_all = False
                self._after_adoption(now_s)
                return adopted
            case Gap():
                self._need_all = True
                self._poll_at_s = min(self._poll_at_s, now_s)
        return None

    def _after_adoption(self, now_s: float) -> None:
        revision = self.view.revision
        self._candidates = {p: r for p, r in self._candidates.items() if r > revision}
        if not self._candidates:
            self._pull_at_s = _NEVER
            self._failing = {}
        chosen = self._random.random() < self.settings.object_writers / self.daemons
        if chosen and self._object_write_at_s == _NEVER:
            wait_s = self._random.uniform(0.0, self.settings.object_write_s)
            self._object_write_at_s = now_s + wait_s
        self.report_soon(now_s)

    def _poll(self) -> Action:
        # A process that holds the object store's copy needs only what came
        # after it, whatever its age.
        fresh = self.view.revision == 0 and not self.view.ready
        if self._need_all or fresh:
            return ReadAllFromTable()
        return ReadChanges(self.view.revision)

    def _pull(self, now_s: float) -> list[Action]:
        self._pull_at_s = _NEVER
        answering = {
            peer: revision
            for peer, revision in self._candidates.items()
            if peer not in self._failing or self._failing[peer].until_s <= now_s
        }
        if not answering:
            waits = [self._failing[peer].until_s for peer in self._candidates]
            self._pull_at_s = min(waits, default=_NEVER)
            return []
        newest = max(answering.values())
        peers = sorted(peer for peer, held in answering.items() if held == newest)
        self._pulling = True
        return [PullPeer(self._random.choice(peers), self.view.revision)]

    def _schedule_pull(self, now_s: float) -> None:
        if self._candidates and self._pull_at_s == _NEVER:
            self._pull_at_s = now_s

    def _object_actions(self, now_s: float) -> list[Action]:
        if now_s >= self._object_read_at_s:
            self._object_read_at_s = now_s + self._draw_around(
                self.settings.object_read_s
            )
            if self.table_away or not self.view.ready:
                self._object_busy = True
                return [ReadObject()]
        if now_s >= self._object_write_at_s:
            self._object_write_at_s = _NEVER
            if not self.view.ready:
                return []
            self._object_busy = True
            return [WriteObject()]
        return []

    def _draw_around(self, mean_s: float) -> float:
        return self._random.uniform(0.75 * mean_s, 1.25 * mean_s)

    def _draw_report_s(self) -> float:
        longest_s = self.settings.report_spread_s
        return self._random.uniform(0.5 * longest_s, longest_s)
