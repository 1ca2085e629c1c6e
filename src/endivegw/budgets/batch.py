"""Build the transaction of one write: draws, settlements, returns and bill lines.

A busy router has many budgets to draw on and settle at the same time. One transaction
carries them all, so that a router costs the table about one write a second at any load.
"""

from __future__ import annotations

from typing import Iterable

from attrs import frozen

from endivegw.budgets.bills import BillDraft
from endivegw.budgets.rows import (
    HolderId,
    budget_row_key,
    grant_row_key,
    holder_row_key,
)
from endivegw.budgets.wallet import GrantChange
from endivegw.services import Add, Delete, Put, RowKey, RowValue, Transaction, Write
from endivegw.types import BudgetKey, InstanceId

__all__ = ["Batch", "BilledChunk", "batch_transaction", "holder_put"]


@frozen
class BilledChunk:
    """Represent one row of bill lines.

    :param body: the encoded records.
    """

    key: RowKey
    body: str
    draft: BillDraft


@frozen
class Batch:
    """Represent everything that one write carries.

    :param operation_id: chosen before the write. If the answer is lost, the outcome is
        resolved by comparing this id with the one in the holder's row.
    :param drawers: changes, by budget, of the number of holders with a grant of it.
    :param closed_below: all grants of the holder with lower numbers were closed before.
    """

    operation_id: str
    changes: tuple[GrantChange, ...]
    drawers: tuple[tuple[BudgetKey, int], ...] = ()
    chunk: BilledChunk | None = None
    closed_below: int = 0


def holder_put(
    holder: HolderId,
    instance_id: InstanceId,
    operation_id: str,
    version: int,
    closed_below: int,
    now_s: float,
) -> Put:
    """Return the write that orders, deduplicates and fences the writes of a holder."""
    fields: dict[str, RowValue] = {
        "instance_id": instance_id,
        "operation": operation_id,
        "sealed": 0,
        "closed_below": closed_below,
        "written_at_s": int(now_s),
    }
    return Put(holder_row_key(holder), fields, version)


def _grant_write(change: GrantChange, now_s: float) -> Write:
    key = grant_row_key(change.grant_id)
    if change.opens:
        fields: dict[str, RowValue] = {
            "budget": str(change.budget),
            "tokens": change.draw_tokens,
            "settled": 0,
            "opened_at_s": int(now_s),
            "open": 1,
        }
        return Put(key, fields, 0)
    if change.closes_version is not None:
        return Delete(key, change.closes_version)
    leaving_tokens = change.settle_tokens + change.return_tokens
    deltas = {
        "tokens": change.draw_tokens - leaving_tokens,
        "settled": change.settle_tokens,
    }
    return Add(key, deltas, {"open": 1, "tokens": leaving_tokens})


def _budget_write(
    budget: BudgetKey, changes: Iterable[GrantChange], drawers: int
) -> Add:
    draw_tokens = settle_tokens = return_tokens = 0
    for change in changes:
        draw_tokens += change.draw_tokens
        settle_tokens += change.settle_tokens
        return_tokens += change.return_tokens
    granted_delta = draw_tokens - settle_tokens - return_tokens
    deltas = {
        "available": return_tokens - draw_tokens,
        "granted": granted_delta,
        "settled": settle_tokens,
    }
    if drawers:
        deltas["drawers"] = drawers
    # The table refuses whatever would overspend: a draw of more than is available and a
    # settlement of more than was granted.
    minimums = {
        "available": max(draw_tokens - return_tokens, 0),
        "granted": max(-granted_delta, 0),
    }
    return Add(budget_row_key(budget), deltas, minimums)


def batch_transaction(
    batch: Batch,
    holder: HolderId,
    instance_id: InstanceId,
    version: int,
    now_s: float,
) -> Transaction:
    """Return the transaction of a batch.

    :param version: version of the holder's row as this holder last wrote it.
    """
    writes: list[Write] = [
        holder_put(
            holder,
            instance_id,
            batch.operation_id,
            version,
            batch.closed_below,
            now_s,
        )
    ]
    by_budget: dict[BudgetKey, list[GrantChange]] = {}
    for change in batch.changes:
        writes.append(_grant_write(change, now_s))
        by_budget.setdefault(change.budget, []).append(change)
    drawers = dict(batch.drawers)
    for budget, changes in by_budget.items():
        writes.append(_budget_write(budget, changes, drawers.get(budget, 0)))
    if batch.chunk is not None:
        fields: dict[str, RowValue] = {
            "lines": batch.chunk.body,
            "count": len(batch.chunk.draft.records),
        }
        writes.append(Put(batch.chunk.key, fields, 0))
    return Transaction(tuple(writes))
