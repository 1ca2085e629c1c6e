"""Write the due changes of a router's budgets to the table, one batch at a time."""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.budgets.accounts import Account, AccountRegistry
from endivegw.budgets.batch import Batch, BilledChunk
from endivegw.budgets.bills import (
    BillDraft,
    BillKind,
    BillRecord,
    chunk_key,
    encode_chunk,
)
from endivegw.budgets.escrow import (
    CommitState,
    HolderEscrow,
    read_budgets,
    read_grants,
)
from endivegw.budgets.options import BudgetOptions
from endivegw.budgets.planning import (
    Plan,
    is_removable,
    max_items_of,
    next_check_s,
    plan_wallet,
    wants_draw,
    wants_write,
)
from endivegw.budgets.rows import BudgetRow, HolderId
from endivegw.results import Done, Reason, Refused
from endivegw.services import MAX_TRANSACTION_ITEMS, TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import BudgetKey, InstanceId

__all__ = ["BudgetWriter"]

#: Rows of a transaction other than grants and budgets: the holder's and a bill's.
_FIXED_ITEMS = 2

#: Maximum rows of a transaction for grants and budgets.
_MAX_PLAN_ITEMS = MAX_TRANSACTION_ITEMS - _FIXED_ITEMS

#: Maximum budgets read for one write; more would not fit into it.
_MAX_READS = _MAX_PLAN_ITEMS // 2

EMPTY_DRAFT = BillDraft((), {}, {})


