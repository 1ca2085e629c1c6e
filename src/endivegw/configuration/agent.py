"""Task that keeps the configuration of one process up to date."""

from __future__ import annotations

import random
import time
from typing import Callable, Protocol

import anyio
import anyio.to_thread

from endivegw.configuration.codec import (
    ChangesMessage,
    ConfigMessage,
    DocumentsMessage,
    encode_message,
    parse_message,
)
from endivegw.configuration.model import Snapshot
from endivegw.configuration.objects import read_newer_object, write_object
from endivegw.configuration.reports import AdoptionReport, write_report
from endivegw.configuration.spread import (
    Action,
    PullFromPeer,
    ReadAllDocuments,
    ReadChanges,
    ReadObject,
    SyncScheduler,
    SyncSettings,
    WriteObject,
    WriteReport,
)
from endivegw.configuration.store import load_changes, load_documents
from endivegw.configuration.view import Adopted, ConfigurationView, PeerRevision
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import ObjectStorePort, TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.configuration import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_READY,
    SOURCE_FAILED,
)
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = ["ConfigurationAgent", "PeerConfigPort"]

#: Timeout of one call to the table. With a longer one, a change could not reach every
#: process within 7 s.
CALL_TIMEOUT_S = 2.0

#: Timeout of a complete load, which reads about a megabyte in pages.
LOAD_TIMEOUT_S = 10.0


class PeerConfigPort(Protocol):
    """Client for the ``Configuration`` call to another process of the fleet."""

    async def fetch(
        self, peer: InstanceId, have_revision: ConfigRevision, *, timeout_s: float
    ) -> Result[bytes]:
        """Return the peer's changes after ``have_revision``; empty if none."""


