"""Table transactions of budgets, resolved by an id chosen before the write.

If an answer is lost, it is unknown whether a write took effect, and a delayed copy of
it may still arrive much later. Unhandled, this would draw a grant or return tokens
twice. All writes of a holder therefore go through one row whose version each of them
expects and increments by one: a delayed copy finds another version and has no effect.
"""

from __future__ import annotations

import enum
import random

from attrs import frozen

from endivegw.budgets.batch import Batch, batch_transaction, holder_put
from endivegw.budgets.rows import (
    BudgetRow,
    GrantRow,
    HolderId,
    HolderRow,
    budget_row_key,
    grant_row_key,
    holder_row_key,
    topup_row_key,
)
from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import Add, Put, RowKey, RowValue, TablePort, Transaction, Write
from endivegw.types import BudgetKey, GrantId, InstanceId

__all__ = ["CommitState", "HolderEscrow", "read_budgets", "read_grants", "top_up"]

#: Maximum attempts of a top-up before it reports an unknown outcome. Concurrent top-ups
#: conflict with each other only while the budget's row is created.
_MAX_TOP_UP_ATTEMPTS = 8


class CommitState(enum.Enum):
    """Known state of a batch after another attempt to write it."""

    #: The batch took effect.
    COMMITTED = "committed"
    #: The batch did not take effect and never will.
    ROLLED_BACK = "void"
    #: The outcome is unknown; the same batch must be written again.
    PENDING = "pending"
    #: Recovery fenced the holder off, which no longer owns its grants.
    FENCED = "fenced"


class HolderEscrow:
    """Write the batches of one holder, one at a time, each exactly once."""

    def __init__(
        self,
        table: TablePort,
        instance_id: InstanceId,
        holder: HolderId,
        rng: random.Random,
    ) -> None:
        self.holder = holder
        self._table = table
        self._instance_id = instance_id
        self._rng = rng
        self._version = 0
        self._barrier_id: str | None = None

    @property
    def exists(self) -> bool:
        """Return whether the holder's row is known to be in the table."""
        return self._version > 0

    def new_operation_id(self) -> str:
        """Return an id for a batch, to be chosen before the batch is written."""
        return f"{self.holder}.{self._rng.getrandbits(64):016x}"

    async def commit(
        self, batch: Batch, *, timeout_s: float, now_s: float
    ) -> CommitState:
        """Try once to write a batch or to resolve the outcome of an earlier attempt."""
        if self._barrier_id is None:
            transaction = batch_transaction(
                batch, self.holder, self._instance_id, self._version, now_s
            )
            match await self._table.transact(transaction, timeout_s=timeout_s):
                case Done():
                    self._version += 1
                    return CommitState.COMMITTED
                case Refused(reason=Reason.CONFLICT):
                    self._barrier_id = self.new_operation_id()
                case Refused(reason=Reason.BAD_REQUEST, detail=detail):
                    raise InvariantError(
                        f"table rejected batch {batch.operation_id}: {detail}"
                    )
                case _:
                    return CommitState.PENDING
        return await self._resolve_outcome(batch, self._barrier_id, timeout_s, now_s)

    async def _resolve_outcome(
        self, batch: Batch, barrier_id: str, timeout_s: float, now_s: float
    ) -> CommitState:
        """Increment the version of the holder's row to invalidate copies of the batch.

        A conflict means that this copy had no effect. An earlier copy whose answer was
        lost may have taken effect or may still be in transit. Tokens released in the
        meantime would be returned a second time when it arrives.
        """
        barrier = holder_put(
            self.holder,
            self._instance_id,
            barrier_id,
            self._version,
            batch.closed_below,
            now_s,
        )
        result = await self._table.transact(
            Transaction((barrier,)), timeout_s=timeout_s
        )
        match result:
            case Done():
                self._version += 1
                self._barrier_id = None
                return CommitState.ROLLED_BACK
            case Refused(reason=Reason.CONFLICT):
                return await self._read_back(batch, barrier_id, timeout_s)
        return CommitState.PENDING

    async def _read_back(
        self, batch: Batch, barrier_id: str, timeout_s: float
    ) -> CommitState:
        key = holder_row_key(self.holder)
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done):
            return CommitState.PENDING
        row = result.value[0]
        if row is None:
            return CommitState.FENCED
        found = HolderRow.of(row)
        if found.sealed:
            return CommitState.FENCED
        if found.operation_id not in (batch.operation_id, barrier_id):
            # The read may return an older state than the write that conflicted.
            return CommitState.PENDING
        self._version = found.version
        self._barrier_id = None
        if found.operation_id == barrier_id:
            return CommitState.ROLLED_BACK
        return CommitState.COMMITTED

    async def is_fenced(self, *, timeout_s: float) -> bool:
        """Return whether the table shows that recovery took this holder over."""
        if self._version == 0:
            return False
        key = holder_row_key(self.holder)
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done):
            return False
        row = result.value[0]
        return row is None or HolderRow.of(row).sealed


