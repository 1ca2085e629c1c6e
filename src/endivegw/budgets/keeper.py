"""The router's side of budgets: reservations out of grants, and what refills them.

Made for requests that must not wait for the table: as a rule a reservation is
taken from tokens in hand. Only a budget's first request, the end of a budget
and a long outage make a request wait.
"""

from __future__ import annotations

import random
from typing import Callable, Iterable

import anyio
from attrs import define, field, frozen

from endivegw.budgets.batch import Batch, BilledChunk
from endivegw.budgets.bills import (
    BillKind,
    BillLine,
    BillRecord,
    LineQueue,
    chunk_key,
    encode_chunk,
)
from endivegw.budgets.escrow import (
    CommitState,
    HolderEscrow,
    read_budgets,
    read_grants,
)
from endivegw.budgets.planning import Plan, plan_wallet, wants_draw, wants_write
from endivegw.budgets.rows import BudgetRow, HolderId
from endivegw.budgets.sizing import DemandSize, SizePolicy
from endivegw.budgets.transfer import (
    OfferMemory,
    TransferAsk,
    TransferOffer,
    TransferPort,
)
from endivegw.budgets.wallet import BudgetWallet, Reservation
from endivegw.platform import MAX_TRANSACTION_ITEMS, TablePort
from endivegw.results import Done, Reason, Refused
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import (
    AttemptId,
    BudgetKey,
    GrantId,
    InstanceId,
    Usage,
)

__all__ = ["BudgetKeeper", "KeeperOptions"]

#: Rows of a transaction that are not grants or budgets: the holder's and a bill's.
_FIXED_ITEMS = 2

#: A budget adds at most this many rows before the transaction is looked at again.
_ITEMS_PER_BUDGET = 8

#: What a donor keeps for its own next moments, in seconds of its demand.
_LEND_KEEP_S = 5.0

#: Peers asked for one shortage. With a hot budget each router has tokens and
#: the first answers; with a cold one more asking costs more than it finds.
_PEERS_ASKED = 3

#: How often an ask whose answer was lost is repeated with the same id.
_ASK_TRIES = 2


@frozen
class KeeperOptions:
    """Hold what the keeper's pace is set by.

    :param tick_s: how often the loop looks at all budgets without being woken.
    :param write_gap_s: least time between two writes of this router. 370
        routers with one write a second stay inside the several hundred writes
        that the table carries; requests of cold budgets queue up to this long.
    :param table_timeout_s: how long one call of the table may take.
    :param retry_gap_s: pause before a write without an answer is tried again.
    :param end_wait_s: near the end of a budget a request waits this long for
        reservations in flight to return tokens before it is refused.
    :param away_wait_s: how long a request waits for a table that is away.
    :param bill_flush_s: bill lines wait no longer than this for their write.
    :param peer_timeout_s: how long one ask of a peer may take.
    """

    policy: SizePolicy = field(factory=DemandSize)
    tick_s: float = 1.0
    write_gap_s: float = 0.25
    table_timeout_s: float = 1.0
    retry_gap_s: float = 0.5
    end_wait_s: float = 2.0
    away_wait_s: float = 1.5
    bill_flush_s: float = 5.0
    peer_timeout_s: float = 0.25


@define(eq=False)
class _Waiter:
    reservation_id: AttemptId
    bound_tokens: int
    done: anyio.Event = field(factory=anyio.Event)
    result: Reservation | Refused | None = None


@define
class _Account:
    """Hold what the keeper adds to a wallet: who waits, and what is known."""

    wallet: BudgetWallet
    waiters: list[_Waiter] = field(factory=list)
    exhausted: bool = False
    asking: bool = False

    def next_short(self) -> _Waiter | None:
        """Return the first waiter, None where nobody waits."""
        return self.waiters[0] if self.waiters else None


