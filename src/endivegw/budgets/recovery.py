"""Recover the grants of a router that is dead, paused or partitioned.

A router that terminates leaves tokens in escrow, and work that it dispatched may still
be running or in transit. Recovery fences the holder off in the table, seals its grants
at the sidecars, which report the consumption, and returns the remaining tokens to the
budget. Any router may recover any other, also concurrently with others: each write
expects the version of the row on which the decision was based.

Sealing before reading follows the sealing by epoch of a published stream engine, with
the holder's name in place of the epoch.
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
from endivegw.budgets.collecting import CollectedUsage, GrantDecision, decide
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

#: Maximum concurrent seal requests. 650 sidecars then take a few round trips each.
_MAX_CONCURRENT_SEALS = 32

#: Seconds between two rounds while work is running or sidecars do not answer.
ROUND_S = 2.0

#: Seconds for which rows of recovered holders and terminated sidecars are retained.
ENDED_RETENTION_S = 86_400.0


@frozen
class SealAnswer:
    """Represent the answer of a sidecar to a seal request.

    :param sidecar: the instance that answered. If it differs from the registered
        instance, the registered one has terminated.
    """

    sidecar: InstanceId
    grants: tuple[SealedGrant, ...]


class SealPort(Protocol):
    """Send seal requests to sidecars and report their termination."""

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal grants at the sidecar of a target and return their consumption."""

    def terminated_at_s(self, target: TargetName, sidecar: InstanceId) -> float | None:
        """Return when a sidecar terminated for good, or None if this is not known.

        The platform must confirm that the machine was removed; an unresponsive sidecar
        is not sufficient.
        """


@frozen
class RecoveryState:
    """Report the progress of a holder's recovery.

    :param grants_left: grants that still wait for work to end or for sidecars.
    """

    done: bool
    grants_left: int


