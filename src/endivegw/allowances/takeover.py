"""Recover the tokens of routers whose machine does not come back.

A process that ends normally has a successor on its machine, which takes over its row.
If the machine is lost, the row stays, with the tokens it drew. Its limits are valid
until a time on the store's clock; its process, if still alive, uses nothing after
that. From then on another router may settle the row: it determines the most that was
used, records that in place of the limits, and returns the rest to the budgets. Each
step is one transaction that expects the row unchanged since it was read. Of two
routers, therefore, only one succeeds, and a process that comes back finds the row in
its current state.
"""

from __future__ import annotations

from typing import Awaitable, Callable

import anyio
from attrs import define

from endivegw.allowances.funds import Terms
from endivegw.allowances.lending import LendingPort
from endivegw.allowances.options import AllowanceOptions
from endivegw.allowances.rows import (
    BUDGETS_TABLE,
    HOLDERS_TABLE,
    BudgetTotal,
    HolderRow,
    RowError,
    decode_budget,
    decode_holder,
    encode_budget,
    encode_holder,
)
from endivegw.allowances.succession import NOBODY, max_used_tokens, settled_row
from endivegw.allowances.witness_reports import witness_report
from endivegw.results import Done
from endivegw.services.row_store import (
    Conflict,
    ExpectedRow,
    NewRow,
    RowsPort,
    StoredRow,
)
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import allowances as events
from endivegw.types import ClientAccountName

__all__ = ["RowTakeover"]

#: How long to wait for the witnesses of a removed router.
_STATEMENTS_TIMEOUT_S = 0.5

#: Maximum number of budgets that one transaction returns tokens to.
_MAX_BUDGETS_PER_WRITE = 45


#: A newly started router has written its row within this time.
_REGISTERED_WITHIN_S = 5.0


@define
class _UnresponsiveRouter:
    """When a router became unresponsive, and when to check its row again."""

    since_s: float
    next_check_s: float = 0.0


