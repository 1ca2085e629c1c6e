"""Recover the grants of a router that is dead, paused or cut off.

A router that is gone leaves tokens escrowed, and work that it handed over may
still be running or may still arrive. The holder is fenced off in the table, its
grants are sealed at the sidecars, which say what was consumed, and the rest goes
back to the budget. Any router may do this for any other, also at the same
moment: each write expects the version of the row that it was decided on.

Sealing before reading follows the sealing by epoch of the related stream engine
paper; here the holder's name takes the epoch's part.
"""

from __future__ import annotations

from collections import Counter
from typing import Callable, Protocol

import anyio
from attrs import frozen

from endivegw.budgets.checkpoint import (
    LEDGER_PARTITION,
    LedgerRow,
    decode_uses,
    ended_fields,
    ledger_row_key,
    uses_row_key,
)
from endivegw.budgets.collecting import Collected, GrantDecision, decide
from endivegw.budgets.ledger import SealedGrant
from endivegw.budgets.recovery_writes import grant_transaction, holder_put_sealed
from endivegw.budgets.rows import (
    GRANT_PARTITION,
    HOLDER_PARTITION,
    GrantRow,
    HolderRow,
    all_grants_of,
    grant_prefix_of,
    grant_row_key,
    holder_row_key,
)
from endivegw.results import Done, Result
from endivegw.services import Delete, Put, Row, TablePort, Transaction
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import GrantId, InstanceId, TargetName

__all__ = ["Recovery", "RecoveryState", "SealAnswer", "SealPort"]

_TIMEOUT_S = 1.0

#: Sidecars sealed at the same time: 650 take a few round trips each.
_SEALS_AT_ONCE = 32

#: Pause between two rounds while work still runs or sidecars do not answer.
ROUND_S = 2.0

#: How long rows of ended holders and sidecars stay.
KEEP_ENDED_S = 86_400.0


@frozen
class SealAnswer:
    """Hold a sidecar's answer to a seal.

    :param sidecar: the instance that answered; another than the one that was
        asked for means that the asked one is gone.
    """

    sidecar: InstanceId
    grants: tuple[SealedGrant, ...]


class SealPort(Protocol):
    """The way to the sidecars."""

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal grants at a target's sidecar and return what they consumed."""

    def gone_at_s(self, target: TargetName, sidecar: InstanceId) -> float | None:
        """Return when a sidecar was seen to be gone for good, None if it is not.

        Gone needs the platform's word that its machine is gone, not only a
        sidecar that does not answer.
        """


@frozen
class RecoveryState:
    """Say how far the recovery of a holder has come.

    :param grants_left: grants that still wait for work to end or for sidecars.
    """

    done: bool
    grants_left: int


