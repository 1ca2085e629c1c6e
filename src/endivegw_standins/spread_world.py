"""Many processes' configuration in virtual time: the pure parts, no sockets.

Each process is the product's own view and schedule; this module stands for
what carries out their questions, with a table, an object store and heartbeats
that can be slow, lossy, doubled, cut off or away.
"""

from __future__ import annotations

import functools
import heapq
import random
from collections import Counter
from typing import Callable

from attrs import define, field, frozen

from endivegw.configuration.codec import (
    DocumentsMessage,
    encode_message,
)
from endivegw.configuration.documents import (
    EMPTY_DOCUMENTS,
    Change,
    Documents,
    TemplateDocument,
    apply_change,
)
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.spread import (
    Action,
    PullPeer,
    ReadAllFromTable,
    ReadChanges,
    ReadObject,
    Report,
    Spread,
    WriteObject,
)
from endivegw.configuration.view import ConfigurationView, PeerWord
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = ["Process", "READS_OF_ALL", "SpreadWorld", "WorldSettings"]

_TIMEOUT_S = 2.0

#: Reads of a load of all documents: the revision, three kinds, the changes.
READS_OF_ALL = 5


@frozen
class WorldSettings:
    """Hold the size of a world and how its network behaves at the start.

    :param heard_by: routers that send heartbeats to one sidecar.
    :param router_partners: routers that send heartbeats to one router.
    """

    routers: int
    sidecars: int
    zones: int = 3
    heard_by: int = 4
    heartbeat_s: float = 1.0
    router_partners: int = 4
    router_heartbeat_s: float = 1.0
    delay_s: float = 0.003
    table_delay_s: float = 0.01


@define
class Process:
    """Hold one process: its slot in the fleet and its present incarnation."""

    index: int
    zone: AvailabilityZone
    router: bool
    spread: Spread
    incarnation: int = 0
    woken_at_s: float = float("inf")
    table_reads: int = 0
    sent_bytes: int = 0
    highest: ConfigRevision = ConfigRevision(0)

    @property
    def instance_id(self) -> InstanceId:
        """Return the id of the present incarnation."""
        return InstanceId(f"{self.index}.{self.incarnation}")