class RowTakeover:
    """Settle the rows of unresponsive routers whose limits have expired.

    :param on_removed: called with a vm whose row was deleted, to remove its other
        records.
    """

    def __init__(
        self,
        store: RowsPort,
        options: AllowanceOptions,
        peers: LendingPort,
        clock: Callable[[], float],
        log: EventLog,
        on_removed: Callable[[str], Awaitable[None]],
    ) -> None:
        self._store = store
        self._options = options
        self._peers = peers
        self._clock = clock
        self._log = log
        self._unreadable = UnreadableRows(log, events.ROW_UNREADABLE)
        self._on_removed = on_removed
        self._unresponsive: dict[str, _UnresponsiveRouter] = {}

    async def run(self) -> None:
        """Check the rows of unresponsive routers until cancelled."""
        while True:
            await anyio.sleep(self._options.takeover_every_s)
            now_s = self._clock()
            known = self._unresponsive
            self._unresponsive = {
                vm: known.get(vm) or _UnresponsiveRouter(now_s)
                for vm in self._peers.unresponsive_vms(now_s)
            }
            for vm, unresponsive in self._unresponsive.items():
                if self._clock() >= unresponsive.next_check_s:
                    await self._check(vm, unresponsive)

    async def _check(self, vm: str, unresponsive: _UnresponsiveRouter) -> None:
        """Settle a router's row, or postpone it until its limits expire."""
        rows = await self._store.list_rows(
            HOLDERS_TABLE,
            timeout_s=self._options.write_timeout_s,
            partition=self._partition(vm),
        )
        if not isinstance(rows, Done):
            return
        row = next((row for row in rows.value.rows if row.key == vm), None)
        if row is None:
            # A newly started router may not have written its row yet.
            if self._clock() - unresponsive.since_s >= _REGISTERED_WITHIN_S:
                await self._on_removed(vm)
            return
        try:
            holder = decode_holder(row.value)
        except RowError as error:
            # Its successor on the same machine logs this as well; no tokens are
            # returned.
            unresponsive.next_check_s = self._clock() + self._options.validity_s
            self._unreadable.record(row, error)
            return
        remaining_ms = _expires_ms(holder) - rows.value.timestamp.now_ms
        if holder.instance_id != NOBODY and remaining_ms > 0.0:
            wait_s = min(remaining_ms / 1000.0, self._options.validity_s)
            unresponsive.next_check_s = self._clock() + wait_s
            return
        await self._settle(vm, holder, row.revision)

    async def _settle(self, vm: str, holder: HolderRow, revision: int) -> None:
        """Record what a router used, then return the remaining tokens."""
        if holder.instance_id != NOBODY:
            settled = await self._settle_terms(vm, holder)
            own_row = ExpectedRow(HOLDERS_TABLE, vm, revision, self._partition(vm))
            result = await self._store.transact(
                (own_row,),
                (self._new_row(vm, settled),),
                timeout_s=self._options.write_timeout_s,
            )
            if not isinstance(result, Done):
                # Another router may have settled the row first; it is read again.
                return
            holder, revision = settled, result.value.revision
        totals = await self._read_totals()
        while totals is not None:
            progress = await self._return_some(vm, holder, revision, totals)
            if progress is None:
                return
            holder, revision = progress
            if not holder.terms:
                await self._on_removed(vm)
                return

    async def _settle_terms(self, vm: str, holder: HolderRow) -> HolderRow:
        statements = await self._peers.request_statements(
            holder.witnesses, holder.instance_id, timeout_s=_STATEMENTS_TIMEOUT_S
        )
        as_of_ms = holder.as_of_ms
        report = witness_report(
            holder.witnesses, statements, _expires_ms(holder), holder.needed, as_of_ms
        )
        used_tokens = max_used_tokens(holder, report, self._options.growth)
        self._log.emit(
            events.ROW_SETTLED,
            owner=vm,
            predecessor=holder.instance_id,
            lived_s=round((report.alive_until_ms - as_of_ms) / 1000.0, 3),
            witnesses=len(holder.witnesses),
            answered=len(statements),
            waived=sum(last.waived_since(as_of_ms) for last in statements.values()),
            drawn={name: terms.drawn_tokens for name, terms in holder.terms.items()},
            limits={name: terms.limit_tokens for name, terms in holder.terms.items()},
            stated=[dict(statement.limits) for statement in statements.values()],
            used=used_tokens,
        )
        return settled_row(holder, used_tokens)

    async def _return_some(
        self,
        vm: str,
        holder: HolderRow,
        revision: int,
        totals: dict[ClientAccountName, BudgetTotal],
    ) -> tuple[HolderRow, int] | None:
        """Return tokens to some budgets; return the remaining row, None on failure.

        After a conflict over a budget, the row is returned unchanged and ``totals`` is
        updated. Tokens of a budget whose own row cannot be read stay in the row.
        """
        returned, remaining = _split(holder, totals)
        if remaining and not returned:
            return None
        own_row = ExpectedRow(HOLDERS_TABLE, vm, revision, self._partition(vm))
        expected, puts = [], []
        for account, terms in returned.items():
            total = totals[account]
            drawn = total.drawn_tokens - (terms.drawn_tokens - terms.limit_tokens)
            expected.append(ExpectedRow(BUDGETS_TABLE, account, total.revision))
            puts.append(NewRow(BUDGETS_TABLE, account, encode_budget(drawn)))
        remaining_row = HolderRow(NOBODY, 0, remaining, (), True)
        timeout_s = self._options.write_timeout_s
        if remaining:
            result = await self._store.transact(
                (own_row, *expected),
                (self._new_row(vm, remaining_row), *puts),
                timeout_s=timeout_s,
            )
        else:
            result = await self._store.transact(
                tuple(expected), tuple(puts), deletes=(own_row,), timeout_s=timeout_s
            )
        match result:
            case Done(timestamp):
                for put in puts:
                    name = ClientAccountName(put.key)
                    totals[name] = decode_budget(put.value, timestamp.revision)
                return remaining_row, timestamp.revision
            case Conflict(rows, _) if _is_row_unchanged(rows, vm, revision):
                _apply_totals(rows, totals)
                return holder, revision
        return None

    async def _read_totals(self) -> dict[ClientAccountName, BudgetTotal] | None:
        rows = await self._store.list_rows(
            BUDGETS_TABLE, timeout_s=self._options.write_timeout_s
        )
        if not isinstance(rows, Done):
            return None
        totals: dict[ClientAccountName, BudgetTotal] = {}
        _apply_totals(rows.value.rows, totals)
        return totals

    def _new_row(self, vm: str, holder: HolderRow) -> NewRow:
        return NewRow(HOLDERS_TABLE, vm, encode_holder(holder), self._partition(vm))

    def _partition(self, vm: str) -> str:
        return vm if self._options.spread_rows else ""


def _expires_ms(holder: HolderRow) -> float:
    """Return the time on the store's clock at which a row's limits expire."""
    as_of_ms = max((terms.as_of_ms for terms in holder.terms.values()), default=0)
    return as_of_ms + holder.validity_s * 1000.0


def _split(
    holder: HolderRow, totals: dict[ClientAccountName, BudgetTotal]
) -> tuple[dict[ClientAccountName, Terms], dict[ClientAccountName, Terms]]:
    """Return the accounts that one transaction covers, and the others."""
    known = [name for name in holder.terms if name in totals]
    returned = {name: holder.terms[name] for name in known[:_MAX_BUDGETS_PER_WRITE]}
    return returned, {
        name: terms for name, terms in holder.terms.items() if name not in returned
    }


def _is_row_unchanged(rows: tuple[StoredRow, ...], vm: str, revision: int) -> bool:
    """Return whether a conflict was over a budget rather than the router's row."""
    return any(
        row.table == HOLDERS_TABLE and row.key == vm and row.revision == revision
        for row in rows
    )


def _apply_totals(
    rows: tuple[StoredRow, ...], totals: dict[ClientAccountName, BudgetTotal]
) -> None:
    for row in rows:
        if row.table != BUDGETS_TABLE or row.deleted:
            continue
        try:
            total = decode_budget(row.value, row.revision)
        except RowError:
            continue
        totals[ClientAccountName(row.key)] = total
