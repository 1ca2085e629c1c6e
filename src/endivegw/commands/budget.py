"""Add prepaid tokens to a budget."""

from __future__ import annotations

from attrs import frozen

from endivegw.budgets import read_budgets, top_up
from endivegw.commands.changes import Operation
from endivegw.configuration.store import load_account_parameters
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort
from endivegw.types import BudgetKey

__all__ = ["TopUpOutcome", "top_up_budget"]


@frozen
class TopUpOutcome:
    """Say what a top-up did.

    :param added: False where the same operation had added the tokens before.
    :param topped_up_tokens: all that was ever added, after this top-up; None
        where it could not be read any more, or in a dry run.
    """

    budget: BudgetKey
    tokens: int
    added: bool
    topped_up_tokens: int | None
    dry_run: bool = False


async def top_up_budget(
    table: TablePort, operation: Operation, budget: BudgetKey, tokens: int
) -> Result[TopUpOutcome]:
    """Add tokens once for the operation's id.

    The budget must stand in the account's parameters: tokens added under a
    misspelt name could be spent by nobody, and would be missed at the door.
    """
    if tokens <= 0:
        return Refused(Reason.BAD_REQUEST, "a top-up adds more than 0 tokens")
    known = await _require_budget(table, operation, budget)
    if not isinstance(known, Done):
        return known
    if operation.dry_run:
        return Done(TopUpOutcome(budget, tokens, True, None, dry_run=True))
    added = await top_up(
        table,
        budget,
        operation.operation_id,
        tokens,
        timeout_s=operation.timeout_s,
        now_s=operation.now_s,
    )
    if not isinstance(added, Done):
        return added
    total: int | None = None
    rows = await read_budgets(table, (budget,), timeout_s=operation.timeout_s)
    if isinstance(rows, Done) and rows.value[0] is not None:
        total = rows.value[0].topped_up_tokens
    return Done(TopUpOutcome(budget, tokens, added.value, total))


async def _require_budget(
    table: TablePort, operation: Operation, budget: BudgetKey
) -> Result[None]:
    parameters = await load_account_parameters(
        table, budget.client_account, timeout_s=operation.timeout_s
    )
    if not isinstance(parameters, Done):
        return parameters
    names = parameters.value.budgets
    if budget.budget not in names:
        detail = f"account {budget.client_account} has the budgets " + ", ".join(names)
        return Refused(Reason.BUDGET_UNKNOWN, detail)
    return Done(None)