@define
class SpreadWorld:
    """Run processes in virtual time.

    :ivar loss: share of messages between processes that vanish.
    :ivar doubling: share that arrive twice.
    :ivar extra_delay_s: longest random delay of a message.
    :ivar table_up: whether the table answers anyone.
    :ivar objects_up: whether the object store answers anyone.
    :ivar reads_by_second: reads of the table in each second.
    :ivar reports_by_second: writes of reports in each second.
    :ivar whole_loads: how often all documents were read from the table.
    :ivar cut: whether a message of one process does not reach another; the
        table and the object store count as process -1.
    """

    settings: WorldSettings
    random: random.Random
    now_s: float = 0.0
    loss: float = 0.0
    doubling: float = 0.0
    extra_delay_s: float = 0.0
    table_up: bool = True
    objects_up: bool = True
    cut: Callable[[int, int], bool] = lambda one, other: False
    documents: Documents = EMPTY_DOCUMENTS
    history: list[Change] = field(factory=list)
    stored: Documents | None = None
    processes: list[Process] = field(factory=list)
    reads_by_second: Counter[int] = field(factory=Counter)
    reports_by_second: Counter[int] = field(factory=Counter)
    whole_loads: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        total = self.settings.routers + self.settings.sidecars
        for index in range(total):
            zone = AvailabilityZone(f"zone-{index % self.settings.zones}")
            router = index < self.settings.routers
            spread = self._new_spread(zone, router)
            self.processes.append(Process(index, zone, router, spread))
        for process in self.processes:
            self._start(process)
        routers = self.processes[: self.settings.routers]
        for process in self.processes:
            others = [router for router in routers if router is not process]
            wanted, interval_s = self.settings.heard_by, self.settings.heartbeat_s
            if process.router:
                wanted = self.settings.router_partners
                interval_s = self.settings.router_heartbeat_s
            for sender in self.random.sample(others, min(len(others), wanted)):
                beat = functools.partial(self._heartbeat, sender, process, interval_s)
                self._at(self.random.uniform(0, interval_s), beat)

    def run_until(self, end_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, happen = heapq.heappop(self._events)
            happen()
        self.now_s = end_s

    def commit(self, name: str, weight: float) -> Change:
        """Accept one change at the table."""
        change = Change(
            ConfigRevision(self.documents.revision + 1),
            f"op-{len(self.history)}",
            "ana",
            self.now_s,
            f"edit template {name}",
            (TemplateDocument(name, Parameters(weight=weight)),),
        )
        self.documents = apply_change(self.documents, change)
        self.history.append(change)
        return change

    def restart(self, process: Process) -> None:
        """Replace a process by a fresh one that knows nothing."""
        process.incarnation += 1
        process.highest = ConfigRevision(0)
        process.spread = self._new_spread(process.zone, process.router)
        self._start(process)

    def holding(self, revision: int) -> int:
        """Return how many processes serve under at least a revision."""
        return sum(
            1
            for process in self.processes
            if process.spread.view.announced_revision >= revision
        )

    def _new_spread(self, zone: AvailabilityZone, router: bool) -> Spread:
        total = self.settings.routers + self.settings.sidecars
        view = ConfigurationView(zone)
        spread = Spread(
            view, random.Random(self.random.random()), daemons=total, reports=router
        )
        per_zone = {
            AvailabilityZone(f"zone-{number}"): len(
                range(number, total, self.settings.zones)
            )
            for number in range(self.settings.zones)
        }
        per_zone[zone] -= 1
        view.fleet_known(per_zone)
        return spread

    def _start(self, process: Process) -> None:
        process.spread.start(self.now_s)
        process.woken_at_s = float("inf")
        self._wake(process)

    def _at(self, delay_s: float, happen: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, happen))

    def _wake(self, process: Process) -> None:
        due_s = max(self.now_s, process.spread.next_due_s())
        if due_s >= process.woken_at_s:
            return
        process.woken_at_s = due_s
        spread = process.spread

        def happen() -> None:
            if process.spread is not spread or process.woken_at_s != due_s:
                return
            process.woken_at_s = float("inf")
            for action in spread.due(self.now_s):
                self._carry_out(process, spread, action)
            self._wake(process)

        self._at(due_s - self.now_s, happen)

    def _answer(
        self,
        process: Process,
        spread: Spread,
        delay_s: float,
        take: Callable[[], object],
    ) -> None:
        """Let a process take an answer in, unless it was replaced meanwhile."""

        def happen() -> None:
            if process.spread is not spread:
                return
            take()
            self._check(process)
            self._wake(process)

        self._at(delay_s, happen)

    def _check(self, process: Process) -> None:
        revision = process.spread.view.revision
        if revision < process.highest:
            raise AssertionError(f"{process} went back from {process.highest}")
        process.highest = revision

    def _carry_out(self, process: Process, spread: Spread, action: Action) -> None:
        match action:
            case ReadChanges(after):
                self._read_table(process, spread, after)
            case ReadAllFromTable():
                self._read_table(process, spread, None)
            case PullPeer(peer, have):
                self._pull(process, spread, peer, have)
            case ReadObject():
                self._read_object(process, spread)
            case WriteObject():
                if self.objects_up and not self._cut_from_stores(process):
                    self._store(spread.view.documents)
                self._answer(process, spread, 0.05, spread.object_ended)
            case Report():
                spread.fresh_words(self.now_s)
                self.reports_by_second[int(self.now_s)] += 1
                self._answer(process, spread, 0.05, spread.report_ended)

    def _read_table(
        self, process: Process, spread: Spread, after: ConfigRevision | None
    ) -> None:
        reads = 1 if after is not None else READS_OF_ALL
        process.table_reads += reads
        self.reads_by_second[int(self.now_s)] += reads
        self.whole_loads += after is None
        delay_s = self.settings.table_delay_s
        away = not self.table_up or self._cut_from_stores(process)
        if away or delay_s > _TIMEOUT_S:
            self._answer(process, spread, _TIMEOUT_S, spread.table_failed)
            return

        # What the table says is that of the middle of the call.
        def read() -> None:
            documents, changes = self.documents, tuple(self.history[after or 0 :])

            def take() -> None:
                if after is None:
                    spread.table_gave_all(documents, self.now_s)
                else:
                    spread.table_gave_changes(after, changes, self.now_s)

            self._answer(process, spread, delay_s / 2, take)

        self._at(delay_s / 2, read)

    def _pull(
        self, process: Process, spread: Spread, peer: InstanceId, have: ConfigRevision
    ) -> None:
        other = self.processes[int(peer.partition(".")[0])]
        lost = self._is_lost(process, other) or self._is_lost(other, process)
        lost = lost or other.instance_id != peer
        if lost:
            self._answer(
                process,
                spread,
                spread.settings.pull_timeout_s,
                lambda: spread.peer_failed(peer, self.now_s),
            )
            return

        def ask() -> None:
            message = other.spread.view.message_since(have)
            if message is not None:
                other.sent_bytes += len(encode_message(message))
            self._answer(
                process,
                spread,
                self._delay_s(),
                lambda: spread.peer_gave(peer, message, self.now_s),
            )

        self._at(self._delay_s(), ask)

    def _read_object(self, process: Process, spread: Spread) -> None:
        if not self.objects_up or self._cut_from_stores(process) or self.stored is None:
            self._answer(process, spread, 0.05, spread.object_ended)
            return
        message = DocumentsMessage(self.stored)
        self._answer(
            process, spread, 0.05, lambda: spread.object_gave(message, self.now_s)
        )

    def _store(self, documents: Documents) -> None:
        if self.stored is None or documents.revision > self.stored.revision:
            self.stored = documents

    def _heartbeat(self, router: Process, other: Process, interval_s: float) -> None:
        self._at(
            interval_s * self.random.uniform(0.9, 1.1),
            functools.partial(self._heartbeat, router, other, interval_s),
        )
        self._send_word(router, other)
        self._send_word(other, router)

    def _send_word(self, sender: Process, receiver: Process) -> None:
        copies = 2 if self.random.random() < self.doubling else 1
        view = sender.spread.view
        for _ in range(copies):
            if self._is_lost(sender, receiver):
                continue
            delay_s = self._delay_s()
            word = PeerWord(
                sender.instance_id,
                sender.zone,
                view.announced_revision,
                self.now_s + delay_s,
            )
            spread = receiver.spread
            self._answer(
                receiver, spread, delay_s, functools.partial(spread.heard, word)
            )

    def _cut_from_stores(self, process: Process) -> bool:
        return self.cut(-1, process.index) or self.cut(process.index, -1)

    def _is_lost(self, sender: Process, receiver: Process) -> bool:
        if self.cut(sender.index, receiver.index):
            return True
        return self.random.random() < self.loss

    def _delay_s(self) -> float:
        return self.settings.delay_s + self.random.uniform(0.0, self.extra_delay_s)
