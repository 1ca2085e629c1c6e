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
    """Result of a top-up.

    :param budget: the budget of the top-up.
    :param tokens: number of tokens of the top-up.
    :param added: False if an earlier run of the same operation added the tokens.
    :param topped_up_tokens: total of all top-ups including this one; None in a dry
        run, or if it could not be read.
    :param dry_run: whether nothing was written.
    """

    budget: BudgetKey
    tokens: int
    added: bool
    topped_up_tokens: int | None
    dry_run: bool = False


async def top_up_budget(
    table: TablePort, operation: Operation, budget: BudgetKey, tokens: int
) -> Result[TopUpOutcome]:
    """Add tokens to a budget, once for each operation id.

    The account's parameters must list the budget: no request could spend tokens
    that were added under a misspelt name, and the intended budget would lack them.
    """
    if tokens <= 0:
        return Refused(
            Reason.BAD_REQUEST, f"a top-up must add more than 0 tokens, not {tokens}"
        )
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