class Recovery:
    """Recover holders; keeps nothing between calls, so that any router may go on."""

    def __init__(
        self,
        table: TablePort,
        seals: SealPort,
        clock: Callable[[], float],
        log: EventLog | None = None,
    ) -> None:
        self._table = table
        self._seals = seals
        self._clock = clock
        self._log = log or EventLog("budgets")

    async def recover(self, instance_id: InstanceId) -> RecoveryState:
        """Go one round for every name under which an instance drew grants.

        Call it again, some :data:`ROUND_S` later, until it says done.
        """
        holders = await self._scan(HOLDER_PARTITION, instance_id)
        if holders is None:
            return RecoveryState(False, 0)
        done = True
        left = 0
        for row in holders:
            holder = HolderRow.of(row)
            if holder.instance_id != instance_id or holder.recovered:
                continue
            state = await self._recover_holder(holder)
            done = done and state.done
            left += state.grants_left
        return RecoveryState(done, left)

    async def recover_grant(self, grant_id: GrantId) -> RecoveryState:
        """Go one round for a single grant whose holder lives.

        For a grant that was lent to a router that is gone, or whose loan's
        answer was lost. The holder must have no attempts left under it.
        """
        rows = await self._read_grants((grant_id,))
        if rows is None:
            return RecoveryState(False, 1)
        return await self._recover_grants(rows, (grant_id,), whole_holder=False)

    async def until_done(self, instance_id: InstanceId) -> None:
        """Go round after round until nothing of an instance is left open."""
        while not (await self.recover(instance_id)).done:
            await anyio.sleep(ROUND_S)

    async def _recover_holder(self, holder: HolderRow) -> RecoveryState:
        if not await self._fence(holder):
            return RecoveryState(False, 0)
        rows = await self._scan(GRANT_PARTITION, grant_prefix_of(holder.holder))
        if rows is None:
            return RecoveryState(False, 0)
        grants = [GrantRow.of(row) for row in rows]
        seal_ids = (all_grants_of(holder.holder),)
        state = await self._recover_grants(grants, seal_ids, whole_holder=True)
        if state.done:
            await self._mark_recovered(holder)
        return state

    async def _mark_recovered(self, holder: HolderRow) -> None:
        """Let the sidecars forget the holder's grants; its name stays a while."""
        result = await self._table.read(
            (holder_row_key(holder.holder),), timeout_s=_TIMEOUT_S
        )
        if isinstance(result, Done) and result.value[0] is not None:
            found = HolderRow.of(result.value[0])
            put = holder_put_sealed(found, True, self._clock())
            # A failure costs a sidecar memory until the next round, no more.
            await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)

    async def sweep(self) -> int:
        """Delete rows of holders and sidecars that ended long ago.

        They stay for a day: a write that is still on its way would otherwise
        find no row, and begin a holder anew that was recovered.
        """
        before_s = self._clock() - KEEP_ENDED_S
        doomed: list[Delete] = []
        for row in await self._scan(HOLDER_PARTITION, "") or []:
            holder = HolderRow.of(row)
            if holder.recovered and holder.written_at_s < before_s:
                doomed.append(Delete(row.key, row.version))
        for row in await self._scan(LEDGER_PARTITION, "") or []:
            ended_at_s = LedgerRow.of(row).ended_at_s
            if ended_at_s is not None and ended_at_s < before_s:
                doomed.append(Delete(row.key, row.version))
                uses_key = uses_row_key(InstanceId(row.key.sort))
                uses = await self._table.read((uses_key,), timeout_s=_TIMEOUT_S)
                if isinstance(uses, Done) and uses.value[0] is not None:
                    doomed.append(Delete(uses_key, uses.value[0].version))
        for delete in doomed:
            await self._table.transact(Transaction((delete,)), timeout_s=_TIMEOUT_S)
        return len(doomed)

    async def _fence(self, holder: HolderRow) -> bool:
        """Take the holder's row from it, so that none of its writes succeed."""
        if holder.sealed:
            return True
        put = holder_put_sealed(holder, False, self._clock())
        result = await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)
        if isinstance(result, Done):
            self._log.emit(events.RECOVERY_STARTED, holder=holder.holder)
            return True
        # Lost answers and races with the holder itself are settled in the next
        # round, by what its row says then.
        return False

    async def _recover_grants(
        self,
        grants: list[GrantRow],
        seal_ids: tuple[GrantId, ...],
        whole_holder: bool,
    ) -> RecoveryState:
        if not grants:
            return RecoveryState(True, 0)
        # Listed after the fence: a sidecar that registers later asks the table
        # about the holder and sees it sealed.
        ledgers = await self._scan(LEDGER_PARTITION, "")
        if ledgers is None:
            return RecoveryState(False, len(grants))
        collected = await self._collect(
            [LedgerRow.of(row) for row in ledgers], seal_ids
        )
        # The rows were read before the sidecars were asked, and each write
        # expects the version read: use that a borrower settles in between would
        # hide as much use of others that nobody has settled.
        open_rows = Counter(grant.budget for grant in grants)
        left = 0
        for grant in grants:
            is_last = whole_holder and open_rows[grant.budget] == 1
            if await self._settle(grant, collected, is_last):
                open_rows[grant.budget] -= 1
            else:
                left += 1
        return RecoveryState(left == 0, left)

    async def _collect(
        self, ledgers: list[LedgerRow], seal_ids: tuple[GrantId, ...]
    ) -> Collected:
        collected = Collected()
        limiter = anyio.CapacityLimiter(_SEALS_AT_ONCE)

        async def ask(ledger: LedgerRow) -> None:
            async with limiter:
                await self._seal_one(ledger, seal_ids, collected)

        async with anyio.create_task_group() as tasks:
            for ledger in ledgers:
                tasks.start_soon(ask, ledger)
        return collected

    async def _seal_one(
        self, ledger: LedgerRow, seal_ids: tuple[GrantId, ...], collected: Collected
    ) -> None:
        if ledger.ended_at_s is None:
            result = await self._seals.seal(
                ledger.target, seal_ids, timeout_s=_TIMEOUT_S
            )
            if isinstance(result, Done) and result.value.sidecar == ledger.sidecar:
                collected.add_answer(result.value.grants)
                return
            gone_at_s = self._seals.gone_at_s(ledger.target, ledger.sidecar)
            if gone_at_s is None and isinstance(result, Done):
                # A target has room for one sidecar, so another one in its place
                # says that the registered one has ended.
                gone_at_s = self._clock()
            if gone_at_s is None or not await self._mark_gone(ledger, gone_at_s):
                collected.add_unreachable()
                return
        await self._read_ended(ledger, collected)

    async def _mark_gone(self, ledger: LedgerRow, gone_at_s: float) -> bool:
        """Write that a sidecar is gone; return whether the table says so now."""
        # Rounded up: a grant opened in the same second may have been used there.
        fields = ended_fields(ledger.target, int(gone_at_s) + 1, exact=False)
        put = Put(ledger_row_key(ledger.sidecar), fields, ledger.version)
        result = await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)
        # A conflict, or a lost answer, is settled in the next round.
        return isinstance(result, Done)

    async def _read_ended(self, ledger: LedgerRow, collected: Collected) -> None:
        """Take in the last checkpoint of a sidecar that has ended.

        Both rows are read together after its end was written, so no checkpoint
        can be newer.
        """
        keys = (ledger_row_key(ledger.sidecar), uses_row_key(ledger.sidecar))
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done) or result.value[0] is None:
            collected.add_unreachable()
            return
        ended = LedgerRow.of(result.value[0])
        collected.add_ended(ended, decode_uses(result.value[1]))

    async def _settle(
        self, grant: GrantRow, collected: Collected, is_last: bool
    ) -> bool:
        """Write what is certain of one grant; return whether nothing is left.

        :param is_last: whether the holder has no other grant of the budget.
        """
        decision = decide(grant, collected)
        if not decision.changes_row:
            return False
        transaction = grant_transaction(grant, decision, is_last, self._clock())
        result = await self._table.transact(transaction, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            # Someone else was faster, or the answer is lost: the next round
            # reads what holds.
            return False
        self._log_decision(grant, decision)
        return decision.held_tokens == 0

    def _log_decision(self, grant: GrantRow, decision: GrantDecision) -> None:
        self._log.emit(
            events.GRANT_RECOVERED,
            grant_id=grant.grant_id,
            budget=str(grant.budget),
            settled_tokens=decision.settle_tokens,
            written_off_tokens=decision.write_off_tokens,
            returned_tokens=decision.return_tokens,
            held_tokens=decision.held_tokens,
        )

    async def _read_grants(self, ids: tuple[GrantId, ...]) -> list[GrantRow] | None:
        keys = tuple(grant_row_key(grant_id) for grant_id in ids)
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return None
        return [GrantRow.of(row) for row in result.value if row is not None]

    async def _scan(self, partition: str, prefix: str) -> list[Row] | None:
        rows: list[Row] = []
        after: str | None = None
        while True:
            result = await self._table.scan(
                partition, prefix=prefix, after=after, timeout_s=_TIMEOUT_S
            )
            if not isinstance(result, Done):
                return None
            rows.extend(result.value.rows)
            after = result.value.next_sort
            if after is None:
                return rows
