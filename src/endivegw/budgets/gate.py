"""The sidecar's side of budgets: ask about holders, admit, write checkpoints.

A sidecar that was just started has forgotten every seal. A router that wakes up
after its grants were settled would find it willing, and the tokens would be
spent twice. So a sidecar first writes the row that says it exists and then asks
the table about each holder; recovery first fences the holder off and then lists
the sidecars. Whichever comes second sees the first.
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

#: How often a sidecar writes what changed. 650 sidecars at this interval cost
#: the table 22 writes a second.
CHECKPOINT_S = 30.0

#: How often a sidecar reads its holders' rows, for grants to forget and for
#: seals that did not reach it. 650 sidecars that know 50 routers each cost the
#: table 108 reads a second.
HOLDERS_S = 300.0

#: Least time between two checkpoints of one sidecar that nothing waits for.
_LEAST_GAP_S = 5.0

_RETRY_S = 0.5
_TIMEOUT_S = 1.0


class GrantGate:
    """Guard one target's ledger with what the table knows.

    :ivar ledger: counts and seals; ``consume`` and ``end`` are called on it.
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
        self._wanted: dict[GrantId, int] = {}
        self._raising = anyio.Lock()
        self._wake = anyio.Event()
        self._ended = False
        self._closing = False
        self._asking: dict[HolderId, anyio.Event] = {}
        self._lock = anyio.Lock()

    async def start(self) -> None:
        """Write the row that says that this sidecar exists; tries until it is."""
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
        """Count an attempt in before it starts, or say why it must not run.

        :returns: None where it may start; refused with ``GRANT_SEALED``, or with
            ``NOT_READY`` where the table cannot be asked about the holder.
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
        """Ask the table about a grant's holder where it was not asked yet.

        Raises the grant's ceiling as well where the reservation does not fit
        below it.

        :returns: why nothing can be admitted now, None where the ledger decides.
        """
        if self._version == 0:
            return Refused(Reason.NOT_READY, "this sidecar is not registered")
        if not self.ledger.knows_holder(grant_id):
            await self._ask(holder_of(grant_id))
        if self._ended or self._closing:
            return Refused(Reason.NOT_READY, "this sidecar has ended")
        if self.ledger.is_sealed(grant_id):
            return None
        if budget is not None and self.ledger.room_tokens(grant_id) < (
            reservation_tokens
        ):
            await self._raise_ceiling(grant_id, budget, reservation_tokens)
        elif self.ledger.is_near_ceiling(grant_id):
            self._wake.set()
        return None

    async def meet(self, holder: HolderId) -> None:
        """Ask the table about a holder before its first work comes."""
        if self._version and not self.ledger.knows_holder(grant_id_of(holder, 0)):
            await self._ask(holder)

    async def run(self) -> None:
        """Write checkpoints and look after holders until cancelled."""
        holders_at_s = self._clock() + HOLDERS_S * self._rng.random()
        while True:
            # Spread over the interval, so that sidecars started together do not
            # write together.
            with anyio.move_on_after(self._checkpoint_s * (0.5 + self._rng.random())):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self.ledger.is_dirty:
                await self._write(ended=False)
            await anyio.sleep(_LEAST_GAP_S)
            if self._clock() >= holders_at_s:
                await self._look_after_holders()
                holders_at_s = self._clock() + HOLDERS_S

    async def close(self) -> bool:
        """Write the final use at a planned stop; tries until it is written.

        Call it once no attempt runs any more; none is admitted from here on.

        :returns: False where attempts run, whose use is not final; recovery then
            treats this sidecar as one that was lost.
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
        """Write a checkpoint at once, once for all who wait for a ceiling."""
        self.ledger.meet(grant_id, budget, self._clock())
        self._wanted[grant_id] = self._wanted.get(grant_id, 0) + tokens
        async with self._raising:
            if grant_id in self._wanted:
                await self._write(ended=False)

    async def _ask(self, holder: HolderId) -> None:
        """Ask the table about a holder, once for all who need it."""
        asked = self._asking.get(holder)
        if asked is not None:
            await asked.wait()
            return
        self._asking[holder] = anyio.Event()
        try:
            await self._read_holders((holder,))
        finally:
            self._asking.pop(holder).set()

    async def _read_holders(self, holders: tuple[HolderId, ...]) -> None:
        keys = tuple(holder_row_key(holder) for holder in holders)
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return
        for holder, row in zip(holders, result.value):
            found = HolderRow.of(row) if row is not None else None
            # A holder draws before it sends work, so one without a row is one
            # whose row was swept up long after it was recovered.
            sealed = found is None or found.sealed
            self.ledger.learn_holder(holder, sealed)
            if found is None or found.recovered:
                self.ledger.forget_holder(holder)
            elif not sealed:
                self.ledger.forget_closed(holder, found.closed_below)

    async def _look_after_holders(self) -> None:
        holders = self.ledger.holders()
        if holders:
            await self._read_holders(holders)

    async def _write(self, ended: bool) -> bool:
        """Write the row; return whether it is known to be written."""
        async with self._lock:
            wanted = self._wanted
            self._wanted = {}
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
            self.ledger.checkpointed(uses)
            self._log.emit(events.CHECKPOINT_WRITTEN, grants=len(uses))
            return True

    async def _read_back(self) -> None:
        """Find out why a write conflicted: an earlier one, or taken for gone."""
        keys = (ledger_row_key(self._instance_id), uses_row_key(self._instance_id))
        result = await self._table.read(keys, timeout_s=_TIMEOUT_S)
        if not isinstance(result, Done):
            return
        row, uses = result.value
        if row is None or int(row.fields.get("ended_at_s", 0)):
            # Recovery took this sidecar for gone. What it runs under is not
            # watched any more, so it admits nothing further.
            self._ended = True
            return
        self._version = row.version
        self._uses_version = uses.version if uses is not None else 0
