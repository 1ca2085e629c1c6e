"""Maintain one owned key slot: write its claims and its heartbeats."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.daemons.sidecar_ports import Clock
from endivegw.requests.claim_rows import (
    acquire_transaction,
    claims_of_rows,
    commit_transaction,
    heartbeat_transaction,
    next_sequence_of_rows,
    release_transaction,
    ring_partition,
    slot_key,
    slot_map_of_rows,
)
from endivegw.requests.claims import ClaimAnswer, ClaimProposal, SlotOwner, Waiting
from endivegw.requests.slots import Slot, SlotAcquisition, SlotHeartbeat
from endivegw.results import Done, Reason, Refused
from endivegw.services import Row, TablePort, Transaction

__all__ = ["OwnedSlot"]

#: Timeout of a call to the table; claims wait for the call.
_TIMEOUT_S = 1.0

#: Pause after a failed call, so that 32 owners do not add load to an outage.
_RETRY_S = 1.0

#: Interval at which waiting claims check whether the grace time has passed.
_POLL_INTERVAL_S = 0.1

#: Lower bound of a sleep; a clock with coarse resolution must not make the
#: writer spin.
_MIN_SLEEP_S = 0.001

#: Maximum rows per page when the ring is listed.
_PAGE_ROWS = 1000


class OwnedSlot:
    """Maintain one slot until it is lost or released.

    :param slot: the slot as last written to the table.
    :param owner: holds the slot's claims in memory.
    :param heartbeat: the last heartbeat known for the slot.
    :param wall: returns seconds since the epoch on this machine's clock.
    """

    def __init__(
        self,
        slot: Slot,
        owner: SlotOwner,
        heartbeat: SlotHeartbeat,
        table: TablePort,
        clock: Clock,
        wall: Callable[[], float],
    ) -> None:
        self.slot = slot
        self.owner = owner
        self._heartbeat = heartbeat
        self._heartbeat_due_s = clock()
        self._table = table
        self._clock = clock
        self._wall = wall
        self._loaded = False
        self._changed = anyio.Event()
        self._work_pending = anyio.Event()

    async def ask(self, proposal: ClaimProposal, wait_s: float) -> ClaimAnswer:
        """Answer a claim; :class:`Waiting` if it is not written within ``wait_s``."""
        deadline_s = self._clock() + wait_s
        while True:
            if not self._loaded:
                answer: ClaimAnswer = Refused(
                    Reason.CLAIM_UNAVAILABLE, "the slot's claims are still being loaded"
                )
            else:
                answer = self.owner.ask(proposal, self._clock())
            if not isinstance(answer, Waiting) or self._clock() >= deadline_s:
                return answer
            changed = self._changed
            self._work_pending.set()
            with anyio.move_on_after(_POLL_INTERVAL_S):
                await changed.wait()

    async def maintain(self) -> None:
        """Load the earlier owners' claims, then write until the slot is lost."""
        await self._load()
        while not self.owner.lost:
            self._work_pending = anyio.Event()
            failed = not await self._write_due()
            if failed:
                self.owner.failed()
                await anyio.sleep(_RETRY_S)
            self._notify()
            await self._wait_for_work()

    async def release(self) -> bool:
        """Flush and release the slot; return whether the table confirmed it."""
        self.owner.releasing = True
        self._work_pending.set()
        while not self.owner.flushed and not self.owner.lost:
            changed = self._changed
            with anyio.move_on_after(_POLL_INTERVAL_S):
                await changed.wait()
        if self.owner.lost:
            return True
        possibly_incomplete = self._is_possibly_incomplete()
        transaction = release_transaction(
            self.slot, possibly_incomplete=possibly_incomplete
        )
        done = await self._transact(transaction)
        if done:
            self.owner.ownership_lost()
        return done

    def _is_possibly_incomplete(self) -> bool:
        return self._clock() < self.owner.incomplete_until_s

    async def _load(self) -> None:
        rows: list[Row] = []
        after: str | None = None
        partition = ring_partition(self.slot.number)
        while True:
            result = await self._table.scan(
                partition, after=after, limit=_PAGE_ROWS, timeout_s=_TIMEOUT_S
            )
            if not isinstance(result, Done):
                await anyio.sleep(_RETRY_S)
                continue
            rows.extend(result.value.rows)
            after = result.value.next_sort
            if after is None:
                break
        self.owner.load(claims_of_rows(rows), self._clock())
        self.owner.next_sequence = next_sequence_of_rows(rows)
        self._loaded = True

    async def _write_due(self) -> bool:
        """Write the heartbeat or claims that are due.

        :returns: False if the table did not confirm a write.
        """
        now_s = self._clock()
        if now_s >= self._heartbeat_due_s:
            return await self._write_heartbeat(now_s)
        commit = self.owner.next_commit(now_s)
        if commit is not None:
            ring_rows = self.owner.limits.ring_rows
            if not await self._transact(
                commit_transaction(self.slot, commit, ring_rows)
            ):
                return self.owner.lost
            self.owner.committed(commit)
        if self.slot.possibly_incomplete and not self._is_possibly_incomplete():
            return await self._clear_possibly_incomplete()
        return True

    async def _write_heartbeat(self, now_s: float) -> bool:
        heartbeat = SlotHeartbeat(
            self._heartbeat.count + 1,
            self._heartbeat.confirmed,
            self._heartbeat.confirmed_wall_ms,
        )
        # The number is used up even if the answer is lost.
        self._heartbeat = heartbeat
        if not await self._transact(heartbeat_transaction(self.slot, heartbeat)):
            return self.owner.lost
        self._heartbeat = SlotHeartbeat(
            heartbeat.count, heartbeat.count, int(self._wall() * 1000)
        )
        self.owner.heartbeat(self._clock())
        self._heartbeat_due_s = now_s + self.owner.limits.heartbeat_interval_s
        return True

    async def _clear_possibly_incomplete(self) -> bool:
        """Rewrite the slot's row without the mark of possibly incomplete claims."""
        slot = self.slot
        acquisition = SlotAcquisition(slot.number, slot.version, slot.epoch, False)
        transaction = acquire_transaction(
            acquisition, slot.target, slot.instance_id, slot.vm, slot.address
        )
        if not await self._transact(transaction):
            return self.owner.lost
        await self._confirm_owner()
        return True

    async def _transact(self, transaction: Transaction) -> bool:
        result = await self._table.transact(transaction, timeout_s=_TIMEOUT_S)
        match result:
            case Done():
                return True
            case Refused(reason=Reason.CONFLICT):
                await self._confirm_owner()
        return False

    async def _confirm_owner(self) -> None:
        """Read the slot's row, and release ownership if another process has it.

        A conflict alone proves no other owner: it may come from a write of this
        process whose answer was lost.
        """
        key = slot_key(self.slot.number)
        result = await self._table.read((key,), timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return
        row = result.value[0]
        rows = () if row is None else (row,)
        found = slot_map_of_rows(rows, self._clock()).slots.get(self.slot.number)
        is_held = found is not None and not found.released
        if found is None or not is_held or not self._is_same_owner(found):
            self.owner.ownership_lost()
            return
        self.slot = found

    def _is_same_owner(self, found: Slot) -> bool:
        slot = self.slot
        return found.instance_id == slot.instance_id and found.epoch == slot.epoch

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_for_work(self) -> None:
        now_s = self._clock()
        commit_s = self.owner.commit_due_s(now_s)
        if commit_s is not None:
            # Claims that arrive in the meantime go into the same row.
            due_s = min(self._heartbeat_due_s, commit_s)
            await anyio.sleep(max(_MIN_SLEEP_S, due_s - now_s))
            return
        wait_s = max(_MIN_SLEEP_S, self._heartbeat_due_s - now_s)
        with anyio.move_on_after(wait_s):
            await self._work_pending.wait()
