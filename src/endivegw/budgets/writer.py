"""A router's writes to the table, one at a time, each carrying all that is due."""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.budgets.accounts import Account, AccountBook
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
from endivegw.budgets.options import KeeperOptions
from endivegw.budgets.planning import (
    Plan,
    is_forgettable,
    items_of,
    next_look_s,
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

#: Rows of a transaction that are not grants or budgets: the holder's and a bill's.
_FIXED_ITEMS = 2

#: Rows of a transaction that grants and budgets may take.
_ROOM_ITEMS = MAX_TRANSACTION_ITEMS - _FIXED_ITEMS

#: Budgets read for one write; more would not fit it.
_MAX_READS = _ROOM_ITEMS // 2

EMPTY_DRAFT = BillDraft((), {}, {})


class BudgetWriter:
    """Compose, write and take in one batch after the other.

    :param short: called with a budget whose waiters the table cannot serve.
    :ivar away_since_s: since when the table does not answer, None while it does.
    """

    def __init__(
        self,
        book: AccountBook,
        table: TablePort,
        instance_id: InstanceId,
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        options: KeeperOptions,
        short: Callable[[Account], None],
    ) -> None:
        self.away_since_s: float | None = None
        self._book = book
        self._table = table
        self._instance_id = instance_id
        self._clock = clock
        self._rng = rng
        self._log = log
        self._options = options
        self._short = short
        self._fences = 0
        self._next_grant = 0
        self._chunk_number = 0
        self._escrow = self._new_escrow()
        self._unwritten: tuple[Batch, Plan] | None = None
        self._tries = 0
        self._lock = anyio.Lock()

    @property
    def holder_exists(self) -> bool:
        """Return whether the present holder has written to the table."""
        return self._escrow.exists

    @property
    def holder(self) -> HolderId:
        """Return the id under which this router draws at present."""
        return self._escrow.holder

    @property
    def has_unwritten(self) -> bool:
        """Return whether a batch is on its way to the table."""
        return self._unwritten is not None

    async def write_once(self, closing: bool) -> bool:
        """Write what is due, or try again what was not answered.

        :returns: whether the table was asked to write.
        """
        async with self._lock:
            if self._unwritten is None:
                self._unwritten = await self._compose(self._clock(), closing)
            if self._unwritten is None:
                return False
            await self._commit(*self._unwritten)
            return True

    async def _compose(self, now_s: float, closing: bool) -> tuple[Batch, Plan] | None:
        """Choose what the next write carries; None where there is nothing."""
        policy = self._options.policy
        due = list(self._book) if closing else self._book.take_due(now_s)
        drawing = [
            account
            for account in due
            if not closing and wants_draw(policy, account.wallet, now_s)
        ]
        # Budgets with requests that wait go first.
        drawing.sort(key=lambda account: -account.wallet.wanted_tokens)
        for account in drawing[_MAX_READS:]:
            self._book.touch(account)
        drawing = drawing[:_MAX_READS]
        rows = await self._read(drawing)
        # From here on nothing waits: what is decided on is what is written.
        draft = self._draft(now_s, closing)
        plan = Plan(self._escrow.holder, self._next_grant)
        for account in self._in_order(draft, drawing, due):
            wallet = account.wallet
            row = rows.get(wallet.budget)
            settle_tokens = draft.settle_tokens.get(wallet.budget, 0)
            wanted = row is not None or settle_tokens
            if not wanted and not wants_write(policy, wallet, now_s, closing):
                self._look_later(account, now_s)
                continue
            if not settle_tokens and plan.items() + items_of(wallet) > _ROOM_ITEMS:
                self._book.touch(account)
                continue
            plan_wallet(plan, policy, wallet, row, settle_tokens, now_s, closing)
            self._look_later(account, now_s)
        if not plan.changes and not draft.records:
            return None
        return self._batch(plan, draft, now_s), plan

    def _batch(self, plan: Plan, draft: BillDraft, now_s: float) -> Batch:
        self._next_grant = plan.next_number
        for change in plan.changes:
            if change.opens:
                self._book.opened(change.grant_id)
        chunk: BilledChunk | None = None
        if draft.records:
            key = chunk_key(self._escrow.holder, self._chunk_number, now_s)
            chunk = BilledChunk(key, encode_chunk(draft.records), draft)
        return Batch(
            self._escrow.new_operation_id(),
            tuple(plan.changes),
            tuple(plan.drawers.items()),
            chunk,
            self._book.closed_below(plan.next_number),
        )

    def _draft(self, now_s: float, closing: bool) -> BillDraft:
        """Return the bill records that are due."""
        lines = self._book.lines
        if closing:
            self._bill_the_rest(now_s)
        if lines.oldest_at_s is None:
            return EMPTY_DRAFT
        waited_s = now_s - lines.oldest_at_s
        if waited_s < self._options.bill_flush_s and not closing:
            return EMPTY_DRAFT
        return lines.draft(
            _ROOM_ITEMS, lambda budget: items_of(self._book.get(budget).wallet)
        )

    def _bill_the_rest(self, now_s: float) -> None:
        """Give use that no request's line names a record of its own."""
        for account in self._book:
            wallet = account.wallet
            if wallet.unbilled_tokens:
                record = BillRecord(
                    BillKind.UNBILLED,
                    wallet.budget,
                    self._escrow.holder,
                    wallet.unbilled_tokens,
                    now_s,
                )
                self._book.lines.add(record, now_s)
                wallet.unbilled_tokens = 0

    def _in_order(
        self, draft: BillDraft, drawing: list[Account], due: list[Account]
    ) -> list[Account]:
        """Return each account once: what is billed, who draws, the others."""
        billed = [self._book.get(budget) for budget in draft.settle_tokens]
        return list(dict.fromkeys(billed + drawing + due))

    def _look_later(self, account: Account, now_s: float) -> None:
        if account.waiters:
            self._book.touch(account)
        elif is_forgettable(account.wallet, now_s):
            self._book.forget(account)
        else:
            self._book.look_again(account, next_look_s(account.wallet, now_s))

    async def _read(self, drawing: list[Account]) -> dict[BudgetKey, BudgetRow]:
        """Read the rows of budgets to draw on; refuse what they cannot serve."""
        if not drawing:
            return {}
        keys = tuple(account.wallet.budget for account in drawing)
        result = await read_budgets(
            self._table, keys, timeout_s=self._options.table_timeout_s
        )
        if not isinstance(result, Done):
            self._table_is_away("")
            for account in drawing:
                self._short(account)
            return {}
        self._table_is_back()
        rows: dict[BudgetKey, BudgetRow] = {}
        for account, row in zip(drawing, result.value):
            if row is None:
                self._refuse(account, Reason.BUDGET_UNKNOWN, None)
                continue
            rows[row.budget] = row
            self._look_at(account, row)
        return rows

    def _look_at(self, account: Account, row: BudgetRow) -> None:
        """Note whether what is left can serve who waits."""
        wallet = account.wallet
        wallet.known_available_tokens = row.available_tokens
        wallet.read_at_s = self._clock()
        in_hand_tokens = wallet.free_tokens + row.available_tokens
        account.exhausted = any(
            waiter.bound_tokens > in_hand_tokens for waiter in account.waiters
        )
        # Nothing that is prepaid and unspent anywhere could serve these; a wait
        # for reservations in flight would be in vain.
        unspent_tokens = row.available_tokens + row.granted_tokens
        self._refuse(account, Reason.BUDGET_EXHAUSTED, unspent_tokens)
        if account.exhausted and account.waiters:
            self._short(account)

    @staticmethod
    def _refuse(account: Account, reason: Reason, above_tokens: int | None) -> None:
        """Refuse those who wait, or only those who need more than so many."""
        for waiter in list(account.waiters):
            if above_tokens is None or waiter.bound_tokens > above_tokens:
                detail = f"budget {account.wallet.budget}"
                account.answer(waiter, Refused(reason, detail))

    async def _commit(self, batch: Batch, plan: Plan) -> None:
        state = await self._escrow.commit(
            batch, timeout_s=self._options.table_timeout_s, now_s=self._clock()
        )
        self._tries += 1
        now_s = self._clock()
        if state is CommitState.PENDING:
            self._table_is_away(batch.operation_id)
            for change in batch.changes:
                if change.draw_tokens:
                    self._short(self._book.get(change.budget))
            return
        self._unwritten = None
        self._table_is_back()
        match state:
            case CommitState.COMMITTED:
                self._take_in(batch, plan, now_s)
            case CommitState.VOID:
                for change in batch.changes:
                    self._book.undo(change, now_s)
                    if change.opens:
                        self._book.closed(change.grant_id)
                await self._drop_sealed(batch, now_s)
            case CommitState.FENCED:
                await self._start_anew(batch, plan, now_s)
        self._tries = 0

    def _take_in(self, batch: Batch, plan: Plan, now_s: float) -> None:
        for change in batch.changes:
            account = self._book.get(change.budget)
            account.wallet.apply_commit(change, now_s)
            if change.closes_version is not None:
                self._book.closed(change.grant_id)
            account.serve(now_s)
        for budget, delta in batch.drawers:
            self._book.get(budget).wallet.counted = delta > 0
        if batch.chunk is not None:
            self._book.lines.written(batch.chunk.draft, now_s)
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
            tries=self._tries,
        )

    async def _drop_sealed(self, batch: Batch, now_s: float) -> None:
        """Find out whether a write failed because recovery sealed a grant."""
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
                self._book.seal(grant_id)
                self._log.emit(events.GRANT_SEALED_HERE, grant_id=grant_id)

    async def _start_anew(self, batch: Batch, plan: Plan, now_s: float) -> None:
        """Drop all grants and draw under a new name from now on.

        The router was taken for dead: paused, or cut off from the table. What
        it held was settled and returned meanwhile, and the sidecars refuse it.
        """
        if await self._took_effect(batch):
            self._take_in(batch, plan, now_s)
        else:
            for change in batch.changes:
                self._book.undo(change, now_s)
        grant_ids = [
            grant_id for account in self._book for grant_id in account.wallet.grants
        ]
        dropped_tokens = sum(account.wallet.free_tokens for account in self._book)
        for grant_id in grant_ids:
            self._book.seal(grant_id)
        for account in self._book:
            account.wallet.counted = False
        self._log.emit(
            events.HOLDER_FENCED,
            holder=self._escrow.holder,
            grants=len(grant_ids),
            tokens_dropped=dropped_tokens,
        )
        self._fences += 1
        self._next_grant = 0
        self._book.forget_grants()
        self._escrow = self._new_escrow()

    async def _took_effect(self, batch: Batch) -> bool:
        """Find out whether the last write before the fence took effect.

        It matters for bill records only: written twice they would charge twice.
        Their row is new with the write, so its presence tells.
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
        suffix = f"~{self._fences}" if self._fences else ""
        holder = f"{self._instance_id}{suffix}"
        return HolderEscrow(self._table, self._instance_id, holder, self._rng)

    def _table_is_away(self, operation_id: str) -> None:
        if self.away_since_s is None:
            self.away_since_s = self._clock()
            self._log.emit(events.BUDGET_TABLE_AWAY, operation_id=operation_id)

    def _table_is_back(self) -> None:
        if self.away_since_s is not None:
            away_s = round(self._clock() - self.away_since_s, 3)
            self._log.emit(events.BUDGET_TABLE_BACK, away_s=away_s)
            self.away_since_s = None