class BudgetWriter:
    """Compose, write and apply one batch at a time.

    :param on_shortage: called with an account whose waiting requests the table cannot
        serve.
    :ivar unavailable_since_s: when the table stopped answering, or None while it
        answers.
    """

    def __init__(
        self,
        accounts: AccountRegistry,
        table: TablePort,
        instance_id: InstanceId,
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        options: BudgetOptions,
        on_shortage: Callable[[Account], None],
    ) -> None:
        self.unavailable_since_s: float | None = None
        self._accounts = accounts
        self._table = table
        self._instance_id = instance_id
        self._clock = clock
        self._rng = rng
        self._log = log
        self._options = options
        self._on_shortage = on_shortage
        self._fence_count = 0
        self._next_grant = 0
        self._chunk_number = 0
        self._escrow = self._new_escrow()
        self._unwritten: tuple[Batch, Plan] | None = None
        self._attempts = 0
        self._lock = anyio.Lock()

    @property
    def holder_exists(self) -> bool:
        """Return whether the current holder has written to the table."""
        return self._escrow.exists

    @property
    def holder(self) -> HolderId:
        """Return the id under which this router currently draws grants."""
        return self._escrow.holder

    @property
    def has_unwritten(self) -> bool:
        """Return whether a batch has no known outcome yet."""
        return self._unwritten is not None

    async def write_once(self, closing: bool) -> bool:
        """Write the changes that are due, or retry the batch that was not answered.

        :returns: whether a write was sent to the table.
        """
        async with self._lock:
            if self._unwritten is None:
                self._unwritten = await self._compose(self._clock(), closing)
            if self._unwritten is None:
                return False
            await self._commit(*self._unwritten)
            return True

    async def _compose(self, now_s: float, closing: bool) -> tuple[Batch, Plan] | None:
        """Choose what the next write carries, or return None if nothing is due."""
        policy = self._options.policy
        due = list(self._accounts) if closing else self._accounts.pop_due(now_s)
        drawing = [
            account
            for account in due
            if not closing and wants_draw(policy, account.wallet, now_s)
        ]
        # Budgets with waiting requests come first.
        drawing.sort(key=lambda account: -account.wallet.wanted_tokens)
        for account in drawing[_MAX_READS:]:
            self._accounts.mark_due(account)
        drawing = drawing[:_MAX_READS]
        rows = await self._read(drawing)
        # There must be no await from here on, so that the decisions match the written
        # state.
        draft = self._draft(now_s, closing)
        plan = Plan(self._escrow.holder, self._next_grant)
        for account in self._in_order(draft, drawing, due):
            wallet = account.wallet
            row = rows.get(wallet.budget)
            settle_tokens = draft.settle_tokens.get(wallet.budget, 0)
            wanted = row is not None or settle_tokens
            if not wanted and not wants_write(policy, wallet, now_s, closing):
                self._schedule_next_check(account, now_s)
                continue
            if (
                not settle_tokens
                and plan.items() + max_items_of(wallet) > _MAX_PLAN_ITEMS
            ):
                self._accounts.mark_due(account)
                continue
            plan_wallet(plan, policy, wallet, row, settle_tokens, now_s, closing)
            self._schedule_next_check(account, now_s)
        if not plan.changes and not draft.records:
            return None
        return self._batch(plan, draft, now_s), plan

    def _batch(self, plan: Plan, draft: BillDraft, now_s: float) -> Batch:
        self._next_grant = plan.next_number
        for change in plan.changes:
            if change.opens:
                self._accounts.record_opened(change.grant_id)
        chunk: BilledChunk | None = None
        if draft.records:
            key = chunk_key(self._escrow.holder, self._chunk_number, now_s)
            chunk = BilledChunk(key, encode_chunk(draft.records), draft)
        return Batch(
            self._escrow.new_operation_id(),
            tuple(plan.changes),
            tuple(plan.drawers.items()),
            chunk,
            self._accounts.closed_below(plan.next_number),
        )

    def _draft(self, now_s: float, closing: bool) -> BillDraft:
        """Return the bill records that are due."""
        queue = self._accounts.bill_queue
        if closing:
            self._bill_unbilled_tokens(now_s)
        if queue.oldest_at_s is None:
            return EMPTY_DRAFT
        waited_s = now_s - queue.oldest_at_s
        if waited_s < self._options.bill_flush_s and not closing:
            return EMPTY_DRAFT
        return queue.draft(
            _MAX_PLAN_ITEMS,
            lambda budget: max_items_of(self._accounts.get(budget).wallet),
        )

    def _bill_unbilled_tokens(self, now_s: float) -> None:
        """Add a separate record for use that is on no bill line."""
        for account in self._accounts:
            wallet = account.wallet
            if wallet.unbilled_tokens:
                record = BillRecord(
                    BillKind.UNBILLED,
                    wallet.budget,
                    self._escrow.holder,
                    wallet.unbilled_tokens,
                    now_s,
                )
                self._accounts.bill_queue.add(record, now_s)
                wallet.unbilled_tokens = 0

    def _in_order(
        self, draft: BillDraft, drawing: list[Account], due: list[Account]
    ) -> list[Account]:
        """Return each account once: billed ones, then drawing ones, then the rest."""
        billed = [self._accounts.get(budget) for budget in draft.settle_tokens]
        return list(dict.fromkeys(billed + drawing + due))

    def _schedule_next_check(self, account: Account, now_s: float) -> None:
        if account.waiters:
            self._accounts.mark_due(account)
        elif is_removable(account.wallet, now_s):
            self._accounts.remove(account)
        else:
            self._accounts.schedule_check(account, next_check_s(account.wallet, now_s))

    async def _read(self, drawing: list[Account]) -> dict[BudgetKey, BudgetRow]:
        """Read the rows of budgets to draw on and refuse requests they cannot serve."""
        if not drawing:
            return {}
        keys = tuple(account.wallet.budget for account in drawing)
        result = await read_budgets(
            self._table, keys, timeout_s=self._options.table_timeout_s
        )
        if not isinstance(result, Done):
            self._mark_table_unavailable("")
            for account in drawing:
                self._on_shortage(account)
            return {}
        self._mark_table_available()
        rows: dict[BudgetKey, BudgetRow] = {}
        for account, row in zip(drawing, result.value):
            if row is None:
                self._refuse(account, Reason.BUDGET_UNKNOWN, None)
                continue
            rows[row.budget] = row
            self._apply_budget_row(account, row)
        return rows

    def _apply_budget_row(self, account: Account, row: BudgetRow) -> None:
        """Record whether the available tokens can serve the waiting requests."""
        wallet = account.wallet
        wallet.known_available_tokens = row.available_tokens
        wallet.read_at_s = self._clock()
        usable_tokens = wallet.free_tokens + row.available_tokens
        account.exhausted = any(
            waiter.bound_tokens > usable_tokens for waiter in account.waiters
        )
        # The unspent tokens of the whole budget could not serve these requests, so
        # waiting for running reservations to end is useless.
        unspent_tokens = row.available_tokens + row.granted_tokens
        self._refuse(account, Reason.BUDGET_EXHAUSTED, unspent_tokens)
        if account.exhausted and account.waiters:
            self._on_shortage(account)

    @staticmethod
    def _refuse(account: Account, reason: Reason, above_tokens: int | None) -> None:
        """Refuse waiting requests.

        :param above_tokens: only those that need more than this number, or None for
            all.
        """
        for waiter in list(account.waiters):
            if above_tokens is None or waiter.bound_tokens > above_tokens:
                detail = f"budget {account.wallet.budget}"
                account.complete(waiter, Refused(reason, detail))

    async def _commit(self, batch: Batch, plan: Plan) -> None:
        state = await self._escrow.commit(
            batch, timeout_s=self._options.table_timeout_s, now_s=self._clock()
        )
        self._attempts += 1
        now_s = self._clock()
        if state is CommitState.PENDING:
            self._mark_table_unavailable(batch.operation_id)
            for change in batch.changes:
                if change.draw_tokens:
                    self._on_shortage(self._accounts.get(change.budget))
            return
        self._unwritten = None
        self._mark_table_available()
        match state:
            case CommitState.COMMITTED:
                self._apply_commit(batch, plan, now_s)
            case CommitState.ROLLED_BACK:
                for change in batch.changes:
                    self._accounts.roll_back(change, now_s)
                    if change.opens:
                        self._accounts.record_closed(change.grant_id)
                await self._drop_sealed(batch, now_s)
            case CommitState.FENCED:
                await self._restart_as_new_holder(batch, plan, now_s)
        self._attempts = 0

    def _apply_commit(self, batch: Batch, plan: Plan, now_s: float) -> None:
        for change in batch.changes:
            account = self._accounts.get(change.budget)
            account.wallet.apply_commit(change, now_s)
            if change.closes_version is not None:
                self._accounts.record_closed(change.grant_id)
            account.serve_waiters(now_s)
        for budget, delta in batch.drawers:
            self._accounts.get(budget).wallet.counted_as_drawer = delta > 0
        if batch.chunk is not None:
            self._accounts.bill_queue.mark_written(batch.chunk.draft, now_s)
            self._chunk_number += 1
        for draw in plan.draws:
            self._log.emit(
                events.GRANT_DRAWN,
                budget=str(draw.budget),
                grant_id=draw.grant_id,
                tokens=draw.tokens,
                figures=draw.figures(),
            )
        self._log.emit(
            events.GRANTS_COMMITTED,
            operation_id=batch.operation_id,
            changes=len(batch.changes),
            lines=len(batch.chunk.draft.records) if batch.chunk else 0,
            tries=self._attempts,
        )

    async def _drop_sealed(self, batch: Batch, now_s: float) -> None:
        """Seal the grants whose rows show that recovery caused a failed write."""
        ids = tuple(change.grant_id for change in batch.changes if not change.opens)
        if not ids:
            return
        result = await read_grants(
            self._table, ids, timeout_s=self._options.table_timeout_s
        )
        if not isinstance(result, Done):
            return
        for grant_id, row in zip(ids, result.value):
            if row is None or not row.open:
                self._accounts.seal(grant_id)
                self._log.emit(events.GRANT_SEALED_LOCALLY, grant_id=grant_id)

    async def _restart_as_new_holder(
        self, batch: Batch, plan: Plan, now_s: float
    ) -> None:
        """Drop all grants and draw under a new holder name from now on.

        The router was considered dead while it was paused or partitioned from the
        table. Its tokens were settled and returned in the meantime, and sidecars refuse
        its work.
        """
        if await self._was_committed(batch):
            self._apply_commit(batch, plan, now_s)
        else:
            for change in batch.changes:
                self._accounts.roll_back(change, now_s)
        grant_ids = [
            grant_id for account in self._accounts for grant_id in account.wallet.grants
        ]
        dropped_tokens = sum(account.wallet.free_tokens for account in self._accounts)
        for grant_id in grant_ids:
            self._accounts.seal(grant_id)
        for account in self._accounts:
            account.wallet.counted_as_drawer = False
        self._log.emit(
            events.HOLDER_FENCED,
            holder=self._escrow.holder,
            grants=len(grant_ids),
            tokens_dropped=dropped_tokens,
        )
        self._fence_count += 1
        self._next_grant = 0
        self._accounts.clear_open_grants()
        self._escrow = self._new_escrow()

    async def _was_committed(self, batch: Batch) -> bool:
        """Return whether the last write before the fence took effect.

        This matters only for bill records, which would charge twice if they were
        written twice. The write creates their row, so the row exists if the write took
        effect.
        """
        if batch.chunk is None:
            return False
        while True:
            result = await self._table.read(
                (batch.chunk.key,), timeout_s=self._options.table_timeout_s
            )
            if isinstance(result, Done):
                return result.value[0] is not None
            await anyio.sleep(self._options.retry_gap_s)

    def _new_escrow(self) -> HolderEscrow:
        suffix = f"~{self._fence_count}" if self._fence_count else ""
        holder = f"{self._instance_id}{suffix}"
        return HolderEscrow(self._table, self._instance_id, holder, self._rng)

    def _mark_table_unavailable(self, operation_id: str) -> None:
        if self.unavailable_since_s is None:
            self.unavailable_since_s = self._clock()
            self._log.emit(events.BUDGET_TABLE_UNAVAILABLE, operation_id=operation_id)

    def _mark_table_available(self) -> None:
        if self.unavailable_since_s is not None:
            unavailable_s = round(self._clock() - self.unavailable_since_s, 3)
            self._log.emit(events.BUDGET_TABLE_RECOVERED, away_s=unavailable_s)
            self.unavailable_since_s = None
