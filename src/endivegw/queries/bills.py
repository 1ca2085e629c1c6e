"""Read the bill of a budget and compare it with what was settled."""

from __future__ import annotations

from attrs import frozen

from endivegw.budgets import read_budgets
from endivegw.budgets.bills import BillRecord
from endivegw.budgets.reconcile import Reconciliation, read_bill, reconcile
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import TablePort
from endivegw.types import BudgetKey

__all__ = ["Bill", "bill_of"]


@frozen
class Bill:
    """Hold a budget's records of a period and the sums of all of its time.

    :param records: of the period, in the order in which routers wrote them.
    """

    records: tuple[BillRecord, ...]
    sums: Reconciliation


async def bill_of(
    table: TablePort,
    budget: BudgetKey,
    *,
    from_s: float | None = None,
    until_s: float | None = None,
    timeout_s: float,
) -> Result[Bill]:
    """Return a budget's bill.

    The row is read after the records: lines that arrive meanwhile show as
    settled and not billed yet, and never the other way.

    :param from_s: Unix time; earlier records count in the sums only.
    """
    records: list[BillRecord] = []
    async for record in read_bill(table, budget):
        if isinstance(record, (Refused, Unknown)):
            return record
        records.append(record)
    rows = await read_budgets(table, (budget,), timeout_s=timeout_s)
    if not isinstance(rows, Done):
        return rows
    row = rows.value[0]
    if row is None:
        return Refused(Reason.BUDGET_UNKNOWN, f"budget {budget} was never topped up")
    wanted = tuple(
        record
        for record in records
        if (from_s is None or record.at_s >= from_s)
        and (until_s is None or record.at_s < until_s)
    )
    return Done(Bill(wanted, reconcile(row, records)))
