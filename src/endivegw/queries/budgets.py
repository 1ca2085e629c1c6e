"""List the budgets in the table."""

from __future__ import annotations

from endivegw.budgets.rows import BUDGET_PARTITION, BudgetRow
from endivegw.results import Done, Result
from endivegw.services import TablePort

__all__ = ["list_budgets"]


async def list_budgets(
    table: TablePort, *, client_account: str = "", timeout_s: float
) -> Result[tuple[BudgetRow, ...]]:
    """Return the budgets of one account or of all accounts, sorted by name."""
    prefix = f"{client_account}/" if client_account else ""
    budgets: list[BudgetRow] = []
    after: str | None = None
    while True:
        page = await table.scan(
            BUDGET_PARTITION, prefix=prefix, after=after, timeout_s=timeout_s
        )
        if not isinstance(page, Done):
            return page
        budgets += [BudgetRow.of(row) for row in page.value.rows]
        after = page.value.next_sort
        if after is None:
            return Done(tuple(budgets))
