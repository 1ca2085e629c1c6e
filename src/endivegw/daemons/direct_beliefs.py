"""What a router that calls targets itself believes, kept up to date by feeds."""

from __future__ import annotations

from itertools import islice
from typing import Callable, Protocol

from endivegw.decisions import SERVICE_PREFIX, TargetView
from endivegw.gossip import PeerEntry, PeerTable
from endivegw.relay.context import RelayContext
from endivegw.routing import (
    DirectTarget,
    FleetConfiguration,
    FleetView,
    RoutingTable,
    ServiceKind,
)
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import ClientAccountName, InstanceId, TargetName

__all__ = ["ConfigurationReader", "PeerReader", "RowDecoder", "TargetReader"]


#: Budgets that one log line names; a first version may bring tens of thousands.
_MOST_LOGGED = 50


class RowDecoder(Protocol):
    """Decode the rows of a deployment; :exc:`ValueError` where one is malformed."""

    configuration_table: str
    configuration_key: str
    targets_table: str

    def configuration(self, value: bytes) -> FleetConfiguration:
        """Return a configuration."""

    def target(self, key: str, value: bytes) -> DirectTarget:
        """Return a target's entry."""


def _unreadable(log: EventLog, row: StoredRow, error: ValueError) -> None:
    log.emit(
        events.CONFIGURATION_UNREADABLE,
        table=row.table,
        key=row.key,
        revision=row.revision,
        detail=str(error),
    )


def _changed_budgets(
    before: RoutingTable | None, after: RoutingTable
) -> dict[ClientAccountName, int]:
    """Return the budgets that a version brought or changed, for its log line."""
    known = before.prepaid_tokens() if before is not None else {}
    changed = {
        account: tokens
        for account, tokens in after.prepaid_tokens().items()
        if known.get(account) != tokens
    }
    return dict(islice(changed.items(), _MOST_LOGGED))


class ConfigurationReader:
    """Put configurations in force, each version at most once and never back."""

    def __init__(
        self,
        context: RelayContext,
        decoder: RowDecoder,
        on_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._context = context
        self._decoder = decoder
        self._on_change = on_change
        self._log = log

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in the whole table."""
        for row in rows:
            self.changed(row)

    def changed(self, row: StoredRow) -> None:
        """Take in one row; others than the configuration's are ignored."""
        if row.key != self._decoder.configuration_key or row.deleted:
            return
        try:
            configuration = self._decoder.configuration(row.value)
        except ValueError as error:
            _unreadable(self._log, row, error)
            return
        table = self._context.table
        if table is not None and configuration.version <= table.version:
            return
        self._context.table = RoutingTable(configuration)
        self._context.table_since_s = self._context.clock()
        self._log.emit(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=table.version if table else None,
            revision=row.revision,
            routes=len(configuration.routes),
            client_accounts=len(configuration.accounts),
            prepaid_tokens=_changed_budgets(table, self._context.table),
        )
        self._on_change()

    def lost(self) -> None:
        """Go on with the version in force."""

    def heard(self) -> None:
        """Do nothing: versions speak for themselves."""


class TargetReader:
    """Keep the dispatcher's targets as the registry has them."""

    def __init__(
        self,
        context: RelayContext,
        decoder: RowDecoder,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._context = context
        self._decoder = decoder
        self._clock = clock
        self._log = log
        self.view = FleetView()
        self._revisions: dict[str, int] = {}
        #: Instances that are gone for good, whatever the registry still says.
        self._replaced: set[InstanceId] = set()

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in the whole table."""
        known = set(self.view.targets)
        for row in rows:
            known.discard(InstanceId(row.key))
            self._take(row)
        now_s = self._clock()
        for instance_id in known:
            self.view.remove(instance_id, now_s)
        self.apply()

    def changed(self, row: StoredRow) -> None:
        """Take in one row."""
        self._take(row)
        self.apply()

    def lost(self) -> None:
        """Note that entries may lapse unseen."""
        self.view.registry_lost()

    def heard(self) -> None:
        """Note that the registry answers."""
        self.view.registry_heard(self._clock())

    def replaced(self, instance_id: InstanceId) -> None:
        """Drop a target at whose address another instance answered.

        Its entry stays in the registry for a while, and every request sent there
        meanwhile is refused.
        """
        target = self.view.targets.pop(instance_id, None)
        self._replaced.add(instance_id)
        if target is not None:
            self._note(target, "replaced", 0)
            self.apply()

    def settle(self) -> None:
        """Drop targets that stayed missing after the registry's return."""
        if self.view.settle(self._clock()):
            self.apply()

    def apply(self) -> None:
        """Hand the targets to the dispatcher."""
        views = [self._view(target) for target in self.view.targets.values()]
        self._context.queue.dispatcher.set_targets(views, self._clock())
        self._context.queue.kick()

    def _take(self, row: StoredRow) -> None:
        if row.revision < self._revisions.get(row.key, 0):
            # A listing may be older than what the feed said before it.
            return
        self._revisions[row.key] = row.revision
        if row.deleted:
            before = self.view.targets.get(InstanceId(row.key))
            self.view.remove(InstanceId(row.key), self._clock())
            if before is not None:
                self._note(before, "removed", row.revision)
            return
        try:
            target = self._decoder.target(row.key, row.value)
        except ValueError as error:
            _unreadable(self._log, row, error)
            return
        if target.instance_id in self._replaced:
            return
        before = self.view.targets.get(target.instance_id)
        self.view.put(target)
        if before is None:
            self._note(target, "added", row.revision)
        elif before.leaving != target.leaving:
            self._note(target, "leaving", row.revision)

    def _view(self, target: DirectTarget) -> TargetView:
        table = self._context.table
        kind = ServiceKind.PLAIN
        if table is not None:
            kind = table.service_kind(target.service)
        prefix = "" if kind is ServiceKind.ENGINE else SERVICE_PREFIX
        return TargetView(
            target=TargetName(target.instance_id),
            instance_id=target.instance_id,
            address=target.address,
            availability_zone=target.availability_zone,
            models=frozenset({prefix + target.service}),
            slots=target.slots,
            draining=target.leaving,
        )

    def _note(self, target: DirectTarget, change: str, revision: int) -> None:
        self._log.emit(
            events.TARGET_CHANGED,
            target=target.instance_id,
            service=target.service,
            address=target.address,
            change=change,
            revision=revision,
        )


class PeerReader:
    """Keep the table of the other routers, and this router's own row in it."""

    def __init__(self, peers: PeerTable, own: PeerEntry, log: EventLog) -> None:
        self._peers = peers
        self._own = own
        self._log = log
        #: The revision that this router's row has in the store; 0 for none.
        self.own_revision = 0
        self.registered = False

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in the whole table."""
        names = {row.key for row in rows}
        for entry in self._peers.entries():
            if entry.vm not in names:
                self._peers.remove(entry.vm)
        if self._own.vm not in names:
            self.own_revision, self.registered = 0, False
        for row in rows:
            self.changed(row)

    def changed(self, row: StoredRow) -> None:
        """Take in one row."""
        if row.key == self._own.vm:
            self.own_revision = 0 if row.deleted else row.revision
            self.registered = not row.deleted and row.value == self._own.encode()
            return
        if row.deleted:
            self._peers.remove(row.key)
            return
        try:
            self._peers.put(PeerEntry.decode(row.key, row.value))
        except ValueError as error:
            _unreadable(self._log, row, error)

    def lost(self) -> None:
        """Go on with the routers that are known."""

    def heard(self) -> None:
        """Do nothing: rows speak for themselves."""
