"""Know which software version began a stream, at this router or at another."""

from __future__ import annotations

from functools import partial
from itertools import chain, islice
from typing import Awaitable, Callable, Iterable, Mapping, Protocol

import anyio
from attrs import frozen

from endivegw.results import Done, Reason, Refused
from endivegw.services.row_store import (
    Conflict,
    ExpectedRow,
    NewRow,
    RowsPort,
    StoredRow,
)
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.streams.history import VersionHistory, VersionSeen
from endivegw.streams.records import StreamKey, StreamRecord, StreamRecords, stream_key
from endivegw.streams.registry_check import RegistryCheck
from endivegw.streams.rows import VERSIONS_TABLE, decode_versions, encode_versions
from endivegw.streams.saver import RecordSaver
from endivegw.streams.version_poll import SoleVersion, VersionPoll
from endivegw.supervision import contain
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import ClientAccountName

__all__ = ["StreamOrigin", "StreamPeers", "StreamVersions"]

#: Time for which callers may resume a stream; the tries of one caller take less.
_RETENTION_S = 60.0

#: Time for which a record is saved after the stream's first event, and the maximum
#: number of records of one row, which then takes some 30 KB.
_SAVED_S = 20.0
_MAX_SAVED = 1500

#: Retry-after in seconds of a resumption whose version is not known. A router that
#: holds the record may respond again by then.
_UNKNOWN_RETRY_S = 0.5

#: Interval and timeout of calls to the store.
_RETRY_S = 0.5
_TIMEOUT_S = 1.0

#: Timeout of the calls of a check, a hundred times the usual time of an answer, and
#: the maximum wait for a check that begins when another one has ended.
_CHECK_TIMEOUT_S = 0.4
_MAX_CHECK_S = 2 * _CHECK_TIMEOUT_S

#: Number of consecutive write conflicts on one row before the write is postponed.
_MAX_CONFLICTS = 5


@frozen
class StreamOrigin:
    """Hold the software version that began a stream.

    :param source: how it is known: ``record`` (kept here) or ``peer`` (kept there);
        otherwise the only one, as confirmed by the store here (``registry``), by the
        store at a peer (``peer-registry``), or by peers in an outage (``agreement``).
    """

    software_version: str
    source: str


class StreamPeers(Protocol):
    """The other routers, some of which keep the records of streams."""

    def keep(self, records: Iterable[StreamRecord]) -> None:
        """Send records to the routers that keep them."""

    async def find(self, key: StreamKey) -> str | None:
        """Ask the routers that keep a record; None if none of them has it."""

    async def poll_sole(self, service: str) -> VersionPoll:
        """Ask a few routers for the only version of a service."""

    def broadcast(self, seen: VersionSeen) -> None:
        """Tell all routers of a version."""

    def is_writer(self, key: str) -> bool:
        """Return whether this router is among the few that write a row."""


