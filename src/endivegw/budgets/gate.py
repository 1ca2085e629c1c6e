"""Admission of work at a sidecar: check holders, admit attempts, write checkpoints.

A restarted sidecar does not know which grants were sealed before. A router that resumes
after its grants were settled could then spend the tokens a second time. A sidecar
therefore first writes the row that registers it and then reads the row of each holder
from the table, while recovery first fences the holder off and then lists the sidecars.
Whichever of the two comes second sees the other.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio

from endivegw.budgets.checkpoint import (
    checkpoint_transaction,
    ledger_row_key,
    uses_row_key,
)
from endivegw.budgets.ledger import GrantLedger
from endivegw.budgets.rows import (
    HolderId,
    HolderRow,
    grant_id_of,
    holder_of,
    holder_row_key,
)
from endivegw.results import Done, Reason, Refused
from endivegw.services import TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import budgets as events
from endivegw.types import AttemptId, BudgetKey, GrantId, InstanceId, TargetName

__all__ = ["GrantGate"]

#: Interval between checkpoints of a sidecar. 650 sidecars at this interval cost the
#: table 22 writes per second.
CHECKPOINT_S = 30.0

#: Interval at which a sidecar reads the rows of its holders, to drop closed grants and
#: to learn of seals that did not reach it. 650 sidecars that know 50 routers each cost
#: the table 108 reads per second.
HOLDER_REFRESH_S = 300.0

#: Minimum time between two periodic checkpoints of one sidecar. Checkpoints that raise
#: a ceiling are not delayed by it.
_MIN_CHECKPOINT_GAP_S = 5.0

_RETRY_S = 0.5
_TIMEOUT_S = 1.0


class GrantGate:
    """Admit work to the ledger of one target, subject to the state of the table.

    :ivar ledger: counts use and seals grants; callers use its ``consume`` and ``end``.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        target: TargetName,
        table: TablePort,
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog | None = None,
        checkpoint_s: float = CHECKPOINT_S,
    ) -> None:
        self.ledger = GrantLedger(checks_holders=True, has_ceilings=True)
        self._instance_id = instance_id
        self._target = target
        self._table = table
        self._clock = clock
        self._rng = rng
        self._log = log or EventLog("budgets")
        self._checkpoint_s = checkpoint_s
        self._version = 0
        self._uses_version = 0
        self._ceiling_requests: dict[GrantId, int] = {}
        self._ceiling_lock = anyio.Lock()
        self._wake = anyio.Event()
        self._ended = False
        self._closing = False
        self._holder_queries: dict[HolderId, anyio.Event] = {}
        self._lock = anyio.Lock()

    async def start(self) -> None:
        """Write the row that registers this sidecar, retrying until it succeeds."""
        while not await self._write(ended=False):
            await anyio.sleep(_RETRY_S)

    async def admit(
        self,
        grant_id: GrantId,
        budget: BudgetKey,
        attempt_id: AttemptId,
        reservation_tokens: int,
        now_s: float,
    ) -> Refused | None:
        """Register an attempt before it starts, or return why it must not run.

        :returns: None if the attempt may start; refused with ``GRANT_SEALED``, or with
            ``NOT_READY`` if the state of the holder cannot be read from the table or
            the ceiling of the grant cannot be raised.
        """
        refused = await self.ready_for(grant_id, budget, reservation_tokens)
        if refused is not None:
            return refused
        return self.ledger.admit(
            grant_id, budget, attempt_id, reservation_tokens, now_s
        )

    async def ready_for(
        self,
        grant_id: GrantId,
        budget: BudgetKey | None = None,
        reservation_tokens: int = 0,
    ) -> Refused | None:
        """Read the state of a grant's holder from the table if it is not known yet.

        Also raises the ceiling of the grant if the reservation does not fit below it.

        :returns: why nothing can be admitted now, or None if the ledger decides.
        """
        if self._version == 0:
            return Refused(Reason.NOT_READY, "sidecar is not registered yet")
        if not self.ledger.knows_holder(grant_id):
            await self._query_holder(holder_of(grant_id))
        if self._ended or self._closing:
            return Refused(
                Reason.NOT_READY, "sidecar has terminated or is shutting down"
            )
        if self.ledger.is_sealed(grant_id):
            return None
        if budget is not None and self.ledger.available_tokens(grant_id) < (
            reservation_tokens
        ):
            await self._raise_ceiling(grant_id, budget, reservation_tokens)
        elif self.ledger.is_near_ceiling(grant_id):
            self._wake.set()
        return None

    async def prefetch_holder(self, holder: HolderId) -> None:
        """Read the state of a holder before its first work arrives."""
        if self._version and not self.ledger.knows_holder(grant_id_of(holder, 0)):
            await self._query_holder(holder)

    async def run(self) -> None:
        """Write checkpoints and refresh the state of holders until cancelled."""
        refresh_at_s = self._clock() + HOLDER_REFRESH_S * self._rng.random()
        while True:
            # Randomize the interval, so that sidecars started together do not write at
            # the same time.
            with anyio.move_on_after(self._checkpoint_s * (0.5 + self._rng.random())):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self.ledger.is_dirty:
                await self._write(ended=False)
            await anyio.sleep(_MIN_CHECKPOINT_GAP_S)
            if self._clock() >= refresh_at_s:
                await self._refresh_holders()
                refresh_at_s = self._clock() + HOLDER_REFRESH_S

    async def close(self) -> bool:
        """Write the final use at a planned shutdown, retrying until it is written.

        Call it once no attempt is running; nothing is admitted from then on.

        :returns: False if attempts are running, so that their use is not final.
            Recovery then treats this sidecar as lost.
        """
        self._closing = True
        if self.ledger.running:
            return False
        while not self._ended and not await self._write(ended=True):
            await anyio.sleep(_RETRY_S)
        self._ended = True
        return True

    async def _raise_ceiling(
        self, grant_id: GrantId, budget: BudgetKey, tokens: int
    ) -> None:
        """Write a checkpoint now, once for all requests that wait for the ceiling."""
        self.ledger.track(grant_id, budget, self._clock())
        self._ceiling_requests[grant_id] = (
            self._ceiling_requests.get(grant_id, 0) + tokens
        )
        async with self._ceiling_lock:
            if grant_id in self._ceiling_requests:
                await self._write(ended=False)

    async def _query_holder(self, holder: HolderId) -> None:
        """Read the state of a holder, shared by all requests that need it."""
        pending = self._holder_queries.get(holder)
        if pending is not None:
            await pending.wait()
            return
        self._holder_queries[holder] = anyio.Event()
        try:
            await self._read_holders((holder,))
        finally:
            self._holder_queries.pop(holder).set()

    async def _read_holders(self, holders: tuple[HolderId, ...]) -> None:
        keys = tuple(holder_row_key(holder) for holder in holders)
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return
        for holder, row in zip(holders, result.value):
            found = HolderRow.of(row) if row is not None else None
            # A holder draws before it sends work. A missing row was therefore deleted
            # long after the holder was recovered.
            sealed = found is None or found.sealed
            self.ledger.record_holder_state(holder, sealed)
            if found is None or found.recovered:
                self.ledger.forget_holder(holder)
            elif not sealed:
                self.ledger.forget_closed(holder, found.closed_below)

    async def _refresh_holders(self) -> None:
        holders = self.ledger.holders()
        if holders:
            await self._read_holders(holders)

    async def _write(self, ended: bool) -> bool:
        """Write a checkpoint and return whether it is known to be written."""
        async with self._lock:
            wanted = self._ceiling_requests
            self._ceiling_requests = {}
            uses = self.ledger.uses(self._clock(), wanted)
            ended_at_s = max(int(self._clock()), 1) if ended else 0
            transaction = checkpoint_transaction(
                self._instance_id,
                self._target,
                self._version,
                self._uses_version,
                uses,
                ended_at_s,
            )
            result = await self._table.transact(transaction, timeout_s=_TIMEOUT_S)
            match result:
                case Done():
                    self._version = max(self._version, 1)
                    self._uses_version += 1
                case Refused(reason=Reason.CONFLICT):
                    await self._read_back()
                    return False
                case _:
                    return False
            self.ledger.apply_checkpoint(uses)
            self._log.emit(events.CHECKPOINT_WRITTEN, grants=len(uses))
            return True

    async def _read_back(self) -> None:
        """Determine whether a conflict came from an earlier write or from recovery."""
        keys = (ledger_row_key(self._instance_id), uses_row_key(self._instance_id))
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return
        row, uses = result.value
        if row is None or int(row.fields.get("ended_at_s", 0)):
            # Recovery marked this sidecar as terminated and no longer collects its use,
            # so it must not admit further work.
            self._ended = True
            return
        self._version = row.version
        self._uses_version = uses.version if uses is not None else 0
