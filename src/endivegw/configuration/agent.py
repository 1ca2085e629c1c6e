"""The task that keeps one process's configuration the newest it can reach."""

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
    PullPeer,
    ReadAllFromTable,
    ReadChanges,
    ReadObject,
    Report,
    Spread,
    SpreadSettings,
    WriteObject,
)
from endivegw.configuration.store import load_changes, load_documents
from endivegw.configuration.view import Adopted, ConfigurationView, PeerWord
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

#: For one call of the table: longer, and 7 s could not be kept.
CALL_TIMEOUT_S = 2.0

#: For a whole load: a megabyte in pages.
LOAD_TIMEOUT_S = 10.0


class PeerConfigPort(Protocol):
    """The ``Configuration`` call to another process of the fleet."""

    async def fetch(
        self, peer: InstanceId, have_revision: ConfigRevision, *, timeout_s: float
    ) -> Result[bytes]:
        """Return what the peer has beyond ``have_revision``; empty for nothing."""


class ConfigurationAgent:
    """Carry out what :class:`Spread` decides, and serve the result.

    :param daemon: the name under which operators know this process.
    :param reports: whether this process writes reports; routers do.
    """

    def __init__(
        self,
        *,
        daemon: str,
        own_zone: AvailabilityZone,
        table: TablePort,
        objects: ObjectStorePort,
        peers: PeerConfigPort,
        random_source: random.Random,
        daemons: int = 30,
        reports: bool = False,
        settings: SpreadSettings = SpreadSettings(),
        log: EventLog | None = None,
    ) -> None:
        self.view = ConfigurationView(own_zone)
        self.spread = Spread(
            self.view, random_source, settings, daemons=daemons, reports=reports
        )
        self._daemon = daemon
        self._table = table
        self._objects = objects
        self._peers = peers
        self._log = log or EventLog("configuration")
        self._names: dict[InstanceId, str] = {}
        self._newest_heard = ConfigRevision(0)
        self._packed: tuple[ConfigRevision, bytes] = (ConfigRevision(0), b"")
        self._pack_wanted = False
        self._packing = False
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._changed = anyio.Event()
        self._wake = anyio.Event()
        self._ready = anyio.Event()
        self._ready_logged = False

    @property
    def snapshot(self) -> Snapshot:
        """Return the configuration that decisions go by."""
        return self.view.snapshot

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision for the header of each message; 0 until ready."""
        return self.view.announced_revision

    @property
    def ready(self) -> bool:
        """Return whether this process may serve."""
        return self.view.ready

    async def wait_ready(self) -> None:
        """Wait until this process may serve."""
        await self._ready.wait()

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Call a listener with each newer snapshot, before it is announced."""
        self._listeners.append(listener)

    async def wait_until_current(self) -> None:
        """Wait until the newest revision that was heard of is in force here."""
        while self.revision < self._newest_heard:
            await self._changed.wait()

    def heard_peer(
        self,
        peer: InstanceId,
        availability_zone: AvailabilityZone,
        revision: ConfigRevision,
        *,
        name: str | None = None,
    ) -> None:
        """Take in the header of a message, request or reply.

        :param name: the peer's VM, by which operators know it; its instance
            id where the caller knows none.
        """
        now_s = anyio.current_time()
        self._newest_heard = max(self._newest_heard, revision)
        self.spread.heard(PeerWord(peer, availability_zone, revision, now_s))
        if self.spread.reports:
            self._names[peer] = name or str(peer)
        self._note_ready("peers")
        if self.spread.next_due_s() <= now_s + self.spread.settings.pull_jitter_s:
            self._wake.set()

    def heard(self, revision: ConfigRevision) -> None:
        """Learn of a revision from a sender that cannot be asked for it."""
        self._newest_heard = max(self._newest_heard, revision)
        if self.spread.heard_of(revision, anyio.current_time()):
            self._wake.set()

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return what a peer at a revision lacks; empty where it lacks nothing.

        The whole configuration takes a tenth of a second to pack at the target
        size. It is packed beside the event loop and once for a revision; a
        peer that asks before it is packed gets nothing, and asks again after
        the next heartbeat.
        """
        message = self.view.message_since(revision)
        if message is None:
            return b""
        if isinstance(message, ChangesMessage):
            return encode_message(message)
        if self._packed[0] == self.view.revision:
            return self._packed[1]
        self._pack_wanted = True
        self._wake.set()
        return b""

    async def run(self) -> None:
        """Keep asking until cancelled."""
        self.spread.start(anyio.current_time())
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake = anyio.Event()
                for action in self.spread.due(anyio.current_time()):
                    tasks.start_soon(self._carry_out, action)
                if self._pack_wanted and not self._packing:
                    self._packing = True
                    tasks.start_soon(self._pack)
                wait_s = self.spread.next_due_s() - anyio.current_time()
                with anyio.move_on_after(max(0.0, wait_s)):
                    await self._wake.wait()

    async def _pack(self) -> None:
        documents = self.view.documents
        message = DocumentsMessage(documents)
        body = await anyio.to_thread.run_sync(encode_message, message)
        self._packed = (documents.revision, body)
        self._pack_wanted = False
        self._packing = False

    async def _carry_out(self, action: Action) -> None:
        match action:
            case ReadChanges(after):
                await self._read_changes(after)
            case ReadAllFromTable():
                await self._read_all()
            case PullPeer(peer, have):
                await self._pull(peer, have)
            case ReadObject():
                await self._read_object()
            case WriteObject():
                await self._write_object()
            case Report():
                await self._report()
        # What ended may have moved the time of what comes next.
        self._wake.set()

    async def _read_changes(self, after: ConfigRevision) -> None:
        result = await load_changes(self._table, after, timeout_s=CALL_TIMEOUT_S)
        now_s = anyio.current_time()
        match result:
            case Done(changes):
                adopted = self.spread.table_gave_changes(after, changes, now_s)
                self._adopted(adopted, "table")
            case Refused(Reason.NOT_FOUND):
                self.spread.table_lacks_changes(now_s)
            case failure:
                self.spread.table_failed()
                self._failed("table", failure.reason)

    async def _read_all(self) -> None:
        result = await load_documents(self._table, timeout_s=LOAD_TIMEOUT_S)
        match result:
            case Done(documents):
                now_s = anyio.current_time()
                self._adopted(self.spread.table_gave_all(documents, now_s), "table")
            case failure:
                self.spread.table_failed()
                self._failed("table", failure.reason)

    async def _pull(self, peer: InstanceId, have: ConfigRevision) -> None:
        timeout_s = self.spread.settings.pull_timeout_s
        result = await self._peers.fetch(peer, have, timeout_s=timeout_s)
        parsed = await _parsed(result)
        now_s = anyio.current_time()
        match parsed:
            case Done(message):
                self._adopted(self.spread.peer_gave(peer, message, now_s), "peer")
            case failure:
                self.spread.peer_failed(peer, now_s)
                self._failed(f"peer {peer}", failure.reason)

    async def _read_object(self) -> None:
        result = await read_newer_object(
            self._objects, self.view.revision, timeout_s=CALL_TIMEOUT_S
        )
        match result:
            case Done(message):
                now_s = anyio.current_time()
                self._adopted(self.spread.object_gave(message, now_s), "object store")
            case failure:
                self.spread.object_ended()
                self._failed("object store", failure.reason)

    async def _write_object(self) -> None:
        result = await write_object(
            self._objects, self.view.documents, timeout_s=LOAD_TIMEOUT_S
        )
        self.spread.object_ended()
        if not isinstance(result, Done):
            self._failed("object store", result.reason)

    async def _report(self) -> None:
        words = self.spread.fresh_words(anyio.current_time())
        heard = {self._names[word.peer]: word.revision for word in words}
        self._names = {word.peer: self._names[word.peer] for word in words}
        report = AdoptionReport(
            self._daemon, self.view.announced_revision, time.time(), heard
        )
        result = await write_report(self._table, report, timeout_s=CALL_TIMEOUT_S)
        self.spread.report_ended()
        if not isinstance(result, Done):
            self._failed("table", result.reason)

    def _adopted(self, adopted: Adopted | None, source: str) -> None:
        if adopted is not None:
            for listener in self._listeners:
                listener(self.view.snapshot)
            self._log.emit(
                CONFIGURATION_ADOPTED,
                before=adopted.before,
                revision=adopted.revision,
                source=source,
            )
        self._note_ready(source)
        self._changed.set()
        self._changed = anyio.Event()

    def _note_ready(self, source: str) -> None:
        if self.view.ready and not self._ready_logged:
            self._ready_logged = True
            self._ready.set()
            self._log.emit(
                CONFIGURATION_READY, revision=self.view.revision, source=source
            )

    def _failed(self, source: str, reason: Reason) -> None:
        self._log.emit(SOURCE_FAILED, source=source, reason=reason.value)


async def _parsed(result: Result[bytes]) -> Result[ConfigMessage | None]:
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
