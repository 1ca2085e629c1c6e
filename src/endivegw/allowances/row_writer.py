"""Maintain one router's row of token counts in the store.

One write is in progress at a time. A write without an answer is repeated unchanged
until its outcome is known: it may still take effect seconds later, and a different
write in its place could draw the same tokens twice.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.allowances.ledger import AllowanceLedger
from endivegw.allowances.lending import LendingPort
from endivegw.allowances.rows import (
    BUDGETS_TABLE,
    HOLDERS_TABLE,
    HolderRow,
    PlannedWrite,
    RowError,
    decode_budget,
    decode_holder,
    encode_budget,
    encode_holder,
)
from endivegw.allowances.store_clock import StoreClock
from endivegw.allowances.succession import NOBODY
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
from endivegw.supervision import contain
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import allowances as events
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["RowWriter"]

#: How long to wait for the witnesses of an earlier process. At a start the addresses of
#: the other routers are still being read during this time.
_STATEMENTS_TIMEOUT_S = 0.5

#: Longest pause before retrying a write that lost a conflict; two response times of the
#: store.
_MAX_CONFLICT_PAUSE_S = 0.01

#: Pause after a call that failed at once, such as one to a store that resets
#: connections.
_FAILURE_PAUSE_S = 0.1


class RowWriter:
    """Write a router's row, and read the tokens left in the budgets.

    :param peers: the other routers.
    :param started_s: when this process started; its predecessor had ended by then.
    """

    def __init__(
        self,
        store: RowsPort,
        vm: str,
        ledger: AllowanceLedger,
        store_clock: StoreClock,
        peers: LendingPort,
        clock: Callable[[], float],
        log: EventLog,
        started_s: float | None = None,
    ) -> None:
        self._store = store
        self._vm = vm
        self._partition = vm if ledger.options.spread_rows else ""
        self._ledger = ledger
        self._options = ledger.options
        self._store_clock = store_clock
        self._peers = peers
        self._clock = clock
        self._log = log
        self._unreadable = UnreadableRows(log, events.ROW_UNREADABLE)
        self._rng = random.Random(ledger.instance_id)
        self._started_s = clock() if started_s is None else started_s
        self.registered = False
        self._has_written = False
        self._revision = 0
        self._wakeup = anyio.Event()
        self._attempted = anyio.Event()
        self._read_at_s: float | None = None
        self._answered_at_s: float | None = None
        self._unavailable_since_s: float | None = None
        #: How long the store took to answer the last successful write.
        self.last_write_s = 0.0
        #: Earliest time of the next draw after a draw that lost a conflict.
        self._draws_resume_at_s = 0.0
        #: Whether the last write deleted this router's row.
        self._is_removed = False
        #: Whether the last write left nothing to draw or to return.
        self._is_complete = True
        self.stopped = anyio.Event()

    def budgets_age_s(self, now_s: float) -> float:
        """Return the age of the last reading of the budgets."""
        return 1e9 if self._read_at_s is None else now_s - self._read_at_s

    def store_age_s(self, now_s: float) -> float:
        """Return the time since the store's last answer."""
        return 1e9 if self._answered_at_s is None else now_s - self._answered_at_s

    def wake(self) -> None:
        """Write as soon as the write in progress has ended."""
        self._wakeup.set()

    def read_budgets_soon(self) -> None:
        """Read the budgets before the next write."""
        self._read_at_s = None
        self.wake()

    async def write_now(self) -> None:
        """Wait until a write that starts after this call has been attempted."""
        self.wake()
        await self._attempted.wait()
        if self._wakeup.is_set():
            await self._attempted.wait()

    async def stop(self) -> None:
        """Return all unused tokens; completes once that is written."""
        self._ledger.return_all()
        self.wake()
        await self.stopped.wait()

    async def run(self) -> None:
        """Take over the previous process's row, then write until stopped."""
        while not self.registered:
            if not await self._register():
                await anyio.sleep(_FAILURE_PAUSE_S)
        conflicted = False
        while not self.stopped.is_set():
            if conflicted:
                # Requests may be waiting for the limits of the conflicting write.
                await anyio.sleep(_MAX_CONFLICT_PAUSE_S * self._rng.random())
            else:
                with anyio.move_on_after(self._pause_s()):
                    await self._wakeup.wait()
            self._wakeup = anyio.Event()
            age_s = self.budgets_age_s(self._clock())
            if age_s >= self._options.budgets_every_s:
                await self._read_budgets()
            succeeded = await self._write()
            conflicted = not succeeded
            if self._is_removed and not self._ledger.has_unused:
                self.stopped.set()
            elif succeeded and (self._ledger.is_returning or not self._is_complete):
                self.wake()
            self._attempted.set()
            self._attempted = anyio.Event()

    def _pause_s(self) -> float:
        """Return how long to wait for a reason to write."""
        until_draw_s = self._draws_resume_at_s - self._clock()
        interval_s = self._options.write_every_s
        return min(interval_s, until_draw_s) if until_draw_s > 0.0 else interval_s

    def _pause_draws(self) -> None:
        """Suspend draws briefly, because another router has changed a budget's row.

        When a budget is topped up, all its holders draw at once, and each draw that
        succeeds makes the others' writes fail, although those also carry their limits.
        The pause is random, up to about the time of as many writes as there are
        routers, so that each router gets its turn.
        """
        now_s = self._clock()
        routers = max(1, self._peers.routers(now_s))
        self._draws_resume_at_s = (
            now_s + _MAX_CONFLICT_PAUSE_S * routers * self._rng.random()
        )

    async def _register(self) -> bool:
        """Take over the row that the previous process on this machine left."""
        timeout_s = self._options.write_timeout_s
        sent_s = self._clock()
        rows = await self._store.list_rows(
            HOLDERS_TABLE, timeout_s=timeout_s, partition=self._partition
        )
        if not isinstance(rows, Done):
            return False
        timestamp = rows.value.timestamp
        self._record_answer(timestamp.now_ms, self._clock(), sent_s)
        own_row = next((row for row in rows.value.rows if row.key == self._vm), None)
        if own_row is not None:
            self._revision = own_row.revision
            await self._succeed(
                self._decode_row(own_row), own_row.revision, timestamp.now_ms, sent_s
            )
        self.registered = True
        return True

    async def _succeed(
        self, holder: HolderRow, revision: int, store_ms: int, sent_s: float
    ) -> None:
        """Take over a row, possibly again after a late write of the predecessor.

        :param store_ms: the store's clock in the answer that contained the row.
        :param sent_s: when that answer was requested, which is before it was produced.
            However slow the store is, the predecessor had ended before the time that
            follows from both.
        """
        self._ledger.funds.clear()
        running_ms = max(0.0, sent_s - self._started_s) * 1000.0
        ended_ms = store_ms - running_ms * self._options.clock_margin
        statements = await self._peers.request_statements(
            holder.witnesses, holder.instance_id, timeout_s=_STATEMENTS_TIMEOUT_S
        )
        as_of_ms = holder.as_of_ms
        report = witness_report(
            holder.witnesses, statements, ended_ms, holder.needed, as_of_ms
        )
        used_tokens = self._ledger.succeed(holder, report)
        self._log.emit(
            events.TOKENS_INHERITED,
            predecessor=holder.instance_id,
            revision=revision,
            silent_s=round((store_ms - as_of_ms) / 1000.0, 3),
            lived_s=round((report.alive_until_ms - as_of_ms) / 1000.0, 3),
            witnesses=len(holder.witnesses),
            answered=len(statements),
            waived=sum(last.waived_since(as_of_ms) for last in statements.values()),
            final=any(statement.final for statement in statements.values()),
            drawn={name: terms.drawn_tokens for name, terms in holder.terms.items()},
            limits={name: terms.limit_tokens for name, terms in holder.terms.items()},
            used=used_tokens,
        )

    async def _read_budgets(self) -> None:
        timeout_s = self._options.write_timeout_s
        sent_s = self._clock()
        rows = await self._store.list_rows(BUDGETS_TABLE, timeout_s=timeout_s)
        now_s = self._clock()
        if not isinstance(rows, Done):
            self._record_failure(now_s, "read")
            return
        self._record_answer(rows.value.timestamp.now_ms, now_s, sent_s)
        self._read_at_s = now_s
        for row in rows.value.rows:
            contain(self._log, "budgets", self._apply_budget, row, row.key)

    def _decode_row(self, row: StoredRow) -> HolderRow:
        """Decode this router's row.

        A malformed row counts as one that belongs to no process and holds nothing. Its
        tokens stay drawn from the budgets, so that they are lost rather than spent
        twice.
        """
        try:
            return decode_holder(row.value)
        except RowError as error:
            self._unreadable.record(row, error)
            return HolderRow(InstanceId(""), 0)

    def _apply_budget(self, row: StoredRow) -> None:
        try:
            total = decode_budget(row.value, row.revision)
        except RowError as error:
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        self._ledger.totals[ClientAccountName(row.key)] = total

    async def _write(self) -> bool:
        """Make one write, repeating it until its outcome is known."""
        now_s = self._clock()
        store_ms = self._store_clock.now_ms(now_s)
        started = now_s - self._started_s >= self._options.startup_s
        routers = self._peers.routers(now_s) if started else 0
        write = self._ledger.plan_write(
            store_ms,
            now_s,
            routers,
            self._peers.witnesses(now_s),
            draws=now_s >= self._draws_resume_at_s,
        )
        self._is_complete = write.is_complete
        self._is_removed = False
        if write.is_last and not self._revision and not write.budgets:
            self._ledger.commit(write, 0)
            self._remove(write, 0)
            return True
        while True:
            outcome = await self._attempt(write)
            if outcome is not None:
                return outcome
            self._attempted.set()
            self._attempted = anyio.Event()
            await anyio.sleep(_FAILURE_PAUSE_S)

    async def _attempt(self, write: PlannedWrite) -> bool | None:
        """Return whether a write took effect, None if that is not known."""
        vm, partition = self._vm, self._partition
        expected = [ExpectedRow(HOLDERS_TABLE, vm, self._revision, partition)]
        puts = [NewRow(HOLDERS_TABLE, vm, encode_holder(write.row), partition)]
        for account, drawn_tokens in write.budgets.items():
            revision = write.expected[account]
            expected.append(ExpectedRow(BUDGETS_TABLE, account, revision))
            puts.append(NewRow(BUDGETS_TABLE, account, encode_budget(drawn_tokens)))
        sent_s = self._clock()
        deletes: tuple[ExpectedRow, ...] = ()
        if write.is_last and self._revision:
            # The row contains nothing more that a successor would need.
            deletes, expected, puts = (expected[0],), expected[1:], puts[1:]
        result = await self._store.transact(
            tuple(expected),
            tuple(puts),
            deletes=deletes,
            timeout_s=self._options.write_timeout_s,
        )
        now_s = self._clock()
        match result:
            case Done(timestamp):
                self.last_write_s = now_s - sent_s
                self._record_answer(timestamp.now_ms, now_s, sent_s)
                self._commit(write, timestamp.revision)
                if deletes:
                    self._remove(write, timestamp.revision)
                return True
            case Conflict(rows, timestamp):
                self._record_answer(timestamp.now_ms, now_s, sent_s)
                return await self._resolve(write, rows, timestamp.now_ms, sent_s)
        self._record_failure(now_s, result.reason.value)
        return None

    def _commit(self, write: PlannedWrite, revision: int) -> None:
        self._revision = revision
        self._has_written = True
        self._ledger.commit(write, revision)
        if write.budgets:
            self._log.emit(events.TOKENS_DRAWN, totals=write.budgets, revision=revision)

    def _remove(self, write: PlannedWrite, revision: int) -> None:
        """Record that this router has no row; what it gets later needs a new one."""
        self._revision = 0
        self._is_removed = True
        ledger = self._ledger
        self._log.emit(
            events.ROW_REMOVED,
            revision=revision,
            drawn={name: terms.drawn_tokens for name, terms in write.row.terms.items()},
            used={name: ledger.of(name).used_tokens for name in write.row.terms},
            returned_to=write.budgets,
            prepaid=ledger.prepaid_tokens,
        )

    async def _resolve(
        self,
        write: PlannedWrite,
        rows: tuple[StoredRow, ...],
        store_ms: int,
        sent_s: float,
    ) -> bool:
        """Determine from a conflict whether an earlier copy of the write took effect.

        A copy of the write that is still in transit finds the revisions changed, since
        revisions only increase, and has no effect.
        """
        own_row = next((row for row in rows if row.table == HOLDERS_TABLE), None)
        for row in rows:
            if row.table == BUDGETS_TABLE and not row.deleted:
                self._apply_budget(row)
        if own_row is None or own_row.deleted:
            if write.is_last and self._revision:
                # An earlier copy of the last write took effect.
                self._commit(write, 0)
                self._remove(write, 0)
                return True
            if self._revision:
                self._reset(None)
            else:
                self._ledger.roll_back()
            return False
        holder = self._decode_row(own_row)
        if own_row.revision == self._revision:
            # Only the rows of budgets have changed, not this row.
            self._ledger.roll_back()
            self._pause_draws()
            return False
        if holder.instance_id != self._ledger.instance_id:
            self._revision = own_row.revision
            if self._has_written and holder.instance_id != NOBODY:
                self._reset(holder)
                if self._ledger.is_returning:
                    # The row is the other process's to delete.
                    self._revision = 0
            else:
                await self._succeed(holder, own_row.revision, store_ms, sent_s)
            return False
        if holder.sequence == write.row.sequence:
            self._commit(write, own_row.revision)
            return True
        self._ledger.roll_back()
        return False

    def _reset(self, holder: HolderRow | None) -> None:
        """Start over without tokens, because another process settled this row."""
        self._log.emit(
            events.TOKENS_TAKEN_OVER,
            instance=holder.instance_id if holder else InstanceId(""),
        )
        self._ledger.funds.clear()
        if holder is None:
            self._revision = 0

    def _record_answer(self, store_ms: int, now_s: float, sent_s: float) -> None:
        self._store_clock.update(store_ms, now_s, sent_s)
        self._answered_at_s = now_s
        if self._unavailable_since_s is not None:
            unavailable_s = round(now_s - self._unavailable_since_s, 3)
            self._log.emit(events.STORE_RECOVERED, away_s=unavailable_s)
            self._unavailable_since_s = None

    def _record_failure(self, now_s: float, reason: str) -> None:
        if self._unavailable_since_s is None:
            self._unavailable_since_s = now_s
            self._log.emit(events.STORE_UNAVAILABLE, reason=reason)