class BudgetKeeper:
    """Reserve, settle and bill for one router; the present time is passed in.

    :param clock: Unix time; used only by the background loop and while a
        request waits.
    :param peers: where tokens may be borrowed, None without peer transfer.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        table: TablePort,
        clock: Callable[[], float],
        rng: random.Random,
        peers: TransferPort | None = None,
        log: EventLog | None = None,
        options: KeeperOptions | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._table = table
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._log = log or EventLog("budgets")
        self._options = options or KeeperOptions()
        self._accounts: dict[BudgetKey, _Account] = {}
        self._lines = LineQueue()
        self._offers = OfferMemory()
        self._fences = 0
        self._chunk_number = 0
        self._next_grant = 0
        self._escrow = self._new_escrow()
        self._wake = anyio.Event()
        self._away_since_s: float | None = None
        self._unwritten: tuple[Batch, Plan] | None = None
        self._closing = False
        self._writing = anyio.Lock()
        #: How many tokens requests were refused for, for metrics.
        self.refusals: dict[Reason, int] = {}

    @property
    def holder(self) -> HolderId:
        """Return the id under which this router draws at present."""
        return self._escrow.holder

    # What requests call.

    async def reserve(
        self,
        budget: BudgetKey,
        bound_tokens: int,
        *,
        deadline_s: float,
        reserve_s: float,
        now_s: float,
    ) -> Reservation | Refused:
        """Reserve the upper bound of one attempt.

        :param deadline_s: the moment, by the keeper's clock, beyond which the
            request must not wait.
        :param reserve_s: the account's parameter of that name.
        :returns: refused with ``BUDGET_EXHAUSTED``, ``BUDGET_UNAVAILABLE`` (the
            table is away and there are no tokens in hand or at peers) or
            ``BUDGET_UNKNOWN``. Nothing is reserved then.
        """
        account = self._account(budget)
        wallet = account.wallet
        wallet.reserve_s = reserve_s
        wallet.used_at_s = now_s
        wallet.demand.reserved(bound_tokens, now_s)
        reservation_id = AttemptId(f"{self._rng.getrandbits(96):024x}")
        taken = None
        if not account.waiters:
            taken = wallet.take(reservation_id, bound_tokens, now_s)
        if taken is not None:
            if wants_draw(self._options.policy, wallet, now_s):
                self._wake.set()
            return taken
        return await self._wait_for_tokens(
            account, _Waiter(reservation_id, bound_tokens), deadline_s, now_s
        )

    def release(self, reservation: Reservation, now_s: float) -> None:
        """Put all tokens back: the attempt did not run, provably."""
        self._end(reservation, 0, now_s)

    def finish(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """Charge an attempt's final usage and put the rest back.

        The tokens belong on the request's bill line.
        """
        account, used = self._end(reservation, usage.total_tokens, now_s)
        self._take_over(account.wallet.budget, used, usage.total_tokens, now_s)

    def hold(self, reservation: Reservation, now_s: float) -> None:
        """Keep an attempt's tokens reserved: its end is not known yet."""
        account = self._account(reservation.budget)
        account.wallet.used_at_s = now_s

    def resolve(self, reservation: Reservation, usage: Usage, now_s: float) -> None:
        """End a held attempt; its tokens get a record of their own on the bill.

        Repeated calls do nothing.
        """
        _, used = self._end(reservation, usage.total_tokens, now_s)
        if used:
            record = BillRecord(
                BillKind.RESOLVED,
                reservation.budget,
                reservation.reservation_id,
                used,
                now_s,
            )
            self._lines.add(record, now_s)

    def bill(self, line: BillLine) -> None:
        """Queue the one line of a request, after its attempts were finished.

        :raises InvariantError: where the request was billed already.
        """
        self._lines.add_line(line, line.ended_at_s)

    def grant_sealed(self, grant_id: GrantId, now_s: float) -> None:
        """Drop a grant that a sidecar refused as sealed.

        Release the refused attempt's reservation as well and reserve anew.
        """
        for account in self._accounts.values():
            if grant_id in account.wallet.grants:
                self._seal_here(account.wallet, grant_id, now_s)
        self._wake.set()

    def lend(self, ask: TransferAsk, now_s: float) -> TransferOffer:
        """Answer a peer's ask; a repeated ask gets the same answer."""
        earlier = self._offers.find(ask.transfer_id)
        if earlier is not None:
            return earlier
        offer = TransferOffer(ask.transfer_id, GrantId(""), 0)
        account = self._accounts.get(ask.budget)
        if account is not None and not account.waiters and not self._closing:
            wallet = account.wallet
            rate = wallet.demand.rate_tokens_per_s(now_s)
            lent = wallet.lend(ask.wanted_tokens, int(rate * _LEND_KEEP_S))
            if lent is not None:
                offer = TransferOffer(ask.transfer_id, lent[0], lent[1])
                self._log.emit(
                    events.TOKENS_LENT,
                    budget=str(ask.budget),
                    transfer_id=ask.transfer_id,
                    grant_id=offer.grant_id,
                    tokens=offer.tokens,
                )
        self._offers.keep(offer, now_s)
        return offer

    def tokens_in_hand(self, budget: BudgetKey) -> int:
        """Return the free tokens of a budget, for metrics and tests."""
        account = self._accounts.get(budget)
        return account.wallet.free_tokens if account else 0

    def wallets(self) -> Iterable[BudgetWallet]:
        """Return what is held of each budget, for metrics and tests."""
        return [account.wallet for account in self._accounts.values()]

    # The background loop.

    async def run(self) -> None:
        """Draw, return, settle and write bill lines until cancelled."""
        while True:
            with anyio.move_on_after(self._options.tick_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._write_once(self._clock())
            await anyio.sleep(self._options.write_gap_s)

    async def close(self, now_s: float) -> None:
        """Settle and return everything and write the lines that are left.

        Call it after the last request has ended. Where the table does not
        answer it goes on trying until it is cancelled; recovery settles what is
        left then.
        """
        self._closing = True
        while True:
            await self._write_once(self._clock())
            rest = [
                account
                for account in self._accounts.values()
                if wants_write(
                    self._options.policy, account.wallet, self._clock(), True
                )
                and self._can_leave(account.wallet)
            ]
            if not rest and not self._lines and self._unwritten is None:
                return
            await anyio.sleep(self._options.write_gap_s)

    @staticmethod
    def _can_leave(wallet: BudgetWallet) -> bool:
        """Return whether a closing write has anything left to do for a wallet."""
        return any(
            not grant.sealed
            and (
                grant.free_tokens
                or grant.consumed_tokens
                or grant.transit_tokens
                or (grant.owned and not grant.reserved_tokens and not grant.lent_tokens)
            )
            for grant in wallet.grants.values()
        )

    async def _write_once(self, now_s: float) -> None:
        async with self._writing:
            if self._unwritten is None:
                self._unwritten = await self._compose(now_s)
            if self._unwritten is None:
                return
            batch, plan = self._unwritten
            await self._commit(batch, plan)

    async def _compose(self, now_s: float) -> tuple[Batch, Plan] | None:
        """Choose what the next write carries; None where there is nothing."""
        policy = self._options.policy
        limit = (MAX_TRANSACTION_ITEMS - _FIXED_ITEMS) // _ITEMS_PER_BUDGET
        drawing = [
            account
            for account in self._accounts.values()
            if not self._closing and wants_draw(policy, account.wallet, now_s)
        ]
        # Budgets with requests that wait go first.
        drawing.sort(key=lambda account: -account.wallet.wanted_tokens)
        drawing = drawing[:limit]
        rows = await self._read(drawing)
        writing = [
            account
            for account in self._accounts.values()
            if account.wallet.budget not in rows
            and wants_write(policy, account.wallet, now_s, self._closing)
        ]
        writing = writing[: max(limit - len(rows), 0)]
        plan = Plan(self._escrow.holder, self._next_grant)
        for account in drawing + writing:
            row = rows.get(account.wallet.budget)
            plan_wallet(plan, policy, account.wallet, row, now_s, self._closing)
        chunk = self._chunk(now_s)
        if not plan.changes and chunk is None:
            return None
        self._next_grant = plan.next_number
        batch = Batch(
            self._escrow.new_operation_id(),
            tuple(plan.changes),
            tuple(plan.drawers.items()),
            chunk,
        )
        return batch, plan

    async def _read(self, drawing: list[_Account]) -> dict[BudgetKey, BudgetRow]:
        """Read the rows of budgets to draw on; refuse what they cannot serve."""
        if not drawing:
            return {}
        keys = tuple(account.wallet.budget for account in drawing)
        result = await read_budgets(
            self._table, keys, timeout_s=self._options.table_timeout_s
        )
        if not isinstance(result, Done):
            self._table_away("")
            for account in drawing:
                self._ask_peers(account)
            return {}
        self._table_back()
        rows: dict[BudgetKey, BudgetRow] = {}
        for account, row in zip(drawing, result.value):
            if row is None:
                self._refuse_all(account, Reason.BUDGET_UNKNOWN)
                continue
            rows[row.budget] = row
            self._look_at(account, row)
        return rows

    def _look_at(self, account: _Account, row: BudgetRow) -> None:
        """Note whether what is left can serve who waits."""
        account.wallet.known_available_tokens = row.available_tokens
        short = account.next_short()
        account.exhausted = bool(short and row.available_tokens < short.bound_tokens)
        if account.exhausted and row.granted_tokens > account.wallet.free_tokens:
            self._ask_peers(account)

    async def _commit(self, batch: Batch, plan: Plan) -> None:
        state = await self._escrow.commit(
            batch, timeout_s=self._options.table_timeout_s, now_s=self._clock()
        )
        now_s = self._clock()
        if state is CommitState.PENDING:
            self._table_away(batch.operation_id)
            self._wake.set()
            await anyio.sleep(self._options.retry_gap_s)
            return
        self._unwritten = None
        self._table_back()
        match state:
            case CommitState.COMMITTED:
                self._apply_commit(batch, plan, now_s)
            case CommitState.VOID:
                self._apply_void(batch, now_s)
                await self._check_grants(batch, now_s)
                self._wake.set()
            case CommitState.FENCED:
                await self._start_anew(batch, now_s)

    def _apply_commit(self, batch: Batch, plan: Plan, now_s: float) -> None:
        for change in batch.changes:
            self._account(change.budget).wallet.apply_commit(change, now_s)
        if batch.chunk is not None:
            self._lines.written(batch.chunk.lines, now_s)
            self._chunk_number += 1
        for draw in plan.draws:
            self._log.emit(
                events.GRANT_DRAWN,
                budget=str(draw.budget),
                grant_id=draw.grant_id,
                tokens=draw.tokens,
                figures={
                    "needed_tokens": draw.needed_tokens,
                    "available_tokens": draw.available_tokens,
                    "drawers": draw.drawers,
                    "rate_tokens_per_s": round(draw.rate_tokens_per_s, 1),
                },
            )
            self._serve(self._account(draw.budget), now_s)

    def _apply_void(self, batch: Batch, now_s: float) -> None:
        for change in batch.changes:
            account = self._account(change.budget)
            left = account.wallet.apply_void(change)
            self._take_over(change.budget, 0, left, now_s)
            if account.wallet.consumed_tokens:
                account.wallet.unsettled_since_s = now_s
            self._serve(account, now_s)

    async def _check_grants(self, batch: Batch, now_s: float) -> None:
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
                self.grant_sealed(grant_id, now_s)

    async def _start_anew(self, batch: Batch, now_s: float) -> None:
        """Drop all grants and draw under a new name from now on.

        The router was taken for dead: paused, or cut off from the table. What
        it held was settled and returned meanwhile, and the sidecars refuse it.
        """
        for change in batch.changes:
            wallet = self._account(change.budget).wallet
            left = wallet.apply_void(change)
            self._take_over(change.budget, 0, left, now_s)
        await self._find_chunk(batch, now_s)
        dropped_tokens = grants = 0
        for account in self._accounts.values():
            for grant_id in list(account.wallet.grants):
                dropped_tokens += account.wallet.grants[grant_id].free_tokens
                grants += 1
                self._seal_here(account.wallet, grant_id, now_s)
        self._log.emit(
            events.HOLDER_FENCED,
            holder=self._escrow.holder,
            grants=grants,
            tokens_dropped=dropped_tokens,
        )
        self._fences += 1
        self._next_grant = 0
        self._escrow = self._new_escrow()
        self._wake.set()

    async def _find_chunk(self, batch: Batch, now_s: float) -> None:
        """Find out whether a fenced write's bill lines are in the table."""
        if batch.chunk is None:
            return
        while True:
            result = await self._table.read(
                (batch.chunk.key,), timeout_s=self._options.table_timeout_s
            )
            if isinstance(result, Done):
                break
            await anyio.sleep(self._options.retry_gap_s)
        if result.value[0] is not None:
            self._lines.written(batch.chunk.lines, now_s)
        self._chunk_number += 1

    # Helpers.

    def _new_escrow(self) -> HolderEscrow:
        suffix = f"~{self._fences}" if self._fences else ""
        holder = f"{self._instance_id}{suffix}"
        return HolderEscrow(self._table, self._instance_id, holder, self._rng)

    def _account(self, budget: BudgetKey) -> _Account:
        account = self._accounts.get(budget)
        if account is None:
            account = _Account(BudgetWallet(budget))
            self._accounts[budget] = account
        return account

    async def _wait_for_tokens(
        self, account: _Account, waiter: _Waiter, deadline_s: float, now_s: float
    ) -> Reservation | Refused:
        account.waiters.append(waiter)
        self._count_wanted(account)
        self._wake.set()
        if self._away_since_s is not None:
            self._ask_peers(account)
        patience_s = max(self._options.end_wait_s, self._options.away_wait_s)
        until_s = min(deadline_s, now_s + patience_s)
        with anyio.move_on_after(max(until_s - now_s, 0.0)):
            await waiter.done.wait()
        if waiter.result is None:
            self._leave(account, waiter)
            waiter.result = Refused(self._why_short(account), retry_after_s=1.0)
        if isinstance(waiter.result, Refused):
            self._note_refusal(account, waiter, waiter.result, now_s)
        return waiter.result

    def _why_short(self, account: _Account) -> Reason:
        if account.exhausted and self._away_since_s is None:
            return Reason.BUDGET_EXHAUSTED
        return Reason.BUDGET_UNAVAILABLE

    def _note_refusal(
        self, account: _Account, waiter: _Waiter, refused: Refused, since_s: float
    ) -> None:
        reason = refused.reason
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        wallet = account.wallet
        self._log.emit(
            events.BUDGET_REFUSED,
            budget=str(wallet.budget),
            reason=reason.value,
            bound_tokens=waiter.bound_tokens,
            waited_s=round(self._clock() - since_s, 3),
            figures={
                "free_tokens": wallet.free_tokens,
                "reserved_tokens": wallet.reserved_tokens,
                "known_available_tokens": wallet.known_available_tokens,
                "waiting": len(account.waiters),
            },
        )

    def _leave(self, account: _Account, waiter: _Waiter) -> None:
        account.waiters.remove(waiter)
        self._count_wanted(account)

    def _count_wanted(self, account: _Account) -> None:
        wanted_tokens = sum(waiter.bound_tokens for waiter in account.waiters)
        account.wallet.wanted_tokens = wanted_tokens

    def _refuse_all(self, account: _Account, reason: Reason) -> None:
        for waiter in list(account.waiters):
            self._leave(account, waiter)
            waiter.result = Refused(reason, f"budget {account.wallet.budget}")
            waiter.done.set()

    def _serve(self, account: _Account, now_s: float) -> None:
        """Hand free tokens to who waits, in order; small ones may pass large."""
        for waiter in list(account.waiters):
            taken = account.wallet.take(
                waiter.reservation_id, waiter.bound_tokens, now_s
            )
            if taken is None:
                continue
            self._leave(account, waiter)
            waiter.result = taken
            waiter.done.set()

    def _end(
        self, reservation: Reservation, used_tokens: int, now_s: float
    ) -> tuple[_Account, int]:
        account = self._account(reservation.budget)
        used = account.wallet.give(reservation, used_tokens, now_s)
        self._serve(account, now_s)
        return account, used

    def _seal_here(self, wallet: BudgetWallet, grant_id: GrantId, now_s: float) -> None:
        left_tokens = wallet.seal(grant_id)
        self._take_over(wallet.budget, 0, left_tokens, now_s)
        self._log.emit(events.GRANT_SEALED_HERE, grant_id=grant_id)

    def _take_over(
        self, budget: BudgetKey, settled_tokens: int, used_tokens: int, now_s: float
    ) -> None:
        """Take tokens off the bill that recovery puts on it.

        They stand on a request's line here, and recovery, which knows grants
        and not requests, settles them a second time under the grant's name.
        """
        tokens = used_tokens - settled_tokens
        if tokens > 0:
            record = BillRecord(
                BillKind.TAKEN_OVER, budget, self._escrow.holder, -tokens, now_s
            )
            self._lines.add(record, now_s)

    def _chunk(self, now_s: float) -> BilledChunk | None:
        oldest_at_s = self._lines.oldest_at_s
        if oldest_at_s is None:
            return None
        due = now_s - oldest_at_s >= self._options.bill_flush_s
        if not due and not self._closing:
            return None
        records = self._lines.peek()
        key = chunk_key(self._escrow.holder, self._chunk_number, now_s)
        return BilledChunk(key, encode_chunk(records), len(records))

    def _table_away(self, operation_id: str) -> None:
        if self._away_since_s is None:
            self._away_since_s = self._clock()
            self._log.emit(events.BUDGET_TABLE_AWAY, operation_id=operation_id)

    def _table_back(self) -> None:
        if self._away_since_s is not None:
            away_s = round(self._clock() - self._away_since_s, 3)
            self._log.emit(events.BUDGET_TABLE_BACK, away_s=away_s)
            self._away_since_s = None

    def _ask_peers(self, account: _Account) -> None:
        """Mark a budget as short, for the borrower."""
        if self._peers is not None and account.waiters:
            account.asking = True
