"""Feed readers for the configuration and for the rows of the other routers."""

from __future__ import annotations

from itertools import islice
from typing import Callable, Protocol

from endivegw.gossip import PeerEntry, PeerTable
from endivegw.gossip.peers import PEERS_TABLE
from endivegw.relay.context import RelayContext
from endivegw.routing import DirectTarget, FleetConfiguration, RoutingTable
from endivegw.services.row_store import ExpectedRow, RowsPort, StoredRow
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.supervision import contain
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import AvailabilityZone, ClientAccountName

__all__ = ["ConfigurationReader", "PeerReader", "RowDecoder"]


#: Maximum budgets named in one log line; a first configuration may have tens of
#: thousands.
_MAX_LOGGED_BUDGETS = 50


class RowDecoder(Protocol):
    """Decode the rows of a deployment; raise :exc:`ValueError` if one is malformed."""

    configuration_table: str
    configuration_key: str
    targets_table: str

    def configuration(self, value: bytes) -> FleetConfiguration:
        """Decode a configuration."""

    def evacuation(self, key: str) -> AvailabilityZone | None:
        """Return the zone that a row of the configuration's table evacuates.

        None if the row is not about a zone.
        """

    def target(self, key: str, value: bytes) -> DirectTarget:
        """Decode a target's entry."""


def _changed_budgets(
    before: RoutingTable | None, after: RoutingTable
) -> dict[ClientAccountName, int]:
    """Return the budgets that a version added or changed, for its log line."""
    known = before.prepaid_tokens() if before is not None else {}
    differing = {
        account: tokens
        for account, tokens in after.prepaid_tokens().items()
        if known.get(account) != tokens
    }
    return dict(islice(differing.items(), _MAX_LOGGED_BUDGETS))


class ConfigurationReader:
    """Put configurations in force, each version at most once and never an older one.

    :param on_change: called after a version has come into force.
    """

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
        self._unreadable = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Apply all rows of the table."""
        for row in rows:
            contain(self._log, "configuration", self.on_row, row, row.key)

    def on_row(self, row: StoredRow) -> None:
        """Apply the configuration's row; ignore any other."""
        if row.key != self._decoder.configuration_key or row.deleted:
            return
        try:
            configuration = self._decoder.configuration(row.value)
        except ValueError as error:
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        table = self._context.table
        if table is not None and configuration.version <= table.version:
            return
        limits = table.limits if table is not None else None
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
        if self._context.table.limits != limits:
            self._context.on_new_limits()

    def on_unavailable(self) -> None:
        """Do nothing: the version in force stays."""

    def on_response(self) -> None:
        """Do nothing: rows carry their own version."""


class PeerReader:
    """Keep the table of the other routers, and track this router's row in it.

    :ivar own_revision: revision of this router's row in the store; 0 for none.
    :ivar registered: whether the store has this router's row as it should be.
    """

    def __init__(self, peers: PeerTable, local_entry: PeerEntry, log: EventLog) -> None:
        self._peers = peers
        self._local_entry = local_entry
        self._log = log
        self._unreadable = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)
        self.own_revision = 0
        self.registered = False
        self._revisions: dict[str, int] = {}

    async def remove(self, store: RowsPort, vm: str, *, timeout_s: float) -> None:
        """Delete the row of a terminated router, unless it was written since."""
        row = ExpectedRow(PEERS_TABLE, vm, self._revisions.get(vm, 0))
        if row.revision:
            await store.transact((), (), deletes=(row,), timeout_s=timeout_s)

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Apply all rows of the table; routers without a row are removed."""
        names = {row.key for row in rows}
        self._peers.listed = True
        for entry in self._peers.entries():
            if entry.vm not in names:
                self._peers.remove(entry.vm)
        if self._local_entry.vm not in names:
            self.own_revision, self.registered = 0, False
        for row in rows:
            contain(self._log, "routers", self.on_row, row, row.key)

    def on_row(self, row: StoredRow) -> None:
        """Apply one row."""
        if row.key == self._local_entry.vm:
            self.own_revision = 0 if row.deleted else row.revision
            self.registered = (
                not row.deleted and row.value == self._local_entry.encode()
            )
            return
        if row.deleted:
            self._peers.remove(row.key)
            self._revisions.pop(row.key, None)
            self._unreadable.clear(row)
            return
        self._revisions[row.key] = row.revision
        try:
            entry = PeerEntry.decode(row.key, row.value)
        except ValueError as error:
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        self._peers.put(entry)

    def on_unavailable(self) -> None:
        """Do nothing: the known routers stay."""

    def on_response(self) -> None:
        """Do nothing: rows carry their own revision."""
