"""The configuration and the other routers, kept up to date by feeds."""

from __future__ import annotations

from itertools import islice
from typing import Callable, Protocol

from endivegw.gossip import PeerEntry, PeerTable
from endivegw.gossip.peers import PEERS_TABLE
from endivegw.relay.context import RelayContext
from endivegw.routing import DirectTarget, FleetConfiguration, RoutingTable
from endivegw.services.row_store import ExpectedRow, RowsPort, StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import ClientAccountName

__all__ = ["ConfigurationReader", "PeerReader", "RowDecoder", "log_unreadable"]


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


def log_unreadable(log: EventLog, row: StoredRow, error: ValueError) -> None:
    """Say that a row does not decode; the last good state stays in force."""
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
            log_unreadable(self._log, row, error)
            return
        table = self._context.table
        if table is not None and configuration.version <= table.version:
            return
        self._context.table = RoutingTable(configuration)
        self._context.table_active_since_s = self._context.clock()
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


class PeerReader:
    """Keep the table of the other routers, and this router's own row in it."""

    def __init__(self, peers: PeerTable, own: PeerEntry, log: EventLog) -> None:
        self._peers = peers
        self._own = own
        self._log = log
        #: The revision that this router's row has in the store; 0 for none.
        self.own_revision = 0
        self.registered = False
        self._revisions: dict[str, int] = {}

    async def remove(self, store: RowsPort, vm: str, *, timeout_s: float) -> None:
        """Delete the row of a router that is gone, unless it was written since."""
        row = ExpectedRow(PEERS_TABLE, vm, self._revisions.get(vm, 0))
        if row.revision:
            await store.transact((), (), deletes=(row,), timeout_s=timeout_s)

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
            self._revisions.pop(row.key, None)
            return
        self._revisions[row.key] = row.revision
        try:
            self._peers.put(PeerEntry.decode(row.key, row.value))
        except ValueError as error:
            log_unreadable(self._log, row, error)

    def lost(self) -> None:
        """Go on with the routers that are known."""

    def heard(self) -> None:
        """Do nothing: rows speak for themselves."""
