"""Read the bill of a budget and compare it with the settled tokens."""

from __future__ import annotations

from attrs import frozen

from endivegw.budgets import read_budgets
from endivegw.budgets.bills import BillRecord
from endivegw.budgets.reconcile import Reconciliation, read_bill, reconcile
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import TablePort
from endivegw.types import BudgetKey

__all__ = ["Bill", "load_bill"]


@frozen
class Bill:
    """Bill of a budget: the records of a period and the sums over all records.

    :param records: records of the period, in the order in which routers wrote them.
    :param sums: comparison of all records, whatever their period, with the budget.
    """

    records: tuple[BillRecord, ...]
    sums: Reconciliation


async def load_bill(
    table: TablePort,
    budget: BudgetKey,
    *,
    from_s: float | None = None,
    until_s: float | None = None,
    timeout_s: float,
) -> Result[Bill]:
    """Return a budget's bill.

    The row is read after the records, so that records written in between show as
    settled and not yet billed, never as billed and not settled.

    :param from_s: start of the period as Unix time; None for no bound.
    :param until_s: end of the period (exclusive) as Unix time; None for no bound.
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
    in_period = tuple(
        record
        for record in records
        if (from_s is None or record.at_s >= from_s)
        and (until_s is None or record.at_s < until_s)
    )
    return Done(Bill(in_period, reconcile(row, records)))
