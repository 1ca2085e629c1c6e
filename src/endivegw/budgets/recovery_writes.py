"""Writes of a recovery, each conditional on the row version it was decided on."""

from __future__ import annotations

from endivegw.budgets.bills import BillKind, BillRecord, chunk_key, encode_chunk
from endivegw.budgets.collecting import GrantDecision
from endivegw.budgets.rows import (
    GrantRow,
    HolderRow,
    budget_row_key,
    grant_row_key,
    holder_row_key,
)
from endivegw.services import Add, Delete, Put, RowValue, Transaction, Write

__all__ = ["grant_transaction", "holder_put_sealed"]


def holder_put_sealed(holder: HolderRow, recovered: bool, now_s: float) -> Put:
    """Return the write that fences a holder off or marks it as recovered.

    :param recovered: whether none of the holder's grants is open.
    """
    fields: dict[str, RowValue] = {
        "instance_id": holder.instance_id,
        "operation": holder.operation_id,
        "sealed": 1,
        "recovered": int(recovered),
        "closed_below": holder.closed_below,
        "written_at_s": int(now_s),
    }
    return Put(holder_row_key(holder.holder), fields, holder.version)


def grant_transaction(
    grant: GrantRow, decision: GrantDecision, is_last: bool, now_s: float
) -> Transaction:
    """Return the transaction that settles, bills and returns tokens of one grant.

    The first such write marks the row as not open, so that a borrower cannot settle the
    same use a second time.

    :param is_last: whether the holder has no other grant of the budget.
    """
    charged_tokens = decision.settle_tokens + decision.write_off_tokens
    leaving_tokens = charged_tokens + decision.return_tokens
    key = grant_row_key(grant.grant_id)
    writes: list[Write] = []
    if decision.closes:
        writes.append(Delete(key, grant.version))
    else:
        fields: dict[str, RowValue] = {
            "budget": str(grant.budget),
            "tokens": grant.tokens - leaving_tokens,
            "settled": grant.settled_tokens + charged_tokens,
            "opened_at_s": grant.opened_at_s,
            "open": 0,
        }
        writes.append(Put(key, fields, grant.version))
    deltas = {
        "available": decision.return_tokens,
        "granted": -leaving_tokens,
        "settled": charged_tokens,
    }
    if decision.closes and is_last:
        deltas["drawers"] = -1
    writes.append(
        Add(budget_row_key(grant.budget), deltas, {"granted": leaving_tokens})
    )
    records = _records(grant, decision, now_s)
    if records:
        # The key contains the version of the grant's row: a second write of the same
        # decision conflicts.
        writer = f"recovery/{grant.grant_id}"
        body: dict[str, RowValue] = {
            "lines": encode_chunk(records),
            "count": len(records),
        }
        writes.append(Put(chunk_key(writer, grant.version, now_s), body, 0))
    return Transaction(tuple(writes))


def _records(
    grant: GrantRow, decision: GrantDecision, now_s: float
) -> tuple[BillRecord, ...]:
    amounts = (
        (BillKind.RECOVERED, decision.settle_tokens),
        (BillKind.WRITTEN_OFF, decision.write_off_tokens),
    )
    return tuple(
        BillRecord(kind, grant.budget, grant.grant_id, tokens, now_s)
        for kind, tokens in amounts
        if tokens
    )