class ConfigurationAgent:
    """Execute the actions of :class:`SyncScheduler` and provide the configuration.

    :param daemon: name of this process in adoption reports.
    :param daemons: number of processes in the fleet.
    :param reports: whether this process writes adoption reports; routers do.
    """

    def __init__(
        self,
        *,
        daemon: str,
        local_zone: AvailabilityZone,
        table: TablePort,
        objects: ObjectStorePort,
        peers: PeerConfigPort,
        random_source: random.Random,
        daemons: int = 30,
        reports: bool = False,
        settings: SyncSettings = SyncSettings(),
        log: EventLog | None = None,
    ) -> None:
        self.view = ConfigurationView(local_zone)
        self.scheduler = SyncScheduler(
            self.view, random_source, settings, daemons=daemons, reports=reports
        )
        self._daemon = daemon
        self._table = table
        self._objects = objects
        self._peers = peers
        self._log = log or EventLog("configuration")
        self._names: dict[InstanceId, str] = {}
        self._newest_known = ConfigRevision(0)
        self._encoded: tuple[ConfigRevision, bytes] = (ConfigRevision(0), b"")
        self._encode_requested = False
        self._encoding = False
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._changed = anyio.Event()
        self._wake = anyio.Event()
        self._ready = anyio.Event()
        self._ready_logged = False

    @property
    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""
        return self.view.snapshot

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision for message headers; 0 until ready."""
        return self.view.announced_revision

    @property
    def ready(self) -> bool:
        """Return whether this process may serve requests."""
        return self.view.ready

    async def wait_ready(self) -> None:
        """Wait until this process may serve requests."""
        await self._ready.wait()

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Register a listener, called with each new snapshot before it is announced."""
        self._listeners.append(listener)

    async def wait_until_current(self) -> None:
        """Wait until the newest known revision is in force in this process."""
        while self.revision < self._newest_known:
            await self._changed.wait()

    def on_peer_revision(
        self,
        peer: InstanceId,
        availability_zone: AvailabilityZone,
        revision: ConfigRevision,
        *,
        name: str | None = None,
    ) -> None:
        """Process the header of a request or response from a peer.

        :param name: the peer's VM, which identifies it in adoption reports; its
            instance id if None.
        """
        now_s = anyio.current_time()
        self._newest_known = max(self._newest_known, revision)
        self.scheduler.on_peer_revision(
            PeerRevision(peer, availability_zone, revision, now_s)
        )
        if self.scheduler.reports:
            self._names[peer] = name or str(peer)
        self._announce_ready("peers")
        if self.scheduler.next_due_s() <= now_s + self.scheduler.settings.pull_jitter_s:
            self._wake.set()

    def on_revision(self, revision: ConfigRevision) -> None:
        """Record a revision reported by a sender that cannot be queried for it."""
        self._newest_known = max(self._newest_known, revision)
        if self.scheduler.on_revision_hint(revision, anyio.current_time()):
            self._wake.set()

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return what a peer at a revision is missing; empty if nothing.

        Encoding the complete configuration takes 0.1 s at the intended size. It is
        encoded in a worker thread, once per revision. A peer that requests it before
        it is encoded gets an empty response and retries after the next heartbeat.
        """
        message = self.view.message_since(revision)
        if message is None:
            return b""
        if isinstance(message, ChangesMessage):
            return encode_message(message)
        if self._encoded[0] == self.view.revision:
            return self._encoded[1]
        self._encode_requested = True
        self._wake.set()
        return b""

    async def run(self) -> None:
        """Execute scheduled actions until cancelled."""
        self.scheduler.start(anyio.current_time())
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake = anyio.Event()
                for action in self.scheduler.due(anyio.current_time()):
                    tasks.start_soon(self._execute, action)
                if self._encode_requested and not self._encoding:
                    self._encoding = True
                    tasks.start_soon(self._encode_documents)
                wait_s = self.scheduler.next_due_s() - anyio.current_time()
                with anyio.move_on_after(max(0.0, wait_s)):
                    await self._wake.wait()

    async def _encode_documents(self) -> None:
        documents = self.view.documents
        message = DocumentsMessage(documents)
        body = await anyio.to_thread.run_sync(encode_message, message)
        self._encoded = (documents.revision, body)
        self._encode_requested = False
        self._encoding = False

    async def _execute(self, action: Action) -> None:
        match action:
            case ReadChanges(after):
                await self._read_changes(after)
            case ReadAllDocuments():
                await self._read_all()
            case PullFromPeer(peer, have):
                await self._pull(peer, have)
            case ReadObject():
                await self._read_object()
            case WriteObject():
                await self._write_object()
            case WriteReport():
                await self._write_report()
        # The result of the action may have changed when the next action is due.
        self._wake.set()

    async def _read_changes(self, after: ConfigRevision) -> None:
        result = await load_changes(self._table, after, timeout_s=CALL_TIMEOUT_S)
        now_s = anyio.current_time()
        match result:
            case Done(changes):
                adopted = self.scheduler.on_table_changes(after, changes, now_s)
                self._on_adopted(adopted, "table")
            case Refused(Reason.NOT_FOUND):
                self.scheduler.on_table_history_gap(now_s)
            case failure:
                self.scheduler.on_table_failure()
                self._log_failure("table", failure.reason)

    async def _read_all(self) -> None:
        result = await load_documents(self._table, timeout_s=LOAD_TIMEOUT_S)
        match result:
            case Done(documents):
                now_s = anyio.current_time()
                self._on_adopted(
                    self.scheduler.on_table_documents(documents, now_s), "table"
                )
            case failure:
                self.scheduler.on_table_failure()
                self._log_failure("table", failure.reason)

    async def _pull(self, peer: InstanceId, have: ConfigRevision) -> None:
        timeout_s = self.scheduler.settings.pull_timeout_s
        result = await self._peers.fetch(peer, have, timeout_s=timeout_s)
        parsed = await _parse_response(result)
        now_s = anyio.current_time()
        match parsed:
            case Done(message):
                self._on_adopted(
                    self.scheduler.on_peer_message(peer, message, now_s), "peer"
                )
            case failure:
                self.scheduler.on_peer_failure(peer, now_s)
                self._log_failure(f"peer {peer}", failure.reason)

    async def _read_object(self) -> None:
        result = await read_newer_object(
            self._objects, self.view.revision, timeout_s=CALL_TIMEOUT_S
        )
        match result:
            case Done(message):
                now_s = anyio.current_time()
                self._on_adopted(
                    self.scheduler.on_object_message(message, now_s), "object store"
                )
            case failure:
                self.scheduler.on_object_done()
                self._log_failure("object store", failure.reason)

    async def _write_object(self) -> None:
        result = await write_object(
            self._objects, self.view.documents, timeout_s=LOAD_TIMEOUT_S
        )
        self.scheduler.on_object_done()
        if not isinstance(result, Done):
            self._log_failure("object store", result.reason)

    async def _write_report(self) -> None:
        received = self.scheduler.recent_peer_revisions(anyio.current_time())
        revisions = {self._names[entry.peer]: entry.revision for entry in received}
        self._names = {entry.peer: self._names[entry.peer] for entry in received}
        report = AdoptionReport(
            self._daemon, self.view.announced_revision, time.time(), revisions
        )
        result = await write_report(self._table, report, timeout_s=CALL_TIMEOUT_S)
        self.scheduler.on_report_done()
        if not isinstance(result, Done):
            self._log_failure("table", result.reason)

    def _on_adopted(self, adopted: Adopted | None, source: str) -> None:
        if adopted is not None:
            for listener in self._listeners:
                listener(self.view.snapshot)
            self._log.emit(
                CONFIGURATION_ADOPTED,
                before=adopted.before,
                revision=adopted.revision,
                source=source,
            )
        self._announce_ready(source)
        self._changed.set()
        self._changed = anyio.Event()

    def _announce_ready(self, source: str) -> None:
        if self.view.ready and not self._ready_logged:
            self._ready_logged = True
            self._ready.set()
            self._log.emit(
                CONFIGURATION_READY, revision=self.view.revision, source=source
            )

    def _log_failure(self, source: str, reason: Reason) -> None:
        self._log.emit(SOURCE_FAILED, source=source, reason=reason.value)


async def _parse_response(result: Result[bytes]) -> Result[ConfigMessage | None]:
    match result:
        case Done(b""):
            return Done(None)
        case Done(body):
            parsed = await anyio.to_thread.run_sync(parse_message, body)
        case failure:
            return failure
    match parsed:
        case Done(message):
            return Done(message)
        case refused:
            return refused