class Recovery:
    """Recover holders; stateless between calls, so that any router may continue."""

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
        """Run one round for every holder name under which an instance drew grants.

        Repeat the call every :data:`ROUND_S` seconds until the result is done.
        """
        holders = await self._scan(HOLDER_PARTITION, instance_id)
        if holders is None:
            return RecoveryState(False, 0)
        done = True
        grants_left = 0
        for row in holders:
            holder = HolderRow.of(row)
            if holder.instance_id != instance_id or holder.recovered:
                continue
            state = await self._recover_holder(holder)
            done = done and state.done
            grants_left += state.grants_left
        return RecoveryState(done, grants_left)

    async def recover_grant(self, grant_id: GrantId) -> RecoveryState:
        """Run one round for a single grant whose holder is alive.

        Used for a grant that was lent to a router that has terminated, or whose
        transfer response was lost. The holder must have no attempts left under it.
        """
        rows = await self._read_grants((grant_id,))
        if rows is None:
            return RecoveryState(False, 1)
        return await self._recover_grants(rows, (grant_id,), all_of_holder=False)

    async def recover_until_done(self, instance_id: InstanceId) -> None:
        """Run rounds until no grant of an instance is open."""
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
        state = await self._recover_grants(grants, seal_ids, all_of_holder=True)
        if state.done:
            await self._mark_recovered(holder)
        return state

    async def _mark_recovered(self, holder: HolderRow) -> None:
        """Mark a holder as recovered, so that sidecars can drop its grants."""
        result = await self._table.read(
            (holder_row_key(holder.holder),), timeout_s=_TIMEOUT_S
        )
        if isinstance(result, Done) and result.value[0] is not None:
            found = HolderRow.of(result.value[0])
            put = holder_put_sealed(found, True, self._clock())
            # A failure has no effect beyond the sidecars' memory use until the next
            # round.
            await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)

    async def delete_expired_rows(self) -> int:
        """Delete rows of holders and sidecars past their retention period.

        Rows are retained for a day. Otherwise, a delayed write could find no row and
        recreate a holder that was already recovered.
        """
        before_s = self._clock() - ENDED_RETENTION_S
        expired: list[Delete] = []
        for row in await self._scan(HOLDER_PARTITION, "") or []:
            holder = HolderRow.of(row)
            if holder.recovered and holder.written_at_s < before_s:
                expired.append(Delete(row.key, row.version))
        for row in await self._scan(LEDGER_PARTITION, "") or []:
            ended_at_s = LedgerRow.of(row).ended_at_s
            if ended_at_s is not None and ended_at_s < before_s:
                expired.append(Delete(row.key, row.version))
                uses_key = uses_row_key(InstanceId(row.key.sort))
                uses = await self._table.read((uses_key,), timeout_s=_TIMEOUT_S)
                if isinstance(uses, Done) and uses.value[0] is not None:
                    expired.append(Delete(uses_key, uses.value[0].version))
        for delete in expired:
            await self._table.transact(Transaction((delete,)), timeout_s=_TIMEOUT_S)
        return len(expired)

    async def _fence(self, holder: HolderRow) -> bool:
        """Seal the holder's row, so that none of the holder's later writes succeed."""
        if holder.sealed:
            return True
        put = holder_put_sealed(holder, False, self._clock())
        result = await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)
        if isinstance(result, Done):
            self._log.emit(events.RECOVERY_STARTED, holder=holder.holder)
            return True
        # After a lost answer or a race with the holder, the next round decides from the
        # state of the holder's row.
        return False

    async def _recover_grants(
        self,
        grants: list[GrantRow],
        seal_ids: tuple[GrantId, ...],
        all_of_holder: bool,
    ) -> RecoveryState:
        if not grants:
            return RecoveryState(True, 0)
        # Listed after the fence: a sidecar that registers later reads the holder's
        # state from the table and sees that it is sealed.
        ledgers = await self._scan(LEDGER_PARTITION, "")
        if ledgers is None:
            return RecoveryState(False, len(grants))
        collected = await self._collect(
            [LedgerRow.of(row) for row in ledgers], seal_ids
        )
        # The rows are read before the sidecars report, and each write expects the
        # version read. If a borrower settled use in between, the same number of
        # unsettled tokens used by others would go unnoticed.
        open_rows = Counter(grant.budget for grant in grants)
        grants_left = 0
        for grant in grants:
            is_last = all_of_holder and open_rows[grant.budget] == 1
            if await self._settle(grant, collected, is_last):
                open_rows[grant.budget] -= 1
            else:
                grants_left += 1
        return RecoveryState(grants_left == 0, grants_left)

    async def _collect(
        self, ledgers: list[LedgerRow], seal_ids: tuple[GrantId, ...]
    ) -> CollectedUsage:
        collected = CollectedUsage()
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_SEALS)

        async def seal(ledger: LedgerRow) -> None:
            async with limiter:
                await self._seal_sidecar(ledger, seal_ids, collected)

        async with anyio.create_task_group() as tasks:
            for ledger in ledgers:
                tasks.start_soon(seal, ledger)
        return collected

    async def _seal_sidecar(
        self,
        ledger: LedgerRow,
        seal_ids: tuple[GrantId, ...],
        collected: CollectedUsage,
    ) -> None:
        if ledger.ended_at_s is None:
            result = await self._seals.seal(
                ledger.target, seal_ids, timeout_s=_TIMEOUT_S
            )
            if isinstance(result, Done) and result.value.sidecar == ledger.sidecar:
                collected.add_answer(result.value.grants)
                return
            terminated_at_s = self._seals.terminated_at_s(ledger.target, ledger.sidecar)
            if terminated_at_s is None and isinstance(result, Done):
                # A target has only one sidecar, so an answer from another instance
                # means that the registered one has terminated.
                terminated_at_s = self._clock()
            if terminated_at_s is None or not await self._mark_terminated(
                ledger, terminated_at_s
            ):
                collected.add_unreachable()
                return
        await self._read_ended(ledger, collected)

    async def _mark_terminated(self, ledger: LedgerRow, terminated_at_s: float) -> bool:
        """Mark a sidecar as terminated and return whether the write succeeded."""
        # Rounded up, because a grant opened in the same second may have been used
        # there.
        fields = ended_fields(ledger.target, int(terminated_at_s) + 1, exact=False)
        put = Put(ledger_row_key(ledger.sidecar), fields, ledger.version)
        result = await self._table.transact(Transaction((put,)), timeout_s=_TIMEOUT_S)
        # The next round resolves a conflict or a lost answer.
        return isinstance(result, Done)

    async def _read_ended(self, ledger: LedgerRow, collected: CollectedUsage) -> None:
        """Add the last checkpoint of a sidecar that has terminated.

        Both rows are read together after the termination was written, so no later
        checkpoint can exist.
        """
        keys = (ledger_row_key(ledger.sidecar), uses_row_key(ledger.sidecar))
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done) or result.value[0] is None:
            collected.add_unreachable()
            return
        ended = LedgerRow.of(result.value[0])
        collected.add_ended(ended, decode_uses(result.value[1]))

    async def _settle(
        self, grant: GrantRow, collected: CollectedUsage, is_last: bool
    ) -> bool:
        """Write the decided part of one grant and return whether nothing is left.

        :param is_last: whether the holder has no other grant of the budget.
        """
        decision = decide(grant, collected)
        if not decision.changes_row:
            return False
        transaction = grant_transaction(grant, decision, is_last, self._clock())
        result = await self._table.transact(transaction, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            # Another router wrote first or the answer was lost. The next round reads
            # the current state.
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
