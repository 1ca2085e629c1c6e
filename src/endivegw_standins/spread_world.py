"""Simulation of configuration propagation between processes, in virtual time.

Each process runs the product's own view and scheduler. This module replaces the
agents that execute their actions, the table, the object store and the heartbeats,
which can be slow, lossy, duplicated, partitioned or unavailable. It uses no sockets.
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
    PullFromPeer,
    ReadAllDocuments,
    ReadChanges,
    ReadObject,
    SyncScheduler,
    WriteObject,
    WriteReport,
)
from endivegw.configuration.view import ConfigurationView, PeerRevision
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = ["Process", "READS_PER_FULL_LOAD", "SimulationSettings", "SyncSimulation"]

_TIMEOUT_S = 2.0

#: Reads for a complete load: the revision, three kinds of documents and the changes.
READS_PER_FULL_LOAD = 5


@frozen
class SimulationSettings:
    """Hold the size of the simulated fleet and its network parameters.

    :param routers_per_sidecar: number of routers that send heartbeats to one sidecar.
    :param router_partners: number of routers that send heartbeats to one router.
    """

    routers: int
    sidecars: int
    zones: int = 3
    routers_per_sidecar: int = 4
    heartbeat_s: float = 1.0
    router_partners: int = 4
    router_heartbeat_s: float = 1.0
    delay_s: float = 0.003
    table_delay_s: float = 0.01


@define
class Process:
    """Hold one process: its position in the fleet and its current incarnation."""

    index: int
    zone: AvailabilityZone
    router: bool
    scheduler: SyncScheduler
    incarnation: int = 0
    wake_at_s: float = float("inf")
    table_reads: int = 0
    sent_bytes: int = 0
    highest_revision: ConfigRevision = ConfigRevision(0)

    @property
    def instance_id(self) -> InstanceId:
        """Return the id of the current incarnation."""
        return InstanceId(f"{self.index}.{self.incarnation}")


@define
class SyncSimulation:
    """Simulate the processes of a fleet in virtual time.

    :ivar loss: share of messages between processes that are lost.
    :ivar duplication: share of messages that are delivered twice.
    :ivar extra_delay_s: longest random delay of a message, in seconds.
    :ivar table_up: whether the table is available.
    :ivar objects_up: whether the object store is available.
    :ivar partitioned: returns whether messages from one process do not reach another;
        the table and the object store have the index -1.
    :ivar stored: the copy in the object store.
    :ivar reads_by_second: number of table reads in each second.
    :ivar reports_by_second: number of report writes in each second.
    :ivar full_loads: number of complete loads from the table.
    """

    settings: SimulationSettings
    random: random.Random
    now_s: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_s: float = 0.0
    table_up: bool = True
    objects_up: bool = True
    partitioned: Callable[[int, int], bool] = lambda one, other: False
    documents: Documents = EMPTY_DOCUMENTS
    history: list[Change] = field(factory=list)
    stored: Documents | None = None
    processes: list[Process] = field(factory=list)
    reads_by_second: Counter[int] = field(factory=Counter)
    reports_by_second: Counter[int] = field(factory=Counter)
    full_loads: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        total = self.settings.routers + self.settings.sidecars
        for index in range(total):
            zone = AvailabilityZone(f"zone-{index % self.settings.zones}")
            router = index < self.settings.routers
            scheduler = self._new_scheduler(zone, router)
            self.processes.append(Process(index, zone, router, scheduler))
        for process in self.processes:
            self._start(process)
        routers = self.processes[: self.settings.routers]
        for process in self.processes:
            others = [router for router in routers if router is not process]
            sender_count, interval_s = (
                self.settings.routers_per_sidecar,
                self.settings.heartbeat_s,
            )
            if process.router:
                sender_count = self.settings.router_partners
                interval_s = self.settings.router_heartbeat_s
            for sender in self.random.sample(others, min(len(others), sender_count)):
                heartbeat = functools.partial(
                    self._heartbeat, sender, process, interval_s
                )
                self._schedule(self.random.uniform(0, interval_s), heartbeat)

    def run_until(self, end_s: float) -> None:
        """Advance virtual time to ``end_s`` and run the events until then."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = end_s

    def commit(self, name: str, weight: float) -> Change:
        """Commit one change to the table."""
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
        """Replace a process by a new one without any configuration."""
        process.incarnation += 1
        process.highest_revision = ConfigRevision(0)
        process.scheduler = self._new_scheduler(process.zone, process.router)
        self._start(process)

    def count_serving(self, revision: int) -> int:
        """Return the number of processes that serve with at least a revision."""
        return sum(
            1
            for process in self.processes
            if process.scheduler.view.announced_revision >= revision
        )

    def _new_scheduler(self, zone: AvailabilityZone, router: bool) -> SyncScheduler:
        total = self.settings.routers + self.settings.sidecars
        view = ConfigurationView(zone)
        scheduler = SyncScheduler(
            view, random.Random(self.random.random()), daemons=total, reports=router
        )
        per_zone = {
            AvailabilityZone(f"zone-{number}"): len(
                range(number, total, self.settings.zones)
            )
            for number in range(self.settings.zones)
        }
        per_zone[zone] -= 1
        view.update_fleet_size(per_zone)
        return scheduler

    def _start(self, process: Process) -> None:
        process.scheduler.start(self.now_s)
        process.wake_at_s = float("inf")
        self._schedule_wake(process)

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, callback))

    def _schedule_wake(self, process: Process) -> None:
        due_s = max(self.now_s, process.scheduler.next_due_s())
        if due_s >= process.wake_at_s:
            return
        process.wake_at_s = due_s
        scheduler = process.scheduler

        def callback() -> None:
            if process.scheduler is not scheduler or process.wake_at_s != due_s:
                return
            process.wake_at_s = float("inf")
            for action in scheduler.due(self.now_s):
                self._execute(process, scheduler, action)
            self._schedule_wake(process)

        self._schedule(due_s - self.now_s, callback)

    def _deliver(
        self,
        process: Process,
        scheduler: SyncScheduler,
        delay_s: float,
        apply: Callable[[], object],
    ) -> None:
        """Deliver a response to a process unless the process has been replaced."""

        def callback() -> None:
            if process.scheduler is not scheduler:
                return
            apply()
            self._check_revision(process)
            self._schedule_wake(process)

        self._schedule(delay_s, callback)

    def _check_revision(self, process: Process) -> None:
        revision = process.scheduler.view.revision
        if revision < process.highest_revision:
            raise AssertionError(
                f"{process} decreased its revision from {process.highest_revision}"
            )
        process.highest_revision = revision

    def _execute(
        self, process: Process, scheduler: SyncScheduler, action: Action
    ) -> None:
        match action:
            case ReadChanges(after):
                self._read_table(process, scheduler, after)
            case ReadAllDocuments():
                self._read_table(process, scheduler, None)
            case PullFromPeer(peer, have):
                self._pull(process, scheduler, peer, have)
            case ReadObject():
                self._read_object(process, scheduler)
            case WriteObject():
                if self.objects_up and not self._is_partitioned_from_stores(process):
                    self._write_object(scheduler.view.documents)
                self._deliver(process, scheduler, 0.05, scheduler.on_object_done)
            case WriteReport():
                scheduler.recent_peer_revisions(self.now_s)
                self.reports_by_second[int(self.now_s)] += 1
                self._deliver(process, scheduler, 0.05, scheduler.on_report_done)

    def _read_table(
        self, process: Process, scheduler: SyncScheduler, after: ConfigRevision | None
    ) -> None:
        reads = 1 if after is not None else READS_PER_FULL_LOAD
        process.table_reads += reads
        self.reads_by_second[int(self.now_s)] += reads
        self.full_loads += after is None
        delay_s = self.settings.table_delay_s
        unavailable = not self.table_up or self._is_partitioned_from_stores(process)
        if unavailable or delay_s > _TIMEOUT_S:
            self._deliver(process, scheduler, _TIMEOUT_S, scheduler.on_table_failure)
            return

        # The response contains the state of the table in the middle of the call.
        def read() -> None:
            documents, changes = self.documents, tuple(self.history[after or 0 :])

            def apply() -> None:
                if after is None:
                    scheduler.on_table_documents(documents, self.now_s)
                else:
                    scheduler.on_table_changes(after, changes, self.now_s)

            self._deliver(process, scheduler, delay_s / 2, apply)

        self._schedule(delay_s / 2, read)

    def _pull(
        self,
        process: Process,
        scheduler: SyncScheduler,
        peer: InstanceId,
        have: ConfigRevision,
    ) -> None:
        other = self.processes[int(peer.partition(".")[0])]
        lost = self._is_lost(process, other) or self._is_lost(other, process)
        lost = lost or other.instance_id != peer
        if lost:
            self._deliver(
                process,
                scheduler,
                scheduler.settings.pull_timeout_s,
                lambda: scheduler.on_peer_failure(peer, self.now_s),
            )
            return

        def respond() -> None:
            message = other.scheduler.view.message_since(have)
            if message is not None:
                other.sent_bytes += len(encode_message(message))
            self._deliver(
                process,
                scheduler,
                self._delay_s(),
                lambda: scheduler.on_peer_message(peer, message, self.now_s),
            )

        self._schedule(self._delay_s(), respond)

    def _read_object(self, process: Process, scheduler: SyncScheduler) -> None:
        if (
            not self.objects_up
            or self._is_partitioned_from_stores(process)
            or self.stored is None
        ):
            self._deliver(process, scheduler, 0.05, scheduler.on_object_done)
            return
        message = DocumentsMessage(self.stored)
        self._deliver(
            process,
            scheduler,
            0.05,
            lambda: scheduler.on_object_message(message, self.now_s),
        )

    def _write_object(self, documents: Documents) -> None:
        if self.stored is None or documents.revision > self.stored.revision:
            self.stored = documents

    def _heartbeat(self, router: Process, other: Process, interval_s: float) -> None:
        self._schedule(
            interval_s * self.random.uniform(0.9, 1.1),
            functools.partial(self._heartbeat, router, other, interval_s),
        )
        self._send_header(router, other)
        self._send_header(other, router)

    def _send_header(self, sender: Process, receiver: Process) -> None:
        copies = 2 if self.random.random() < self.duplication else 1
        view = sender.scheduler.view
        for _ in range(copies):
            if self._is_lost(sender, receiver):
                continue
            delay_s = self._delay_s()
            received = PeerRevision(
                sender.instance_id,
                sender.zone,
                view.announced_revision,
                self.now_s + delay_s,
            )
            scheduler = receiver.scheduler
            self._deliver(
                receiver,
                scheduler,
                delay_s,
                functools.partial(scheduler.on_peer_revision, received),
            )

    def _is_partitioned_from_stores(self, process: Process) -> bool:
        return self.partitioned(-1, process.index) or self.partitioned(
            process.index, -1
        )

    def _is_lost(self, sender: Process, receiver: Process) -> bool:
        if self.partitioned(sender.index, receiver.index):
            return True
        return self.random.random() < self.loss

    def _delay_s(self) -> float:
        return self.settings.delay_s + self.random.uniform(0.0, self.extra_delay_s)