class StreamVersions:
    """Decide at which software version a stream may go on.

    What targets of two versions write does not fit together. While a service has one
    version, nothing is sent or stored about its streams. Else the version of each
    stream is sent to few routers when its first event is relayed, since its own router
    may die and its caller continue at another one.

    That a service has one version is not concluded from what was heard of until now.
    Where no record of a stream is found, the store is asked, or a router that reaches
    it. Where the store answers none of those that are asked, most of them must agree.

    :param vm: name of this router's vm, whose row it writes.
    :param read_registry: reads the registered targets up to a moment after the call,
        within a time; returns whether it succeeded.
    :param unavailable_s: returns for how long the registry of targets has not answered.
    """

    def __init__(
        self,
        store: RowsPort,
        vm: str,
        peers: StreamPeers,
        read_registry: Callable[[float], Awaitable[bool]],
        unavailable_s: Callable[[], float],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._store = store
        self._peers = peers
        self._read_registry = read_registry
        self._unavailable_s = unavailable_s
        self._clock = clock
        self._log = log
        self._unreadable = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)
        self.history = VersionHistory(_RETENTION_S)
        #: Records that this router keeps for others.
        self._kept = StreamRecords(_RETENTION_S)
        self._own = StreamRecords(_RETENTION_S)
        self._saver = RecordSaver(store, vm, self._unsafe_records, self.keep, log)
        #: Whether the versions in the store were read; a version that is gone by now
        #: may have begun streams before this router started.
        self._loaded = False
        self._check = RegistryCheck(self._read_versions)
        self._changed: set[str] = set()
        self._wake = anyio.Event()

    # Streams.

    def begin(
        self,
        account: ClientAccountName | None,
        attempt_id: str,
        service: str,
        software_version: str,
    ) -> None:
        """Record that the first event of a stream is relayed."""
        key = stream_key(account, attempt_id)
        record = StreamRecord(key, service, software_version)
        self._own.add(record, self._clock())
        is_out_of_step = not self._loaded or self._unavailable_s() > 0.0
        if is_out_of_step or self._several(service):
            self._peers.keep([record])

    def keep(self, records: Iterable[StreamRecord]) -> None:
        """Keep records for other routers."""
        now_s = self._clock()
        for record in records:
            self._kept.add(record, now_s)

    def find(self, key: StreamKey) -> str | None:
        """Return the version that began a stream, None if it is unknown here."""
        now_s = self._clock()
        record = self._own.find(key, now_s) or self._kept.find(key, now_s)
        return None if record is None else record.software_version

    def end(self, account: ClientAccountName | None, attempt_id: str) -> None:
        """Record that a caller has got all of its stream."""
        self._own.discard(stream_key(account, attempt_id))

    async def version_of(
        self, account: ClientAccountName | None, attempt_id: str | None, service: str
    ) -> StreamOrigin | Refused:
        """Return the version that began a stream, or why it must not go on.

        :param attempt_id: id of the attempt that began it; None if not stated.
        """
        if attempt_id is not None:
            key = stream_key(account, attempt_id)
            known = self.find(key)
            if known is not None:
                return StreamOrigin(known, "record")
        sole = await self.sole_version(service)
        if sole.is_confirmed and sole.software_version is not None:
            return StreamOrigin(sole.software_version, "registry")
        may_be_sole = not sole.is_confirmed and not self._several(service)
        origins = await self._ask_peers(
            None if attempt_id is None else key, service if may_be_sole else None
        )
        if origins:
            return origins[0]
        return Refused(
            Reason.UNKNOWN_STREAM,
            "several software versions may serve, and no router that responds knows"
            " which one began the stream",
            _UNKNOWN_RETRY_S,
        )

    async def sole_version(self, service: str) -> SoleVersion:
        """Return the only version of a service, confirmed by the store if it answers.

        A confirmed one holds for streams that began before this call.
        """
        is_confirmed = False
        if not self._several(service) and self._unavailable_s() <= 0.0:
            is_confirmed = await self._check.confirm(_MAX_CHECK_S)
        if not self._loaded:
            return SoleVersion(None)
        version = self.history.sole_version(service, self._clock())
        return SoleVersion(version, is_confirmed)

    async def _ask_peers(
        self, key: StreamKey | None, service: str | None
    ) -> list[StreamOrigin]:
        """Ask peers for the record of a stream and for the only version of its service.

        Both at once, as a router that is cut off gets no answers.

        :param key: None if the stream is not stated.
        :param service: None if the service has several versions.
        :returns: what was found, a record first.
        """
        records: list[StreamOrigin] = []
        versions: list[StreamOrigin] = []

        async def find_record(key: StreamKey) -> None:
            version = await self._peers.find(key)
            if version is not None:
                records.append(StreamOrigin(version, "peer"))
                tasks.cancel_scope.cancel()

        async def find_sole(service: str) -> None:
            origin = await self._poll_peers(service)
            if origin is not None:
                versions.append(origin)

        async with anyio.create_task_group() as tasks:
            if key is not None:
                tasks.start_soon(find_record, key)
            if service is not None:
                tasks.start_soon(find_sole, service)
        return records + versions

    async def _poll_peers(self, service: str) -> StreamOrigin | None:
        """Return the only version of a service as peers confirm it, or None."""
        poll = await self._peers.poll_sole(service)
        confirmed = poll.confirmed()
        if confirmed is not None:
            return StreamOrigin(confirmed, "peer-registry")
        own = self.history.sole_version(service, self._clock())
        if own is not None and self._loaded and poll.agrees(own):
            return StreamOrigin(own, "agreement")
        return None

    # Versions.

    def register(self, registered: Mapping[str, Iterable[str]]) -> None:
        """Apply the versions of all registered targets, by service."""
        now_s = self._clock()
        for service in {*registered, *self.history.services()}:
            before = self._several(service)
            versions = frozenset(registered.get(service, ()))
            new = self.history.register(service, versions, now_s)
            if new is None:
                continue
            if self._several(service):
                for version in new:
                    self._peers.broadcast(VersionSeen(service, version))
            self._on_versions(service, before)

    def receive(self, seen: VersionSeen) -> None:
        """Apply another router's report of a version; forward it if it is new."""
        before = self._several(seen.service)
        if self.history.record(seen, self._clock()):
            self._peers.broadcast(seen)
            self._on_versions(seen.service, before)

    def _on_versions(self, service: str, several_before: bool) -> None:
        """Send the records of streams that began while there was one version.

        The versions are also stored while there is one: it may be gone when the next
        routers start.
        """
        if self._several(service) and not several_before:
            versions = sorted(self.history.versions(service, self._clock()))
            self._log.emit(
                events.SEVERAL_VERSIONS, service=service, software_versions=versions
            )
            self._peers.keep(self._own.of_service(service))
        self._changed.add(service)
        self._wake.set()

    def _several(self, service: str) -> bool:
        return len(self.history.versions(service, self._clock())) > 1

    def _unsafe_records(self) -> list[StreamRecord]:
        """Return the records that the loss of all routers would lose."""
        services = set(filter(self._several, self.history.services()))
        if not services:
            return []
        after_s = self._clock() - _SAVED_S
        held = chain(self._own.latest(after_s), self._kept.latest(after_s))
        found = (record for record in held if record.service in services)
        return list(islice(found, _MAX_SAVED))

    # Rows of the store.

    async def run(self) -> None:
        """Read the rows once, then write those that change, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._saver.run)
            tasks.start_soon(self._check.run)
            await self._run_versions()

    async def _run_versions(self) -> None:
        while not await self._load(_TIMEOUT_S):
            await anyio.sleep(_RETRY_S)
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._changed:
                changed, self._changed = self._changed, set()
                written = [await self._write(service) for service in sorted(changed)]
                if not all(written):
                    await anyio.sleep(_RETRY_S)

    async def _read_versions(self) -> bool:
        """Read all versions up to a moment after this call; return whether it did.

        The rows name versions that came and went unnoticed.
        """
        succeeded: list[bool] = []

        async def read_registry() -> None:
            succeeded.append(await self._read_registry(_CHECK_TIMEOUT_S))

        async def read_rows() -> None:
            succeeded.append(await self._load(_CHECK_TIMEOUT_S))

        with anyio.move_on_after(_CHECK_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_registry)
                tasks.start_soon(read_rows)
        return succeeded == [True, True]

    async def _load(self, timeout_s: float) -> bool:
        result = await self._store.list_rows(VERSIONS_TABLE, timeout_s=timeout_s)
        if not isinstance(result, Done):
            return False
        self._loaded = True
        apply_row = partial(self._apply_row, now_ms=result.value.timestamp.now_ms)
        for row in result.value.rows:
            contain(self._log, "streams", apply_row, row, row.key)
        return True

    def _apply_row(self, row: StoredRow, now_ms: int) -> None:
        try:
            versions = decode_versions(row.value)
        except ValueError as error:
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        now_s = self._clock()
        before = self._several(row.key)
        for version, last_ms in versions.items():
            # A version that was registered when the row was written may have been
            # until just now.
            age_s = 0.0 if last_ms is None else max(0, now_ms - last_ms) / 1000.0
            if age_s < _RETENTION_S:
                self.history.record(VersionSeen(row.key, version), now_s - age_s)
        stored = {version for version, last_ms in versions.items() if last_ms is None}
        known = self.history.versions(row.key, now_s)
        if stored != {version for version, last_s in known.items() if last_s is None}:
            self._on_versions(row.key, before)

    async def _write(self, service: str) -> bool:
        """Write a service's versions; return False if it must be tried again."""
        if not self._peers.is_writer(service):
            return True
        for _ in range(_MAX_CONFLICTS):
            read = await self._store.list_rows(VERSIONS_TABLE, timeout_s=_TIMEOUT_S)
            if not isinstance(read, Done):
                break
            rows = {row.key: row for row in read.value.rows}
            row = rows.get(service)
            value = self._row_value(service, read.value.timestamp.now_ms)
            if row is not None and row.value == value:
                return True
            revision = row.revision if row is not None else 0
            result = await self._store.transact(
                (ExpectedRow(VERSIONS_TABLE, service, revision),),
                (NewRow(VERSIONS_TABLE, service, value),),
                timeout_s=_TIMEOUT_S,
            )
            if not isinstance(result, Conflict):
                if not isinstance(result, Done):
                    break
                return True
        self._changed.add(service)
        return False

    def _row_value(self, service: str, now_ms: int) -> bytes:
        now_s = self._clock()
        versions = self.history.versions(service, now_s)
        return encode_versions(
            {
                version: (
                    None if last_s is None else now_ms - int((now_s - last_s) * 1000)
                )
                for version, last_s in sorted(versions.items())
            }
        )
