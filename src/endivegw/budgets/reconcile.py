"""Compare settled tokens with billed tokens, exactly."""

from __future__ import annotations

from typing import AsyncIterator, Iterable

from attrs import define, field

from endivegw.budgets.bills import (
    BILL_PARTITION,
    BillKind,
    BillRecord,
    decode_chunk,
    hour_prefix,
)
from endivegw.budgets.rows import BudgetRow
from endivegw.results import Done, Refused, Unknown
from endivegw.services import Row, TablePort
from endivegw.types import BudgetKey

__all__ = ["Reconciliation", "read_bill", "reconcile"]

_TIMEOUT_S = 2.0


@define
class Reconciliation:
    """Hold the sums of one budget.

    :ivar billed_tokens: by kind of record.
    :ivar requests: number of requests with a line.
    :ivar doubled: names of requests with more than one line; empty if billing is
        correct.
    """

    budget: BudgetKey
    settled_tokens: int
    granted_tokens: int
    billed_tokens: dict[BillKind, int] = field(factory=dict)
    requests: int = 0
    doubled: list[str] = field(factory=list)

    @property
    def billed_total_tokens(self) -> int:
        """Return the sum of all records."""
        return sum(self.billed_tokens.values())

    @property
    def difference_tokens(self) -> int:
        """Return settled minus billed tokens.

        Lines and settlements of requests that ended in the last seconds may not be
        written yet; a budget without recent requests has no difference.
        """
        return self.settled_tokens - self.billed_total_tokens

    def sentence(self) -> str:
        """Return a one-line result for operators."""
        if self.doubled:
            return f"{len(self.doubled)} requests were billed twice"
        difference = self.difference_tokens
        if difference == 0:
            return f"settled and billed agree at {self.settled_tokens} tokens"
        way = "settled and not billed yet" if difference > 0 else "billed, not settled"
        return f"{abs(difference)} tokens are {way}"


def reconcile(row: BudgetRow, records: Iterable[BillRecord]) -> Reconciliation:
    """Sum up the records of a budget and compare them with its row.

    :param records: the complete bill, starting at the budget's first top-up.
    """
    found = Reconciliation(row.budget, row.settled_tokens, row.granted_tokens)
    names: set[str] = set()
    for record in records:
        if record.budget != row.budget:
            continue
        known = found.billed_tokens.get(record.kind, 0)
        found.billed_tokens[record.kind] = known + record.charged_tokens
        if record.kind is not BillKind.REQUEST:
            continue
        found.requests += 1
        if record.name in names:
            found.doubled.append(record.name)
        names.add(record.name)
    return found


async def read_bill(
    table: TablePort,
    budget: BudgetKey | None = None,
    *,
    from_s: float | None = None,
    until_s: float | None = None,
) -> AsyncIterator[BillRecord | Refused | Unknown]:
    """Yield the records of a period; a failed read is yielded and ends the listing.

    :param budget: the budget to list, or None for all.
    :param from_s: Unix time; rows of earlier hours are not read.
    :param until_s: Unix time; rows of later hours are not read.
    """
    after = hour_prefix(from_s) if from_s is not None else None
    last_hour = hour_prefix(until_s) if until_s is not None else None
    while True:
        result = await table.scan(
            BILL_PARTITION, after=after, limit=200, timeout_s=_TIMEOUT_S
        )
        if not isinstance(result, Done):
            yield result
            return
        for row in result.value.rows:
            if last_hour is not None and row.key.sort[: len(last_hour)] > last_hour:
                return
            for record in _wanted(row, budget):
                yield record
        after = result.value.next_sort
        if after is None:
            return


def _wanted(row: Row, budget: BudgetKey | None) -> Iterable[BillRecord]:
    return (
        record
        for record in decode_chunk(row)
        if budget is None or record.budget == budget
    )