async def read_budgets(
    table: TablePort, budgets: tuple[BudgetKey, ...], *, timeout_s: float
) -> Result[tuple[BudgetRow | None, ...]]:
    """Return the rows of budgets, None for each that does not exist."""
    keys = tuple(budget_row_key(budget) for budget in budgets)
    result = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(result, Done):
        return result
    return Done(tuple(BudgetRow.of(row) if row else None for row in result.value))


async def read_grants(
    table: TablePort, grant_ids: tuple[GrantId, ...], *, timeout_s: float
) -> Result[tuple[GrantRow | None, ...]]:
    """Return the rows of grants, None for each that does not exist."""
    keys = tuple(grant_row_key(grant_id) for grant_id in grant_ids)
    result = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(result, Done):
        return result
    return Done(tuple(GrantRow.of(row) if row else None for row in result.value))


@frozen
class TopUp:
    """Represent one top-up as stored in the table."""

    budget: BudgetKey
    operation_id: str
    tokens: int


def _top_up_writes(
    top_up_request: TopUp, exists: bool, now_s: float
) -> tuple[Write, ...]:
    marker: dict[str, RowValue] = {"tokens": top_up_request.tokens, "at_s": int(now_s)}
    marker_put = Put(
        topup_row_key(top_up_request.budget, top_up_request.operation_id), marker, 0
    )
    key = budget_row_key(top_up_request.budget)
    if exists:
        deltas = {
            "topped_up": top_up_request.tokens,
            "available": top_up_request.tokens,
        }
        return (marker_put, Add(key, deltas))
    fields: dict[str, RowValue] = {
        "topped_up": top_up_request.tokens,
        "available": top_up_request.tokens,
        "granted": 0,
        "settled": 0,
        "drawers": 0,
    }
    return (marker_put, Put(key, fields, 0))


async def top_up(
    table: TablePort,
    budget: BudgetKey,
    operation_id: str,
    tokens: int,
    *,
    timeout_s: float,
    now_s: float,
) -> Result[bool]:
    """Add tokens to a budget once per operation id, creating the budget if needed.

    :returns: done with True if this call added the tokens, or False if the same command
        had added them before; refused with ``KEY_CONFLICT`` if the id was used with
        another amount; unknown if the table does not answer, in which case the call can
        be repeated with the same id.
    :raises ValueError: unless the number of tokens is above 0.
    """
    if tokens <= 0:
        raise ValueError(f"top-up of {tokens} tokens must be greater than 0")
    top_up_request = TopUp(budget, operation_id, tokens)
    keys: tuple[RowKey, ...] = (
        topup_row_key(budget, operation_id),
        budget_row_key(budget),
    )
    tried = False
    for _ in range(_MAX_TOP_UP_ATTEMPTS):
        rows = await table.read(keys, timeout_s=timeout_s)
        if not isinstance(rows, Done):
            return Unknown(rows.reason, rows.detail) if tried else rows
        marker, row = rows.value
        if marker is not None:
            if int(marker.fields["tokens"]) != tokens:
                return Refused(
                    Reason.KEY_CONFLICT,
                    f"operation {operation_id} added {marker.fields['tokens']} tokens",
                )
            return Done(tried)
        writes = _top_up_writes(top_up_request, row is not None, now_s)
        result = await table.transact(Transaction(writes), timeout_s=timeout_s)
        if isinstance(result, Done):
            return Done(True)
        tried = tried or isinstance(result, Unknown)
    return Unknown(Reason.TIMEOUT, f"outcome of top-up {operation_id} is unknown")
